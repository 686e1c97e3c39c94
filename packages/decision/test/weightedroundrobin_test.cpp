#include "decision/weightedroundrobin.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(WeightedRoundRobinTest, AnyRunOfRequestsMatchesTheWeights)
{
    SeededRandom random(7);
    WeightedRoundRobin roundRobin({90, 10}, random);
    int second = 0;
    for (int request = 1; request <= 200; ++request) {
        second += roundRobin.next() == 1 ? 1 : 0;
        EXPECT_NEAR(second, request * 0.1, 1.5);
    }
}

TEST(WeightedRoundRobinTest, NeverChoosesADestinationOfWeightZero)
{
    SeededRandom random(7);
    WeightedRoundRobin roundRobin({0, 3, 0}, random);
    for (int request = 0; request < 20; ++request) {
        EXPECT_EQ(roundRobin.next(), 1U);
    }
}

TEST(WeightedRoundRobinTest, InstancesDoNotRunInLockstep)
{
    SeededRandom random(7);
    int first = 0;
    for (int instance = 0; instance < 100; ++instance) {
        WeightedRoundRobin roundRobin({50, 50}, random);
        first += roundRobin.next() == 0 ? 1 : 0;
    }
    EXPECT_GT(first, 25);
    EXPECT_LT(first, 75);
}

} // namespace

} // namespace mustardpond
