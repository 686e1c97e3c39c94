#include "decision/slowrun.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(SlowRunTest, TimeoutFollowsTheUsualServiceTime)
{
    EXPECT_EQ(slowRunTimeout({Millis(1500), Millis(600), Millis(150)}), Millis(1950));
    EXPECT_EQ(slowRunTimeout({Millis(1500), Millis(20), Millis(150)}), Millis(900)) << "half of the target at least";
    EXPECT_EQ(slowRunTimeout({Millis(1500), Millis(), Millis(150)}), Millis(1650)) << "no service time is known";
    EXPECT_EQ(slowRunTimeout({Millis(100), Millis(5), Millis(150)}), Millis(500)) << "a short target";
}

// A run was given up at which its upstream was at work, and the planned stop that followed ended the request with 502.
TEST(SlowRunTest, PlannedStopKeepsTheRun)
{
    SlowRunState state;
    state.hasRetry = true;
    EXPECT_TRUE(mayReplaceSlowRun(state));
    state.stopping = true;
    EXPECT_FALSE(mayReplaceSlowRun(state));
}

TEST(SlowRunTest, RunGoesOnWithoutARetryOrWhenItsAnswerBegins)
{
    EXPECT_FALSE(mayReplaceSlowRun({}));
    SlowRunState state;
    state.hasRetry = true;
    state.answerBegins = true;
    EXPECT_FALSE(mayReplaceSlowRun(state));
    state.answerBegins = false;
    state.crashSuspect = true;
    EXPECT_FALSE(mayReplaceSlowRun(state));
}

} // namespace

} // namespace mustardpond
