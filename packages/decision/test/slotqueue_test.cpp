#include "decision/slotqueue.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>

namespace mustardpond {

namespace {

constexpr int CALLER_RANK = INNER_CALL_RANK + 1;

/// An upstream whose queue always holds calls and callers' own requests; the one that started first ends first.
class OverloadedQueue
{
public:
    explicit OverloadedQueue(std::size_t slots)
        : m_queue(slots, 1000)
    {
        for (std::size_t slot = 0; slot < slots; ++slot) {
            m_queue.request(m_next, Millis(), INNER_CALL_RANK);
            m_running.push_back({m_next++, INNER_CALL_RANK});
        }
        for (std::size_t waiting = 0; waiting < slots; ++waiting) {
            add(INNER_CALL_RANK);
            add(CALLER_RANK);
        }
    }

    /// Rank of the request that takes the place of the oldest running one.
    int endOldest()
    {
        const int ended = m_running.front().rank;
        m_running.pop_front();
        const auto granted = m_queue.release(ended);
        const int rank = m_callers.count(*granted) > 0 ? CALLER_RANK : INNER_CALL_RANK;
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
            m_callers.insert(m_next);
        }
        m_queue.request(m_next, Millis(static_cast<double>(m_next)), rank);
        ++m_next;
    }

    SlotQueue m_queue;
    std::uint64_t m_next = 1;
    std::deque<Run> m_running;
    std::set<std::uint64_t> m_callers;
};

TEST(SlotQueueTest, ServesTheEarliestDeadlineFirstAndKeepsItsBounds)
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

TEST(SlotQueueTest, CallsDoNotStarveCallersOfTheSameService)
{
    OverloadedQueue queue(15);
    for (int turn = 0; turn < 100; ++turn) {
        queue.endOldest();
    }
    EXPECT_EQ(queue.runningCallers(), 2);
}

TEST(SlotQueueTest, CallersDoNotStarveCallsAtAnUpstreamWithOneSlot)
{
    OverloadedQueue queue(1);
    int calls = 0;
    for (int turn = 0; turn < 100; ++turn) {
        calls += queue.endOldest() == INNER_CALL_RANK ? 1 : 0;
    }
    EXPECT_EQ(calls, 50);
}

TEST(SlotQueueTest, CallsGoFirstWhenCallersHaveTheirShare)
{
    SlotQueue queue(4, 10);
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
        queue.request(ticket, Millis(1), CALLER_RANK);
    }
    queue.request(5, Millis(1), CALLER_RANK);
    queue.request(6, Millis(9), INNER_CALL_RANK);
    EXPECT_EQ(queue.release(CALLER_RANK), 6U);
}

TEST(SlotQueueTest, CallersAreToldTheWaitForTheGuaranteedSlotsWhileCallsWait)
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
