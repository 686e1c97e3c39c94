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

TEST(WaitLimitTest, TheTargetBoundsTheWholeWait)
{
    QueueWaitLimits asked = limits();
    EXPECT_EQ(maxQueueWait(asked), Millis(2000));
    asked.waited = Millis(1500);
    EXPECT_EQ(maxQueueWait(asked), Millis(500));
    // However often it is asked again, the waits add up to no more than the first one.
    asked.waited = Millis(2000);
    EXPECT_EQ(maxQueueWait(asked), Millis(0));
}

TEST(WaitLimitTest, TheCallersDeadlineLeavesTimeForTheRun)
{
    QueueWaitLimits asked = limits();
    asked.timeLeft = Millis(2000);
    EXPECT_EQ(maxQueueWait(asked), Millis(800));
    asked.timeLeft = Millis(1000);
    EXPECT_EQ(maxQueueWait(asked), Millis(0));
}

TEST(WaitLimitTest, APlannedStopLeavesTimeForTheRun)
{
    QueueWaitLimits asked = limits();
    asked.untilStop = Millis(1500);
    EXPECT_EQ(maxQueueWait(asked), Millis(300));
    asked.untilStop = Millis(500);
    EXPECT_EQ(maxQueueWait(asked), Millis(0));
}

TEST(WaitLimitTest, ATargetTooShortStillAllowsASlotToComeFree)
{
    QueueWaitLimits asked = limits();
    asked.latencyTarget = Millis(900);
    EXPECT_EQ(maxQueueWait(asked), Millis(300));
}

TEST(WaitLimitTest, WhatWorkAlreadyDoneDependsOnWaitsAsLongAsItCanRun)
{
    QueueWaitLimits asked = limits();
    asked.committed = true;
    asked.waited = Millis(2500);
    asked.timeLeft = Millis(4000);
    EXPECT_EQ(maxQueueWait(asked), Millis(2800));
}

} // namespace

} // namespace mustardpond
