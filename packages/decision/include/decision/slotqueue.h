/// Admission to one upstream: a bounded number of running requests and a queue ordered by rank, then deadline. It
/// answers a load that exceeds the slots for a while: what others wait for goes first, so that no slot waits behind new
/// work. It answers one that exceeds them for long, too: calls leave a part of the slots to callers, whom they would
/// starve otherwise.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <optional>
#include <set>

namespace mustardpond {

constexpr int INNER_CALL_RANK = 0; ///< of a call that a running request waits for; callers' own requests rank behind it

enum class SlotDecision : std::uint8_t { Granted, Queued, Full };

/// Not thread-safe. Tickets are chosen by the owner and must be unique among waiting requests.
class SlotQueue
{
public:
    /// @param slots requests that the upstream runs at once
    /// @param waiting requests that may wait for a slot
    SlotQueue(std::size_t slots, std::size_t waiting);

    /// @param rank lower ranks get a slot first
    SlotDecision request(std::uint64_t ticket, Millis deadline, int rank = INNER_CALL_RANK);
    /// Gives a slot back. Returns the waiting ticket that now holds it, if any; expired ones come first
    /// and must be answered by the owner.
    /// @param rank of the request that held the slot
    std::optional<std::uint64_t> release(int rank = INNER_CALL_RANK);
    /// Removes a waiting ticket; false when it does not wait (any more).
    bool cancel(std::uint64_t ticket);
    /// Changes the number of slots. Returns nothing; freed slots are handed out by grantNext().
    void resize(std::size_t slots);
    /// Grants a free slot to the waiting ticket that goes first, if both exist.
    std::optional<std::uint64_t> grantNext();

    /// Requests that have to end before a new one gets a slot, as a multiple of the slots that are there for it; 0 when
    /// a slot is free.
    double estimatedRounds(int rank, Millis deadline) const;

    std::size_t running() const
    {
        return m_runningCalls + m_runningCallers;
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
    using Queue = std::set<Waiting>;

    /// Callers' own requests that may run while calls wait.
    std::size_t guaranteedSlots() const;
    /// The first of the callers' own requests, or the end.
    Queue::const_iterator firstCaller() const;
    Queue::const_iterator nextToRun();
    void noteStart(int rank);

    std::size_t m_slots;
    std::size_t m_maxWaiting;
    std::size_t m_runningCalls = 0;
    std::size_t m_runningCallers = 0;
    bool m_passedCalls = false; ///< the last grant went to a caller while calls waited
    Queue m_waiting;
};

} // namespace mustardpond
