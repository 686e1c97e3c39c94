/// Admission to one upstream: a bounded number of running requests and a queue ordered by rank, then deadline. Inner
/// calls, which running requests wait for, go first, so that under a short overload no slot is blocked behind new work.
/// Under a long overload they would starve callers' own requests, which therefore have some of the slots guaranteed.
/// Organisations share the slots that callers' own requests get by fair queueing; the order by rank and deadline then
/// holds among the requests of one organisation.
#pragma once

#include "decision/fairqueue.h"

#include "foundation/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace mustardpond {

/// Rank of a call that a running request waits for. Callers' own requests have higher ranks.
constexpr int INNER_CALL_RANK = 0;

enum class SlotDecision : std::uint8_t { Granted, Queued, Full };

/// Not thread-safe. Tickets are chosen by the owner and must be unique among waiting requests.
class SlotQueue
{
public:
    /// @param slots number of requests that the upstream may run at once
    /// @param waiting number of requests that may wait for a slot
    SlotQueue(std::size_t slots, std::size_t waiting);

    /// @param rank requests of lower rank get a slot first
    /// @param share disregarded for inner calls
    SlotDecision request(std::uint64_t ticket, Millis deadline, int rank = INNER_CALL_RANK, FairShare share = {});
    /// Releases a slot. Returns the waiting ticket that now holds it, if any. Tickets whose deadline has passed
    /// are granted first within their rank, and must be answered by the owner.
    /// @param rank rank of the request that held the slot
    std::optional<std::uint64_t> release(int rank = INNER_CALL_RANK);
    /// Returns the waiting ticket that the last call of request() has removed from a full queue, if any, since a
    /// request of another organisation goes before it. The owner must answer it.
    std::optional<std::uint64_t> takeDisplaced()
    {
        return std::exchange(m_displaced, std::nullopt);
    }
    /// Removes a waiting ticket. Returns false when it is not waiting.
    bool cancel(std::uint64_t ticket);
    /// Changes the number of slots. Slots that become free are granted by grantNext().
    void resize(std::size_t slots);
    /// Grants a free slot to the next waiting ticket, if both exist.
    std::optional<std::uint64_t> grantNext();

    /// Returns the number of requests that must end before a new one gets a slot, divided by the slots available to it;
    /// 0 when a slot is free.
    double estimatedRounds(int rank, Millis deadline, const FairShare &share = {}) const;

    std::size_t running() const
    {
        return m_runningInnerCalls + m_runningCallerRequests;
    }
    std::size_t waiting() const
    {
        return m_innerCalls.size() + m_callerRequests.size();
    }
    /// Callers' waiting requests.
    const FairQueue &callerRequests() const
    {
        return m_callerRequests;
    }
    std::size_t slots() const
    {
        return m_slots;
    }

private:
    /// Returns the number of slots guaranteed to callers' own requests while inner calls wait.
    std::size_t guaranteedSlots() const;
    /// Whether the next slot goes to a caller's request.
    bool isCallersTurn();
    /// Makes room in a full queue for a caller's request. Returns false if none that waits goes behind it.
    bool displaceFor(const FairRequest &request);
    void countStart(int rank);

    std::size_t m_slots;
    std::size_t m_maxWaiting;
    std::size_t m_runningInnerCalls = 0;
    std::size_t m_runningCallerRequests = 0;
    bool m_grantedPastInnerCalls = false; ///< the last slot went to a caller's request while inner calls waited
    std::set<FairRequest> m_innerCalls; ///< waiting
    FairQueue m_callerRequests;
    std::optional<std::uint64_t> m_displaced;
};

} // namespace mustardpond
