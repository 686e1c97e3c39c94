#include "quotadirectory.h"

namespace mustardpond {

QuotaDirectory::QuotaDirectory(const FleetView &view)
    : m_self(view.self.node)
    , m_dataCentre(view.self.dataCentre)
    , m_leaving(!acceptsRequests(view.self))
    , m_registered(view.registered)
{
    for (const Member &member : view.members) {
        const bool neighbour = member.dataCentre == m_dataCentre;
        if (acceptsRequests(member)) {
            m_members[member.dataCentre].insert(member.node);
            m_addresses[member.node] = member.inner;
            if (member.region == view.self.region) {
                m_ownRegion.insert(member.dataCentre);
            }
        }
        if (neighbour && member.state == MemberState::Alive) {
            m_alive.insert(member.node);
        } else if (neighbour && member.state == MemberState::Left) {
            m_left.insert(member.node);
        }
    }
    m_members[m_dataCentre].insert(m_self);
    m_addresses[m_self] = view.self.inner;
    m_alive.insert(m_self);
    m_left.erase(m_self);
}

const std::set<std::string> &QuotaDirectory::membersOf(const std::string &dataCentre) const
{
    static const std::set<std::string> none;
    const auto members = m_members.find(dataCentre);
    return members == m_members.end() ? none : members->second;
}

std::string QuotaDirectory::addressOf(const std::string &node) const
{
    const auto address = m_addresses.find(node);
    return address == m_addresses.end() ? std::string() : address->second;
}

std::string QuotaDirectory::neighbourAt(const std::string &address) const
{
    for (const std::string &node : membersOf(m_dataCentre)) {
        if (addressOf(node) == address) {
            return node;
        }
    }
    return {};
}

} // namespace mustardpond
