#include "recordstamps.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::uint64_t STATES = 4; ///< number of values of MemberState

bool supersedes(std::uint64_t order, std::uint64_t known)
{
    return order > known;
}

template <typename Version>
bool hasNewer(const std::unordered_map<std::uint64_t, Version> &versions,
              const std::unordered_map<std::uint64_t, Version> &known)
{
    return std::any_of(versions.begin(), versions.end(), [&known](const auto &entry) {
        const auto found = known.find(entry.first);
        return found == known.end() || supersedes(entry.second, found->second);
    });
}

} // namespace

std::uint64_t orderOf(const Member &member)
{
    return member.sequence * STATES + static_cast<std::uint64_t>(member.state);
}

RecordStamps::RecordStamps(const std::vector<Member> &members, const ObjectTable &objects)
    : m_objects(objects.versionsByHash())
{
    for (const Member &member : members) {
        m_members[member.incarnation.low] = orderOf(member);
    }
}

RecordStamps::RecordStamps(const wire::PullRequestT &pull)
{
    for (const wire::MemberStamp &stamp : pull.members) {
        m_members[stamp.incarnationLow()] = stamp.order();
    }
    for (std::size_t index = 0; index < pull.objects.size(); ++index) {
        ObjectVersion version(pull.objects[index].version());
        if (index < pull.objectOrigins.size()) {
            version.edition = pull.objectOrigins[index].edition();
            version.era = pull.objectOrigins[index].era();
        }
        m_objects[pull.objects[index].keyHash()] = version;
    }
}

void RecordStamps::writeTo(wire::PullRequestT &pull) const
{
    pull.hasStamps = true;
    if (pull.wantMembers) {
        for (const auto &[incarnationLow, order] : m_members) {
            pull.members.emplace_back(incarnationLow, order);
        }
    }
    if (!pull.wantObjects) {
        return;
    }
    const bool allPlain =
        std::all_of(m_objects.begin(), m_objects.end(), [](const auto &entry) { return entry.second.isPlain(); });
    for (const auto &[keyHash, version] : m_objects) {
        pull.objects.emplace_back(keyHash, version.revision);
        if (!allPlain) {
            pull.objectOrigins.emplace_back(version.edition, version.era);
        }
    }
}

bool RecordStamps::lacks(const Member &member) const
{
    const auto found = m_members.find(member.incarnation.low);
    return found == m_members.end() || found->second < orderOf(member);
}

bool RecordStamps::lacksMembersOf(const RecordStamps &other) const
{
    return hasNewer(other.m_members, m_members);
}

bool RecordStamps::lacksObjectsOf(const RecordStamps &other) const
{
    return hasNewer(other.m_objects, m_objects);
}

} // namespace mustardpond
