#include "config/organisationtable.h"

namespace mustardpond {

namespace {

/// Who holds a key.
struct Holder {
    std::string name;
    bool isShared = false; ///< organisations of other names hold it too
};

using Holders = std::unordered_map<KeyHash, Holder, KeyHashHasher>;

Holders holdersOf(const OrganisationList &list)
{
    Holders holders;
    for (const OrganisationEntry &entry : list.entries) {
        for (const KeyHash &key : entry.keys) {
            Holder &holder = holders.emplace(key, Holder{entry.organisation.name}).first->second;
            holder.isShared = holder.isShared || holder.name != entry.organisation.name;
        }
    }
    return holders;
}

} // namespace

OrganisationTable::OrganisationTable(const OrganisationList &list, const LeftOutHandler &onLeftOut)
    : m_salt(list.salt)
{
    const auto leaveOut = [&onLeftOut](const OrganisationEntry &entry, const std::string &reason, std::size_t keys) {
        if (onLeftOut) {
            onLeftOut({entry.organisation.name, reason, keys});
        }
    };
    const Holders holders = holdersOf(list);
    for (const OrganisationEntry &entry : list.entries) {
        if (!entry.problem.empty()) {
            leaveOut(entry, entry.problem, 0);
            continue;
        }
        const auto organisation = std::make_shared<const Organisation>(entry.organisation);
        if (!m_byName.emplace(organisation->name, organisation).second) {
            leaveOut(entry, "an earlier entry has the same name", 0);
            continue;
        }
        std::size_t sharedKeys = 0;
        for (const KeyHash &key : entry.keys) {
            if (holders.at(key).isShared) {
                ++sharedKeys;
            } else {
                m_byKey.emplace(key, organisation);
            }
        }
        if (sharedKeys > 0) {
            leaveOut(entry, "another organisation holds the same key", sharedKeys);
        }
        if (entry.unusableKeys > 0) {
            leaveOut(entry, "a key must be a text of 1 to 4096 bytes", entry.unusableKeys);
        }
    }
}

std::shared_ptr<const Organisation> OrganisationTable::findByKey(std::string_view key) const
{
    if (!isUsableKey(key)) {
        return nullptr;
    }
    const auto found = m_byKey.find(hashKey(key, m_salt));
    return found == m_byKey.end() ? nullptr : found->second;
}

std::shared_ptr<const Organisation> OrganisationTable::findByName(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

} // namespace mustardpond
