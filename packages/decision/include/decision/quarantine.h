/// Requests that crash each upstream that runs them.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace mustardpond {

enum class RequestStanding : std::uint8_t {
    Clear,
    Suspect, ///< crashed one upstream: no retries
    Quarantined, ///< crashed two: runs no more
};

/// Remembers the fingerprints of requests that were running when an upstream crashed. Not thread-safe.
class Quarantine
{
public:
    explicit Quarantine(std::size_t capacity = 10000)
        : m_capacity(capacity)
    {
    }

    /// Notes a crash with the request running. Returns its new standing.
    RequestStanding onCrash(std::uint64_t fingerprint);
    /// Notes that the request ran without a crash; clears a suspect, not a quarantined one.
    void onSurvived(std::uint64_t fingerprint);
    /// Ends a quarantine, on an operator's word.
    void release(std::uint64_t fingerprint);
    RequestStanding standing(std::uint64_t fingerprint) const;

private:
    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, int> m_crashes;
    std::deque<std::uint64_t> m_order;
};

} // namespace mustardpond
