#include "decision/quarantine.h"

namespace mustardpond {

namespace {

constexpr int QUARANTINE_CRASHES = 2;

} // namespace

RequestStanding Quarantine::onCrash(std::uint64_t fingerprint)
{
    if (m_crashes.count(fingerprint) == 0) {
        m_order.push_back(fingerprint);
        if (m_order.size() > m_capacity) {
            m_crashes.erase(m_order.front());
            m_order.pop_front();
        }
    }
    ++m_crashes[fingerprint];
    return standing(fingerprint);
}

void Quarantine::onSurvived(std::uint64_t fingerprint)
{
    if (standing(fingerprint) == RequestStanding::Suspect) {
        m_crashes[fingerprint] = 0;
    }
}

void Quarantine::release(std::uint64_t fingerprint)
{
    const auto found = m_crashes.find(fingerprint);
    if (found != m_crashes.end()) {
        found->second = 0;
    }
}

RequestStanding Quarantine::standing(std::uint64_t fingerprint) const
{
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end() || found->second == 0) {
        return RequestStanding::Clear;
    }
    return found->second >= QUARANTINE_CRASHES ? RequestStanding::Quarantined : RequestStanding::Suspect;
}

} // namespace mustardpond
