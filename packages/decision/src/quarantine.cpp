#include "decision/quarantine.h"

#include <xxhash.h>

namespace mustardpond {

namespace {

constexpr int MIN_QUARANTINE_CRASHES = 2;

} // namespace

std::uint64_t requestFingerprint(const std::string &method, const std::string &target,
                                 const std::vector<std::uint8_t> &body)
{
    const std::string head = method + ' ' + target;
    const auto seed = XXH3_64bits(head.data(), head.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

QuarantineStatus Quarantine::onCrash(std::uint64_t fingerprint, Millis now)
{
    if (status(fingerprint, now) == QuarantineStatus::Clear) {
        m_records[fingerprint].crashes = 0;
        m_evictionOrder.push_back(fingerprint);
    }
    if (m_evictionOrder.size() > m_capacity) {
        m_records.erase(m_evictionOrder.front());
        m_evictionOrder.pop_front();
    }
    Record &record = m_records[fingerprint];
    ++record.crashes;
    record.lastCrash = now;
    return status(fingerprint, now);
}

void Quarantine::onCompleted(std::uint64_t fingerprint, Millis now)
{
    if (status(fingerprint, now) == QuarantineStatus::Suspect) {
        m_records.erase(fingerprint);
    }
}

QuarantineStatus Quarantine::status(std::uint64_t fingerprint, Millis now) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || now - found->second.lastCrash > m_lifetime) {
        return QuarantineStatus::Clear;
    }
    return found->second.crashes >= MIN_QUARANTINE_CRASHES ? QuarantineStatus::Quarantined : QuarantineStatus::Suspect;
}

} // namespace mustardpond
