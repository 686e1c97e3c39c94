#include "decision/upstreamfailuredetector.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr PeerBaseline HEALTHY_PEERS{Millis(40), 0};
constexpr PeerBaseline FAILING_PEERS{Millis(40), 0.6};
constexpr Millis STEP{20};

class UpstreamFailureDetectorTest : public ::testing::Test
{
protected:
    void serve(const std::string &workClass, AttemptResult result, Millis time,
               const PeerBaseline &peerBaseline = HEALTHY_PEERS)
    {
        m_now = m_now + STEP;
        m_detector.onArrival(workClass, peerBaseline, m_now);
        m_detector.onStart(++m_attempt, workClass, m_now);
        m_detector.onFinish(m_attempt, result, time, m_now);
        m_detector.tick(m_now);
    }

    UpstreamFailureDetector m_detector{DetectionProfile()};
    Millis m_now{1000};
    std::uint64_t m_attempt = 0;
};

TEST_F(UpstreamFailureDetectorTest, SlowUpstreamIsSuspectedForTheInitialEjectionTime)
{
    for (int request = 0; request < 14; ++request) {
        serve("lookup", AttemptResult::Answered, Millis(100));
    }
    EXPECT_TRUE(m_detector.isSuspect("lookup", m_now));
    EXPECT_FALSE(m_detector.isSuspect("lookup", m_now + DetectionProfile().initialEjectionTime));
}

TEST_F(UpstreamFailureDetectorTest, FailingClassDoesNotMakeOtherClassesSuspect)
{
    for (int request = 0; request < 10; ++request) {
        serve("report", AttemptResult::Failed, Millis(10));
        serve("lookup", AttemptResult::Answered, Millis(10));
    }
    EXPECT_TRUE(m_detector.isSuspect("report", m_now));
    EXPECT_FALSE(m_detector.isSuspect("lookup", m_now));
}

TEST_F(UpstreamFailureDetectorTest, HangingRequestsCountAsBadWhileTheyRun)
{
    for (int request = 0; request < 5; ++request) {
        m_detector.onArrival("lookup", HEALTHY_PEERS, m_now);
        m_detector.onStart(++m_attempt, "lookup", m_now);
    }
    for (int round = 0; round < 20; ++round) {
        m_now = m_now + STEP;
        m_detector.onArrival("lookup", HEALTHY_PEERS, m_now);
        m_detector.tick(m_now);
    }
    EXPECT_TRUE(m_detector.isSuspect("lookup", m_now));
    EXPECT_TRUE(m_detector.isSuspect("a class that has not run", m_now));
}

TEST_F(UpstreamFailureDetectorTest, UpstreamNoWorseThanItsPeersIsNotSuspected)
{
    for (int request = 0; request < 50; ++request) {
        const bool bad = request % 5 < 3;
        serve("lookup", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10), FAILING_PEERS);
    }
    EXPECT_FALSE(m_detector.isSuspect("lookup", m_now));
}

TEST_F(UpstreamFailureDetectorTest, OutcomesOfASharedCauseRaiseNoSuspicionAfterThePeersRecover)
{
    for (int request = 0; request < 40; ++request) {
        serve("report", AttemptResult::Failed, Millis(10), FAILING_PEERS);
    }
    for (int request = 0; request < 40; ++request) {
        const bool bad = request % 10 == 0;
        serve("report", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10));
        EXPECT_FALSE(m_detector.isSuspect("report", m_now)) << "request " << request;
    }
}

TEST_F(UpstreamFailureDetectorTest, SuspicionWaitsForPeerBaselinesThatShowASharedCause)
{
    constexpr int REQUESTS_BEFORE_PEERS_REPORT = 8; // 160 ms at one request per STEP
    for (int request = 0; request < 60; ++request) {
        const bool bad = request % 3 < 2;
        const PeerBaseline peerBaseline{Millis(40), request < REQUESTS_BEFORE_PEERS_REPORT ? 0.05 : 0.3};
        serve("lookup", bad ? AttemptResult::Failed : AttemptResult::Answered, Millis(10), peerBaseline);
        EXPECT_FALSE(m_detector.isSuspect("lookup", m_now)) << "request " << request;
    }
}

TEST_F(UpstreamFailureDetectorTest, UpstreamStillFailingAfterASharedCauseIsSuspected)
{
    for (int request = 0; request < 40; ++request) {
        serve("report", AttemptResult::Failed, Millis(10), FAILING_PEERS);
    }
    EXPECT_FALSE(m_detector.isSuspect("report", m_now));
    for (int request = 0; request < 60; ++request) {
        serve("report", AttemptResult::Failed, Millis(10));
    }
    EXPECT_TRUE(m_detector.isSuspect("report", m_now));
}

TEST_F(UpstreamFailureDetectorTest, UnjudgedRequestsDoNotChangeTheScore)
{
    for (int request = 0; request < 50; ++request) {
        serve("lookup", AttemptResult::Unjudged, Millis(1000));
    }
    EXPECT_EQ(m_detector.score("lookup"), 0);
}

} // namespace

} // namespace mustardpond
