#include "decision/upstreamtrust.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis USUAL_RUN_TIME{300};

class UpstreamTrustTest : public ::testing::Test
{
protected:
    void run(AttemptResult result, bool broken = false)
    {
        const std::uint64_t number = ++m_number;
        m_now = m_now + Millis(1);
        m_trust.onStart(number, "lookup", m_now);
        m_now = m_now + (broken ? Millis(1) : USUAL_RUN_TIME);
        m_trust.onFinish(number, result, broken, m_now);
    }
    TrustLevel levelAfter(Millis wait)
    {
        m_now = m_now + wait;
        return m_trust.level(m_now);
    }

    UpstreamTrust m_trust;
    Millis m_now{1000};
    std::uint64_t m_number = 0;
};

TEST_F(UpstreamTrustTest, OneBrokenConnectionMakesTheUpstreamDoubtful)
{
    run(AttemptResult::Answered);
    EXPECT_EQ(levelAfter(Millis()), TrustLevel::Trusted);
    run(AttemptResult::Failed, true);
    EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, TrustIsReducedOnlyFromTheThirdErrorAnswer)
{
    run(AttemptResult::Failed);
    run(AttemptResult::Failed);
    EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Trusted);
    run(AttemptResult::Failed);
    EXPECT_NE(levelAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, ErrorAnswersBelowTheMinimumShareDoNotReduceTrust)
{
    for (int i = 0; i < 60; ++i) {
        run(i % 4 == 0 ? AttemptResult::Failed : AttemptResult::Answered);
        EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Trusted);
    }
}

TEST_F(UpstreamTrustTest, TwoSuccessesInARowRestoreTrust)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    EXPECT_NE(levelAfter(Millis(1)), TrustLevel::Trusted);
    run(AttemptResult::Answered);
    EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, FailureResetsTheCountOfSuccesses)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    EXPECT_NE(levelAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, TrialsRunOneAtATimeAndAtIntervals)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Failed, true);
    EXPECT_EQ(levelAfter(Millis(10)), TrustLevel::Failing);
    EXPECT_EQ(levelAfter(Millis(1000)), TrustLevel::Doubtful);
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Failing);
}

TEST_F(UpstreamTrustTest, FailingUpstreamGetsATrialEverySecondAfterAnyNumberOfFailures)
{
    for (int i = 0; i < 20; ++i) {
        run(AttemptResult::Failed, true);
    }
    EXPECT_EQ(levelAfter(Millis(1000)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, UpstreamIsTrustedAgainAfterTheTimeoutWithoutATrial)
{
    run(AttemptResult::Failed, true);
    EXPECT_EQ(levelAfter(Millis(6000)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, RunManyTimesLongerThanUsualMakesTheUpstreamDoubtful)
{
    for (int i = 0; i < 10; ++i) {
        run(AttemptResult::Answered);
    }
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(levelAfter(USUAL_RUN_TIME), TrustLevel::Trusted);
    EXPECT_EQ(levelAfter(USUAL_RUN_TIME * 6), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, FirstRunUsesTheDefaultHangTime)
{
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(levelAfter(Millis(1000)), TrustLevel::Trusted);
    EXPECT_EQ(levelAfter(Millis(2000)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, UnjudgedAndPathFailedRunsDoNotChangeTrust)
{
    run(AttemptResult::Unjudged, true);
    run(AttemptResult::PathFailed, true);
    EXPECT_EQ(levelAfter(Millis(1)), TrustLevel::Trusted);
}

// Models a load of five requests a second, of which seven in ten may run only once, with periods of three seconds in
// which nearly all requests fail at once; here all of them fail.
TEST_F(UpstreamTrustTest, FailurePeriodsLoseFewRequestsThatMayRunOnlyOnce)
{
    int sent = 0;
    int lost = 0;
    for (int step = 0; step < 600; ++step) {
        m_now = m_now + Millis(200);
        const bool failing = step % 60 >= 45;
        const bool runsOnlyOnce = step % 10 < 7;
        const TrustLevel level = m_trust.level(m_now);
        if (level == TrustLevel::Failing || (level == TrustLevel::Doubtful && runsOnlyOnce)) {
            continue;
        }
        sent += runsOnlyOnce ? 1 : 0;
        lost += runsOnlyOnce && failing ? 1 : 0;
        const std::uint64_t number = ++m_number;
        m_trust.onStart(number, "lookup", m_now);
        m_trust.onFinish(number, failing ? AttemptResult::Failed : AttemptResult::Answered, failing,
                         m_now + (failing ? Millis(1) : Millis(100)));
    }
    EXPECT_LE(lost, 10) << "one at the start of each of ten failure periods";
    EXPECT_GE(sent, 250) << "of 315 outside the failure periods";
}

/// Guards against an upstream that gets no work since the caller of a long answer does not read.
TEST_F(UpstreamTrustTest, WaitingForASlowReaderIsNeitherHangingNorServiceTime)
{
    run(AttemptResult::Answered);
    m_trust.onStart(99, "lookup", m_now);
    m_trust.onReaderWait(99, m_now + Millis(100));
    EXPECT_EQ(levelAfter(Millis(5000)), TrustLevel::Trusted);
    m_trust.onReaderReady(99, m_now);
    EXPECT_EQ(levelAfter(Millis(200)), TrustLevel::Trusted);
    m_trust.onFinish(99, AttemptResult::Answered, false, m_now);
    EXPECT_NEAR(m_trust.typicalServiceTime().value, USUAL_RUN_TIME.value, 1);
    m_trust.onStart(100, "lookup", m_now);
    EXPECT_EQ(levelAfter(Millis(5000)), TrustLevel::Doubtful) << "a run that waits for no reader hangs";
}

} // namespace

} // namespace mustardpond
