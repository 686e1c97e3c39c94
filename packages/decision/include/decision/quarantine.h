/// Quarantine of requests that crash every upstream that runs them.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

enum class QuarantineStatus : std::uint8_t {
    Clear,
    Suspect, ///< crashed one upstream: no retries
    Quarantined, ///< crashed two: must not run again
};

/// Returns a digest that identifies repetitions of a request.
std::uint64_t requestFingerprint(const std::string &method, const std::string &target,
                                 const std::vector<std::uint8_t> &body);

/// Stores the fingerprints of requests that were running when an upstream crashed. Not thread-safe.
class Quarantine
{
public:
    explicit Quarantine(std::size_t capacity = 10000, Millis lifetime = Millis(600000))
        : m_capacity(capacity)
        , m_lifetime(lifetime)
    {
    }

    /// Records that an upstream, on this host or another, crashed while it ran the request. Returns the new status.
    QuarantineStatus onCrash(std::uint64_t fingerprint, Millis now);
    /// Records that the request ran without a crash. This clears a suspect request, but not a quarantined one.
    void onCompleted(std::uint64_t fingerprint, Millis now);
    /// Removes the record of a request when an operator releases it.
    void release(std::uint64_t fingerprint)
    {
        m_records.erase(fingerprint);
    }
    QuarantineStatus status(std::uint64_t fingerprint, Millis now) const;

private:
    struct Record {
        int crashes = 0;
        Millis lastCrash;
    };

    std::size_t m_capacity;
    Millis m_lifetime; ///< of a record after the last crash
    std::unordered_map<std::uint64_t, Record> m_records;
    std::deque<std::uint64_t> m_evictionOrder;
};

} // namespace mustardpond
