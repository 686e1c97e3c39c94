/// The members of each data centre, as quotas need them, of one view.
#pragma once

#include "fleetview.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// Immutable once built.
class QuotaDirectory
{
public:
    QuotaDirectory() = default;
    explicit QuotaDirectory(const FleetView &view);

    /// Returns the members of a data centre that accept requests. This process is in its own data centre until it ends.
    const std::set<std::string> &membersOf(const std::string &dataCentre) const;
    /// Returns the inner address of a member that accepts requests; empty if there is none of that name.
    std::string addressOf(const std::string &node) const;
    /// Returns the member of this data centre with an inner address; empty if there is none.
    std::string neighbourAt(const std::string &address) const;
    bool contains(const std::string &node) const
    {
        return m_addresses.count(node) > 0;
    }
    /// Members of this data centre that are alive and not suspected.
    const std::set<std::string> &aliveNeighbours() const
    {
        return m_alive;
    }
    /// Members of this data centre that have left as planned.
    const std::set<std::string> &leftNeighbours() const
    {
        return m_left;
    }
    /// Members of this data centre that the store listed when this process started; null until then.
    std::shared_ptr<const RegisteredHosts> registered() const
    {
        return m_registered;
    }
    bool isInOwnRegion(const std::string &dataCentre) const
    {
        return m_ownRegion.count(dataCentre) > 0;
    }
    const std::string &self() const
    {
        return m_self;
    }
    const std::string &dataCentre() const
    {
        return m_dataCentre;
    }
    /// Whether this process has announced that it leaves.
    bool isLeaving() const
    {
        return m_leaving;
    }

private:
    std::string m_self;
    std::string m_dataCentre;
    bool m_leaving = false;
    std::map<std::string, std::set<std::string>> m_members; ///< by data centre
    std::map<std::string, std::string> m_addresses; ///< by node
    std::set<std::string> m_alive;
    std::set<std::string> m_left;
    std::shared_ptr<const RegisteredHosts> m_registered;
    std::set<std::string> m_ownRegion; ///< data centres
};

} // namespace mustardpond
