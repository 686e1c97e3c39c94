#include "runningrequests.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(RunningRequestsTest, ContainsARequestWhileItRuns)
{
    RunningRequests requests;
    {
        const RunningRequestGuard guard(requests, "a");
        EXPECT_TRUE(requests.contains("a"));
        EXPECT_FALSE(requests.contains("b"));
    }
    EXPECT_FALSE(requests.contains("a"));
}

TEST(RunningRequestsTest, ContainsARequestThatRunsTwiceUntilBothRunsEnd)
{
    RunningRequests requests;
    const RunningRequestGuard first(requests, "a");
    {
        const RunningRequestGuard second(requests, "a");
    }
    EXPECT_TRUE(requests.contains("a"));
}

TEST(RunningRequestsTest, DoesNotContainRequestsWithoutAnId)
{
    RunningRequests requests;
    const RunningRequestGuard guard(requests, "");
    EXPECT_FALSE(requests.contains(""));
}

} // namespace

} // namespace mustardpond
