#include "decision/routercount.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(RouterCountTest, NewRoutersCountAtOnce)
{
    RouterCount routers;
    EXPECT_EQ(routers.count(Millis(0)), 1U);
    routers.update(3, Millis(0));
    routers.update(12, Millis(100));
    EXPECT_EQ(routers.count(Millis(100)), 12U);
}

// Guards against a router that is cut off, takes itself for the only one, and uses up the bound of the whole fleet. A
// host may be cut off for 12 s.
TEST(RouterCountTest, RoutersThatAreOutOfReachCountForTwentySeconds)
{
    RouterCount routers;
    routers.update(12, Millis(0));
    routers.update(8, Millis(50000));
    routers.update(1, Millis(55000));
    EXPECT_EQ(routers.count(Millis(70000)), 12U);
    EXPECT_EQ(routers.count(Millis(70001)), 8U);
    EXPECT_EQ(routers.count(Millis(75001)), 1U);
    routers.update(9, Millis(60000));
    EXPECT_EQ(routers.count(Millis(75001)), 9U);
}

TEST(RouterCountTest, FluctuationsDoNotPileUp)
{
    RouterCount routers;
    for (int step = 0; step < 1000; ++step) {
        routers.update(step % 2 == 0 ? 12 : 11, Millis(step));
    }
    EXPECT_EQ(routers.count(Millis(1000)), 12U);
    EXPECT_EQ(routers.count(Millis(30000)), 11U);
}

} // namespace

} // namespace mustardpond
