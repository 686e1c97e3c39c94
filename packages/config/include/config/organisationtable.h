/// The organisations in force, found by the keys of their callers.
#pragma once

#include "config/organisationlist.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardpond {

/// An organisation or some of its keys that are not in force.
struct LeftOutOrganisation {
    std::string name; ///< empty if it has none
    std::string reason;
    std::size_t keys = 0; ///< number of keys that are left out; 0 if it is the organisation itself
};

using LeftOutHandler = std::function<void(const LeftOutOrganisation &)>;

/// Immutable. Holds hashes of the keys only. A key that several organisations hold, whether they are valid or not, is
/// left out, as is an organisation whose name an earlier one has.
class OrganisationTable
{
public:
    /// @param onLeftOut called once for each organisation and reason; may be empty
    OrganisationTable(const OrganisationList &list, const LeftOutHandler &onLeftOut);

    /// Returns null if no organisation holds the key.
    std::shared_ptr<const Organisation> findByKey(std::string_view key) const;
    /// Returns null if there is no organisation of this name.
    std::shared_ptr<const Organisation> findByName(const std::string &name) const;
    const std::unordered_map<std::string, std::shared_ptr<const Organisation>> &organisations() const
    {
        return m_byName;
    }

private:
    KeySalt m_salt;
    std::unordered_map<KeyHash, std::shared_ptr<const Organisation>, KeyHashHasher> m_byKey;
    std::unordered_map<std::string, std::shared_ptr<const Organisation>> m_byName;
};

} // namespace mustardpond
