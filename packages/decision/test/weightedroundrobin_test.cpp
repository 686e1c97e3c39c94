#include "decision/weightedroundrobin.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(WeightedRoundRobinTest, EveryStretchKeepsTheProportions)
{
    SeededRandom random(7);
    WeightedRoundRobin turns({90, 10}, random);
    int second = 0;
    for (int turn = 1; turn <= 200; ++turn) {
        second += turns.next() == 1 ? 1 : 0;
        EXPECT_NEAR(second, turn * 0.1, 1.5);
    }
}

TEST(WeightedRoundRobinTest, APartWithoutWeightIsNeverChosen)
{
    SeededRandom random(7);
    WeightedRoundRobin turns({0, 3, 0}, random);
    for (int turn = 0; turn < 20; ++turn) {
        EXPECT_EQ(turns.next(), 1U);
    }
}

TEST(WeightedRoundRobinTest, ManySplittersDoNotMoveInStep)
{
    SeededRandom random(7);
    int first = 0;
    for (int splitter = 0; splitter < 100; ++splitter) {
        WeightedRoundRobin turns({50, 50}, random);
        first += turns.next() == 0 ? 1 : 0;
    }
    EXPECT_GT(first, 25);
    EXPECT_LT(first, 75);
}

} // namespace

} // namespace mustardpond
