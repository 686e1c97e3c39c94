#include "decision/pathdetector.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class PathDetectorTest : public ::testing::Test
{
protected:
    PathDetectorTest()
    {
        m_detector.setUpstream("a", 5);
    }
    void attempt(AttemptResult result, Millis now)
    {
        m_detector.onStart({++m_attempt, "a", "lookup", Millis(100)}, now);
        m_detector.onFinish(m_attempt, result, Millis(1), now);
    }
    bool isAvoided(Millis now) const
    {
        return m_detector.weight("a", "lookup", now) == 0;
    }

    PathDetector m_detector;
    std::uint64_t m_attempt = 0;
};

TEST_F(PathDetectorTest, UnreachableGateIsAvoidedForALimitedTime)
{
    attempt(AttemptResult::PathFailed, Millis(0));
    EXPECT_TRUE(isAvoided(Millis(100)));
    EXPECT_FALSE(isAvoided(Millis(500)));
}

TEST_F(PathDetectorTest, AvoidTimeGrowsWithEachFailureUpToAMaximum)
{
    attempt(AttemptResult::PathFailed, Millis(0));
    attempt(AttemptResult::PathFailed, Millis(500));
    EXPECT_TRUE(isAvoided(Millis(1200)));
    for (int i = 0; i < 20; ++i) {
        attempt(AttemptResult::PathFailed, Millis(2000));
    }
    EXPECT_FALSE(isAvoided(Millis(2000 + 3300)));
}

TEST_F(PathDetectorTest, AnyResponseFromTheGateEndsAvoidance)
{
    attempt(AttemptResult::PathFailed, Millis(0));
    attempt(AttemptResult::Unjudged, Millis(1));
    EXPECT_FALSE(isAvoided(Millis(2)));
}

TEST_F(PathDetectorTest, FailingUpstreamIsAvoidedOnlyOnGateSuspicion)
{
    attempt(AttemptResult::Failed, Millis(0));
    EXPECT_FALSE(isAvoided(Millis(1)));
    m_detector.onGateSuspicion("a", "lookup", Millis(2));
    EXPECT_TRUE(isAvoided(Millis(3)));
}

} // namespace

} // namespace mustardpond
