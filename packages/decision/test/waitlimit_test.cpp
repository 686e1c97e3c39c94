#include "decision/waitlimit.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

QueueWaitLimits limits()
{
    QueueWaitLimits limits;
    limits.latencyTarget = Millis(3000);
    limits.serviceTime = Millis(1000);
    limits.timeLeft = Millis(25000);
    limits.untilStop = Millis(1e9);
    return limits;
}

TEST(WaitLimitTest, TheLatencyTargetLimitsTheTotalWait)
{
    QueueWaitLimits input = limits();
    EXPECT_EQ(maxQueueWait(input), Millis(2000));
    input.waited = Millis(1500);
    EXPECT_EQ(maxQueueWait(input), Millis(500));
    // Repeated waits of one request add up to no more than the first limit.
    input.waited = Millis(2000);
    EXPECT_EQ(maxQueueWait(input), Millis(0));
}

TEST(WaitLimitTest, LeavesTimeForTheRunBeforeTheCallersDeadline)
{
    QueueWaitLimits input = limits();
    input.timeLeft = Millis(2000);
    EXPECT_EQ(maxQueueWait(input), Millis(800));
    input.timeLeft = Millis(1000);
    EXPECT_EQ(maxQueueWait(input), Millis(0));
}

TEST(WaitLimitTest, LeavesTimeForTheRunBeforeARouterStops)
{
    QueueWaitLimits input = limits();
    input.untilStop = Millis(1500);
    EXPECT_EQ(maxQueueWait(input), Millis(300));
    input.untilStop = Millis(500);
    EXPECT_EQ(maxQueueWait(input), Millis(0));
}

TEST(WaitLimitTest, AllowsAMinimumWaitWhenTheTargetIsTooShort)
{
    QueueWaitLimits input = limits();
    input.latencyTarget = Millis(900);
    EXPECT_EQ(maxQueueWait(input), Millis(300));
}

TEST(WaitLimitTest, ACommittedRequestWaitsAsLongAsItCanStillRun)
{
    QueueWaitLimits input = limits();
    input.committed = true;
    input.waited = Millis(2500);
    input.timeLeft = Millis(4000);
    EXPECT_EQ(maxQueueWait(input), Millis(2800));
}

} // namespace

} // namespace mustardpond
