#include "storeproofs.h"

#include "config/objects.h"

namespace mustardpond {

namespace {

bool isBundle(const StoredObject &object)
{
    return object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Bundle);
}

} // namespace

std::optional<FreshnessProof> StoreProofs::onAnswer(const Listing &answer, std::uint64_t askedRevision, Millis askedAt)
{
    for (const StoredObject &object : answer.objects) {
        if (isBundle(object) && supersedes(object.version, m_version)) {
            m_name = object.name;
            m_version = object.version;
            m_readable = true;
        }
    }
    for (const StoredObject &object : answer.unreadable) {
        const bool mayBeTheBundle = object.name.empty() || m_name.empty() || object.name == m_name;
        // The edition of an unreadable version is unknown.
        const bool mayBeNewer = !object.version.isKnown() || object.version.era != m_version.era
            || object.version.revision > m_version.revision;
        if (isBundle(object) && mayBeTheBundle && mayBeNewer) {
            m_readable = false;
        }
    }
    if (!m_version.isKnown() || !m_readable || answer.revision < askedRevision) {
        return std::nullopt;
    }
    return FreshnessProof{m_version, askedAt};
}

} // namespace mustardpond
