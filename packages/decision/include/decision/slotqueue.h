/// Admission to one upstream: a bounded number of running requests and a queue ordered by rank, then deadline. It
/// answers a load that exceeds the slots for a while: what others wait for goes first, so that no slot waits behind new
/// work.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <optional>
#include <set>

namespace mustardpond {

enum class SlotDecision : std::uint8_t { Granted, Queued, Full };

/// Not thread-safe. Tickets are chosen by the owner and must be unique among waiting requests.
class SlotQueue
{
public:
    /// @param slots requests that the upstream runs at once
    /// @param waiting requests that may wait for a slot
    SlotQueue(std::size_t slots, std::size_t waiting);

    /// @param rank lower ranks get a slot first
    SlotDecision request(std::uint64_t ticket, Millis deadline, int rank = 0);
    /// Gives a slot back. Returns the waiting ticket that now holds it, if any; expired ones come first
    /// and must be answered by the owner.
    std::optional<std::uint64_t> release();
    /// Removes a waiting ticket; false when it does not wait (any more).
    bool abandon(std::uint64_t ticket);
    /// Changes the number of slots. Returns nothing; freed slots are handed out by grantNext().
    void resize(std::size_t slots);
    /// Grants a free slot to the waiting ticket with the earliest deadline, if both exist.
    std::optional<std::uint64_t> grantNext();

    /// Waiting requests that would go before a new one.
    std::size_t waitingBefore(int rank, Millis deadline) const;

    std::size_t running() const
    {
        return m_running;
    }
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    std::size_t slots() const
    {
        return m_slots;
    }

private:
    struct Waiting {
        int rank;
        Millis deadline;
        std::uint64_t ticket;
        bool operator<(const Waiting &other) const;
    };

    std::size_t m_slots;
    std::size_t m_maxWaiting;
    std::size_t m_running = 0;
    std::set<Waiting> m_waiting;
};

} // namespace mustardpond
