#include "decision/upstreamtrust.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis RUN{300};

class UpstreamTrustTest : public ::testing::Test
{
protected:
    void run(AttemptResult result, bool broken = false)
    {
        const std::uint64_t number = ++m_number;
        m_now = m_now + Millis(1);
        m_trust.onStart(number, "lookup", m_now);
        m_now = m_now + (broken ? Millis(1) : RUN);
        m_trust.onFinish(number, result, broken, m_now);
    }
    TrustLevel trustAfter(Millis wait)
    {
        m_now = m_now + wait;
        return m_trust.level(m_now);
    }

    UpstreamTrust m_trust;
    Millis m_now{1000};
    std::uint64_t m_number = 0;
};

TEST_F(UpstreamTrustTest, OneBrokenConnectionKeepsRiskyWorkAway)
{
    run(AttemptResult::Answered);
    EXPECT_EQ(trustAfter(Millis()), TrustLevel::Trusted);
    run(AttemptResult::Failed, true);
    EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, OneErrorAnswerIsTheRequestsOwn)
{
    run(AttemptResult::Failed);
    run(AttemptResult::Failed);
    EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Trusted);
    run(AttemptResult::Failed);
    EXPECT_NE(trustAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, FewErrorsAmongManyAnswersAreTheRequestsOwn)
{
    for (int i = 0; i < 60; ++i) {
        run(i % 4 == 0 ? AttemptResult::Failed : AttemptResult::Answered);
        EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Trusted);
    }
}

TEST_F(UpstreamTrustTest, TwoSuccessesInARowRestoreTrust)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    EXPECT_NE(trustAfter(Millis(1)), TrustLevel::Trusted);
    run(AttemptResult::Answered);
    EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, AFailureBetweenStartsTheCountAnew)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    run(AttemptResult::Failed, true);
    run(AttemptResult::Answered);
    EXPECT_NE(trustAfter(Millis(1)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, TrialsComeOneAtATimeAndWithPauses)
{
    run(AttemptResult::Failed, true);
    run(AttemptResult::Failed, true);
    EXPECT_EQ(trustAfter(Millis(10)), TrustLevel::Failing);
    EXPECT_EQ(trustAfter(Millis(1000)), TrustLevel::Doubtful);
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Failing);
}

TEST_F(UpstreamTrustTest, ASickUpstreamIsTriedEachSecondHoweverOftenItHasFailed)
{
    for (int i = 0; i < 20; ++i) {
        run(AttemptResult::Failed, true);
    }
    EXPECT_EQ(trustAfter(Millis(1000)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, DoubtsEndWhenNothingTriesTheUpstream)
{
    run(AttemptResult::Failed, true);
    EXPECT_EQ(trustAfter(Millis(6000)), TrustLevel::Trusted);
}

TEST_F(UpstreamTrustTest, ARunThatTakesManyUsualTimesIsDoubted)
{
    for (int i = 0; i < 10; ++i) {
        run(AttemptResult::Answered);
    }
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(trustAfter(RUN), TrustLevel::Trusted);
    EXPECT_EQ(trustAfter(RUN * 6), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, TheFirstRunsAreNotTakenForHanging)
{
    m_trust.onStart(99, "lookup", m_now);
    EXPECT_EQ(trustAfter(Millis(1000)), TrustLevel::Trusted);
    EXPECT_EQ(trustAfter(Millis(2000)), TrustLevel::Doubtful);
}

TEST_F(UpstreamTrustTest, WhatSaysNothingOfTheUpstreamChangesNothing)
{
    run(AttemptResult::Unjudged, true);
    run(AttemptResult::PathFailed, true);
    EXPECT_EQ(trustAfter(Millis(1)), TrustLevel::Trusted);
}

// The load that this answers: five requests a second, seven in ten of which may run once only, and spells of three
// seconds in which nearly all fail at once.
TEST_F(UpstreamTrustTest, SpellsCostFewRequestsThatMayRunOnceOnly)
{
    int sent = 0;
    int lost = 0;
    for (int step = 0; step < 600; ++step) {
        m_now = m_now + Millis(200);
        const bool spell = step % 60 >= 45;
        const bool risky = step % 10 < 7;
        const TrustLevel trust = m_trust.level(m_now);
        if (trust == TrustLevel::Failing || (trust == TrustLevel::Doubtful && risky)) {
            continue;
        }
        sent += risky ? 1 : 0;
        lost += risky && spell ? 1 : 0;
        const std::uint64_t number = ++m_number;
        m_trust.onStart(number, "lookup", m_now);
        m_trust.onFinish(number, spell ? AttemptResult::Failed : AttemptResult::Answered, spell,
                         m_now + (spell ? Millis(1) : Millis(100)));
    }
    EXPECT_LE(lost, 10) << "one at the start of each of ten spells";
    EXPECT_GE(sent, 250) << "of 315 outside the spells";
}

} // namespace

} // namespace mustardpond
