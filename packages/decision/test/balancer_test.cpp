#include "decision/balancer.h"

#include "decision/quarantine.h"
#include "decision/refusal.h"
#include "decision/retrybudget.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis TARGET{100};

Candidate candidate(const std::string &name, Distance distance, double load)
{
    Candidate result;
    result.upstream = name;
    result.distance = distance;
    result.roundTrip = distance == Distance::OtherRegion ? Millis(16) : Millis(1);
    result.serviceTime = Millis(30);
    result.load = load;
    result.slots = 5;
    return result;
}

TEST(BalancerTest, PrefersTheNearestUpstreamThatMeetsTheTarget)
{
    SeededRandom random(1);
    const std::vector<Candidate> candidates = {candidate("far", Distance::OtherRegion, 0),
                                               candidate("home", Distance::SameDataCentre, 9)};
    for (int round = 0; round < 100; ++round) {
        EXPECT_EQ(chooseUpstream(candidates, TARGET, random), 1U);
    }
}

TEST(BalancerTest, UsesAnotherRegionWhenTheDataCentreWouldMissTheTarget)
{
    SeededRandom random(1);
    const std::vector<Candidate> candidates = {candidate("far", Distance::OtherRegion, 0),
                                               candidate("home", Distance::SameDataCentre, 30)};
    EXPECT_EQ(chooseUpstream(candidates, TARGET, random), 0U);
}

TEST(BalancerTest, NeverChoosesEjectedOrTriedUpstreams)
{
    SeededRandom random(1);
    std::vector<Candidate> candidates = {candidate("ejected", Distance::SameDataCentre, 0),
                                         candidate("tried", Distance::SameDataCentre, 0)};
    candidates[0].weight = 0;
    candidates[1].excluded = true;
    EXPECT_FALSE(chooseUpstream(candidates, TARGET, random));
}

TEST(RetryBudgetTest, LimitsRetriesToTheirShareOfFirstAttempts)
{
    RetryBudget budget({0.1, 3});
    int retries = 0;
    constexpr int FIRST_ATTEMPTS = 10000;
    for (int request = 0; request < FIRST_ATTEMPTS; ++request) {
        budget.onFirstAttempt();
        retries += budget.tryConsumeRetry() ? 1 : 0;
    }
    EXPECT_LE(retries, FIRST_ATTEMPTS / 10 + 3);
    EXPECT_GE(retries, FIRST_ATTEMPTS / 10 - 3);
}

TEST(QuarantineTest, SecondCrashQuarantinesARequestUntilItIsReleased)
{
    Quarantine quarantine(2);
    EXPECT_EQ(quarantine.onCrash(7, Millis(1)), QuarantineStatus::Suspect);
    EXPECT_EQ(quarantine.onCrash(7, Millis(2)), QuarantineStatus::Quarantined);
    quarantine.onCompleted(7, Millis(3));
    EXPECT_EQ(quarantine.status(7, Millis(4)), QuarantineStatus::Quarantined);
    quarantine.release(7);
    EXPECT_EQ(quarantine.status(7, Millis(5)), QuarantineStatus::Clear);
}

TEST(QuarantineTest, CompletedRunsAndExpiredRecordsClearASuspect)
{
    Quarantine quarantine(2, Millis(100));
    quarantine.onCrash(7, Millis(1));
    quarantine.onCompleted(7, Millis(2));
    EXPECT_EQ(quarantine.onCrash(7, Millis(3)), QuarantineStatus::Suspect);
    EXPECT_EQ(quarantine.status(7, Millis(104)), QuarantineStatus::Clear);
    EXPECT_EQ(quarantine.onCrash(7, Millis(105)), QuarantineStatus::Suspect);
}

TEST(RefusalTest, AppliesOnlyUntilExpiryAndToItsShareOfMatchingRequests)
{
    const std::vector<ApprovedRefusal> refusals = {{"r", "aylin", "sicil", "lookup", "", 0.5, Millis(100)}};
    EXPECT_TRUE(findRefusal(refusals, {"sicil", "lookup", "izmir", 0.4}, Millis(99)));
    EXPECT_FALSE(findRefusal(refusals, {"sicil", "lookup", "izmir", 0.4}, Millis(100)));
    EXPECT_FALSE(findRefusal(refusals, {"sicil", "lookup", "izmir", 0.6}, Millis(99)));
    EXPECT_FALSE(findRefusal(refusals, {"muhur", "lookup", "izmir", 0.4}, Millis(99)));
}

} // namespace

} // namespace mustardpond
