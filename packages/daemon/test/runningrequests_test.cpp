#include "runningrequests.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(RunningRequestsTest, KnowsARequestWhileItRuns)
{
    RunningRequests requests;
    {
        const RunningMark mark(requests, "a");
        EXPECT_TRUE(requests.contains("a"));
        EXPECT_FALSE(requests.contains("b"));
    }
    EXPECT_FALSE(requests.contains("a"));
}

TEST(RunningRequestsTest, ARequestThatRunsTwiceIsKnownUntilBothEnd)
{
    RunningRequests requests;
    const RunningMark first(requests, "a");
    {
        const RunningMark second(requests, "a");
    }
    EXPECT_TRUE(requests.contains("a"));
}

TEST(RunningRequestsTest, RequestsWithoutAnIdAreNobodysParents)
{
    RunningRequests requests;
    const RunningMark mark(requests, "");
    EXPECT_FALSE(requests.contains(""));
}

} // namespace

} // namespace mustardpond
