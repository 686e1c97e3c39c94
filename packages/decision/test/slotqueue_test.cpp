#include "decision/slotqueue.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>

namespace mustardpond {

namespace {

constexpr int CALLER_RANK = INNER_CALL_RANK + 1;

/// An upstream whose queue always holds inner calls and callers' own requests. Requests end in the order of their
/// start.
class OverloadedQueue
{
public:
    explicit OverloadedQueue(std::size_t slots)
        : m_queue(slots, 1000)
    {
        for (std::size_t slot = 0; slot < slots; ++slot) {
            m_queue.request(m_nextTicket, Millis(), INNER_CALL_RANK);
            m_running.push_back({m_nextTicket++, INNER_CALL_RANK});
        }
        for (std::size_t waiting = 0; waiting < slots; ++waiting) {
            add(INNER_CALL_RANK);
            add(CALLER_RANK);
        }
    }

    /// Ends the oldest running request, and returns the rank of the one that gets its slot.
    int endOldest()
    {
        const int ended = m_running.front().rank;
        m_running.pop_front();
        const auto granted = m_queue.release(ended);
        const int rank = m_callerTickets.count(*granted) > 0 ? CALLER_RANK : INNER_CALL_RANK;
        m_running.push_back({*granted, rank});
        add(rank);
        return rank;
    }

    int runningCallers() const
    {
        int count = 0;
        for (const Run &run : m_running) {
            count += run.rank == CALLER_RANK ? 1 : 0;
        }
        return count;
    }

private:
    struct Run {
        std::uint64_t ticket;
        int rank;
    };

    void add(int rank)
    {
        if (rank == CALLER_RANK) {
            m_callerTickets.insert(m_nextTicket);
        }
        m_queue.request(m_nextTicket, Millis(static_cast<double>(m_nextTicket)), rank);
        ++m_nextTicket;
    }

    SlotQueue m_queue;
    std::uint64_t m_nextTicket = 1;
    std::deque<Run> m_running;
    std::set<std::uint64_t> m_callerTickets;
};

TEST(SlotQueueTest, ServesTheEarliestDeadlineFirstWithinItsLimits)
{
    SlotQueue queue(1, 2);
    EXPECT_EQ(queue.request(1, Millis(10)), SlotDecision::Granted);
    EXPECT_EQ(queue.request(2, Millis(30)), SlotDecision::Queued);
    EXPECT_EQ(queue.request(3, Millis(20)), SlotDecision::Queued);
    EXPECT_EQ(queue.request(4, Millis(5)), SlotDecision::Full);
    EXPECT_EQ(queue.release(), 3U);
    EXPECT_TRUE(queue.cancel(2));
    EXPECT_FALSE(queue.cancel(2));
    EXPECT_FALSE(queue.release());
    EXPECT_EQ(queue.running(), 0U);
}

TEST(SlotQueueTest, InnerCallsDoNotStarveCallersOfTheSameService)
{
    OverloadedQueue queue(15);
    for (int round = 0; round < 100; ++round) {
        queue.endOldest();
    }
    EXPECT_EQ(queue.runningCallers(), 2);
}

TEST(SlotQueueTest, CallersDoNotStarveInnerCallsAtAnUpstreamWithOneSlot)
{
    OverloadedQueue queue(1);
    int calls = 0;
    for (int round = 0; round < 100; ++round) {
        calls += queue.endOldest() == INNER_CALL_RANK ? 1 : 0;
    }
    EXPECT_EQ(calls, 50);
}

TEST(SlotQueueTest, InnerCallsGoFirstWhenCallersHaveTheirGuaranteedSlots)
{
    SlotQueue queue(4, 10);
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
        queue.request(ticket, Millis(1), CALLER_RANK);
    }
    queue.request(5, Millis(1), CALLER_RANK);
    queue.request(6, Millis(9), INNER_CALL_RANK);
    EXPECT_EQ(queue.release(CALLER_RANK), 6U);
}

TEST(SlotQueueTest, EstimatesCallersRoundsByTheGuaranteedSlotsWhileInnerCallsWait)
{
    SlotQueue queue(16, 100);
    for (std::uint64_t ticket = 1; ticket <= 16; ++ticket) {
        queue.request(ticket, Millis(1), INNER_CALL_RANK);
    }
    EXPECT_DOUBLE_EQ(queue.estimatedRounds(CALLER_RANK, Millis(5)), 1.0 / 16);
    for (std::uint64_t ticket = 20; ticket < 24; ++ticket) {
        queue.request(ticket, Millis(1), CALLER_RANK);
    }
    queue.request(30, Millis(1), INNER_CALL_RANK);
    EXPECT_DOUBLE_EQ(queue.estimatedRounds(CALLER_RANK, Millis(5)), 3.0 / 2);
    EXPECT_DOUBLE_EQ(queue.estimatedRounds(INNER_CALL_RANK, Millis(5)), 2.0 / 16);
}

} // namespace

} // namespace mustardpond
