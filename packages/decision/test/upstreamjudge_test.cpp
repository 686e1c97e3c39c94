#include "decision/upstreamjudge.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Normality USUAL{Millis(40), 0};
constexpr Normality DOUBTFUL{Millis(40), 0.6};
constexpr Millis STEP{20};

class UpstreamJudgeTest : public ::testing::Test
{
protected:
    void serve(const std::string &workClass, AttemptResult result, Millis time, const Normality &normality = USUAL)
    {
        m_now = m_now + STEP;
        m_judge.onArrival(workClass, normality, m_now);
        m_judge.onStart(++m_attempt, workClass, m_now);
        m_judge.onFinish(m_attempt, result, time, m_now);
        m_judge.tick(m_now);
    }

    UpstreamJudge m_judge{DetectionProfile()};
    Millis m_now{1000};
    std::uint64_t m_attempt = 0;
};

TEST_F(UpstreamJudgeTest, SlowUpstreamIsSuspectedAndRecoversAfterItsHold)
{
    for (int request = 0; request < 14; ++request) {
        serve("lookup", AttemptResult::Answered, Millis(100));
    }
    EXPECT_TRUE(m_judge.isSuspect("lookup", m_now));
    EXPECT_FALSE(m_judge.isSuspect("lookup", m_now + DetectionProfile().firstHold));
}

TEST_F(UpstreamJudgeTest, FailingClassDoesNotTouchTheOthers)
{
    for (int request = 0; request < 10; ++request) {
        serve("report", AttemptResult::Failed, Millis(10));
        serve("lookup", AttemptResult::Answered, Millis(10));
    }
    EXPECT_TRUE(m_judge.isSuspect("report", m_now));
    EXPECT_FALSE(m_judge.isSuspect("lookup", m_now));
}

TEST_F(UpstreamJudgeTest, HangingRequestsAreJudgedWhileTheyRun)
{
    for (int request = 0; request < 5; ++request) {
        m_judge.onArrival("lookup", USUAL, m_now);
        m_judge.onStart(++m_attempt, "lookup", m_now);
    }
    for (int round = 0; round < 20; ++round) {
        m_now = m_now + STEP;
        m_judge.onArrival("lookup", USUAL, m_now);
        m_judge.tick(m_now);
    }
    EXPECT_TRUE(m_judge.isSuspect("lookup", m_now));
    EXPECT_TRUE(m_judge.isSuspect("a class that has not run", m_now));
}

TEST_F(UpstreamJudgeTest, UpstreamNoWorseThanItsPeersIsNotSuspected)
{
    for (int request = 0; request < 50; ++request) {
        const bool bad = request % 5 < 3;
        serve("lookup", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10), DOUBTFUL);
    }
    EXPECT_FALSE(m_judge.isSuspect("lookup", m_now));
}

TEST_F(UpstreamJudgeTest, OutcomesOfASharedCauseDoNotConvictWhenThePeersAreWellAgain)
{
    for (int request = 0; request < 40; ++request) {
        serve("report", AttemptResult::Failed, Millis(10), DOUBTFUL);
    }
    for (int request = 0; request < 40; ++request) {
        const bool bad = request % 10 == 0;
        serve("report", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10));
        EXPECT_FALSE(m_judge.isSuspect("report", m_now)) << "request " << request;
    }
}

TEST_F(UpstreamJudgeTest, NewsOfTheUpcomingSharedCauseIsAwaited)
{
    constexpr int NEWS_AFTER = 8; // requests, so 160 ms
    for (int request = 0; request < 60; ++request) {
        const bool bad = request % 3 < 2;
        const Normality news{Millis(40), request < NEWS_AFTER ? 0.05 : 0.3};
        serve("lookup", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10), news);
        EXPECT_FALSE(m_judge.isSuspect("lookup", m_now)) << "request " << request;
    }
}

TEST_F(UpstreamJudgeTest, UpstreamThatFailsOnAfterASharedCauseIsSuspected)
{
    for (int request = 0; request < 40; ++request) {
        serve("report", AttemptResult::Failed, Millis(10), DOUBTFUL);
    }
    EXPECT_FALSE(m_judge.isSuspect("report", m_now));
    for (int request = 0; request < 60; ++request) {
        serve("report", AttemptResult::Failed, Millis(10));
    }
    EXPECT_TRUE(m_judge.isSuspect("report", m_now));
}

TEST_F(UpstreamJudgeTest, WithdrawnRequestsSayNothing)
{
    for (int request = 0; request < 50; ++request) {
        serve("lookup", AttemptResult::Unjudged, Millis(1000));
    }
    EXPECT_EQ(m_judge.score("lookup"), 0);
}

} // namespace

} // namespace mustardpond
