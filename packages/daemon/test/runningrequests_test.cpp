#include "runningrequests.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(RunningRequestsTest, KnowsARequestWhileItRuns)
{
    RunningRequests requests;
    {
        const RunningRequestGuard mark(requests, "a");
        EXPECT_TRUE(requests.contains("a"));
        EXPECT_FALSE(requests.contains("b"));
    }
    EXPECT_FALSE(requests.contains("a"));
}

TEST(RunningRequestsTest, ARequestThatRunsTwiceIsKnownUntilBothEnd)
{
    RunningRequests requests;
    const RunningRequestGuard first(requests, "a");
    {
        const RunningRequestGuard second(requests, "a");
    }
    EXPECT_TRUE(requests.contains("a"));
}

TEST(RunningRequestsTest, RequestsWithoutAnIdAreNobodysParents)
{
    RunningRequests requests;
    const RunningRequestGuard mark(requests, "");
    EXPECT_FALSE(requests.contains(""));
}

} // namespace

} // namespace mustardpond
