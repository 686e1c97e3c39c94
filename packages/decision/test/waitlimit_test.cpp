#include "decision/waitlimit.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

WaitBounds bounds()
{
    WaitBounds bounds;
    bounds.target = Millis(3000);
    bounds.typical = Millis(1000);
    bounds.left = Millis(25000);
    bounds.untilStop = Millis(1e9);
    return bounds;
}

TEST(WaitLimitTest, TheTargetBoundsTheWholeWait)
{
    WaitBounds asked = bounds();
    EXPECT_EQ(longestWait(asked), Millis(2000));
    asked.waited = Millis(1500);
    EXPECT_EQ(longestWait(asked), Millis(500));
    // However often it is asked again, the waits add up to no more than the first one.
    asked.waited = Millis(2000);
    EXPECT_EQ(longestWait(asked), Millis(0));
}

TEST(WaitLimitTest, TheCallersDeadlineLeavesTimeForTheRun)
{
    WaitBounds asked = bounds();
    asked.left = Millis(2000);
    EXPECT_EQ(longestWait(asked), Millis(800));
    asked.left = Millis(1000);
    EXPECT_EQ(longestWait(asked), Millis(0));
}

TEST(WaitLimitTest, APlannedStopLeavesTimeForTheRun)
{
    WaitBounds asked = bounds();
    asked.untilStop = Millis(1500);
    EXPECT_EQ(longestWait(asked), Millis(300));
    asked.untilStop = Millis(500);
    EXPECT_EQ(longestWait(asked), Millis(0));
}

TEST(WaitLimitTest, ATargetTooShortStillAllowsASlotToComeFree)
{
    WaitBounds asked = bounds();
    asked.target = Millis(900);
    EXPECT_EQ(longestWait(asked), Millis(300));
}

TEST(WaitLimitTest, WhatWorkAlreadyDoneDependsOnWaitsAsLongAsItCanRun)
{
    WaitBounds asked = bounds();
    asked.committed = true;
    asked.waited = Millis(2500);
    asked.left = Millis(4000);
    EXPECT_EQ(longestWait(asked), Millis(2800));
}

} // namespace

} // namespace mustardpond
