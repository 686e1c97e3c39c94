#include "decision/quotaaccount.h"
#include "decision/quotalenders.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

Organisation organisation(double rate, double burst)
{
    Organisation result;
    result.name = "vakif";
    result.ratePerSecond = rate;
    result.burst = burst;
    return result;
}

const QuotaTolerance TOLERANCE{Millis(5000), 0.1, 20, 6};

TEST(QuotaBucketTest, ShareLeavesHalfOfTheTolerance)
{
    const QuotaShare share = quotaShareOf(organisation(12, 30), TOLERANCE);
    EXPECT_DOUBLE_EQ(share.refillPerMs, 0.002);
    EXPECT_DOUBLE_EQ(share.capacity, (30 + (0.1 * 90 + 20) / 2) / 6);
    EXPECT_DOUBLE_EQ(quotaShareOf(organisation(12, 0), {Millis(5000), 0, 0, 6}).capacity, 1.0 / 6);
}

// A restarted lender that started with a full bucket would admit the burst again at each restart.
TEST(QuotaBucketTest, StartsEmptyAtTheGivenTime)
{
    QuotaBucket bucket({0.01, 5}, Millis(1000), Millis(1000));
    EXPECT_EQ(bucket.take(1, Millis(1099)), 0U);
    EXPECT_EQ(bucket.take(1, Millis(1100)), 1U);
    EXPECT_EQ(bucket.take(9, Millis(90000)), 5U) << "bounded by its capacity";
}

TEST(QuotaBucketTest, LoweredLimitTakesTokensAway)
{
    QuotaBucket bucket({0.01, 50}, Millis(0), Millis(10000));
    bucket.setShare({0.001, 2}, Millis(10000));
    EXPECT_EQ(bucket.take(50, Millis(10000)), 2U);
    EXPECT_EQ(bucket.take(50, Millis(11000)), 1U);
}

TEST(QuotaBucketTest, ReturnedTokensStayWithinTheCapacity)
{
    QuotaBucket bucket({0, 2}, Millis(0), Millis(0));
    bucket.giveBack(5, Millis(0));
    EXPECT_EQ(bucket.take(5, Millis(0)), 2U);
}

TEST(QuotaBucketTest, LoansServeWaitingRequestsBeyondASmallCapacity)
{
    QuotaBucket bucket({0, 0.2}, Millis(0), Millis(0));
    bucket.deposit(0.6, 0, Millis(0));
    EXPECT_DOUBLE_EQ(bucket.level(Millis(0)), 0.2);
    bucket.deposit(0.9, 1, Millis(0));
    EXPECT_EQ(bucket.take(1, Millis(0)), 1U);
}

TEST(QuotaAccountTest, DonorKeepsItsOwnDemand)
{
    QuotaAccount account({0.01, 20}, Millis(0), Millis(2000));
    for (int step = 0; step < 20; ++step) {
        account.addDemand(1, Millis(1000.0 + 50 * step));
    }
    const double reserve = 20 - account.lend(100, Millis(2000));
    EXPECT_NEAR(reserve, 5, 1.5) << "20/s for 250 ms";
    EXPECT_DOUBLE_EQ(account.lend(100, Millis(2000)), 0);
}

TEST(QuotaAccountTest, BorrowsItsDemandAndAtLeastOneToken)
{
    QuotaAccount account({0, 20}, Millis(0), Millis(0));
    EXPECT_DOUBLE_EQ(account.wantedLoan(0, Millis(0)), 1);
    EXPECT_DOUBLE_EQ(account.wantedLoan(7, Millis(0)), 7);
    for (int step = 0; step < 200; ++step) {
        account.addDemand(1, Millis(10.0 * step));
    }
    EXPECT_NEAR(account.wantedLoan(1, Millis(2000)), 25, 3) << "100/s for 250 ms";
}

// Callers that are all told the same time come back together and are refused again.
TEST(QuotaAccountTest, EachRefusedRequestIsToldALaterTime)
{
    QuotaAccount account({0.01, 5}, Millis(0), Millis(0));
    EXPECT_DOUBLE_EQ(account.creditAfter(Millis(5000), Millis(0)).value, 100);
    EXPECT_DOUBLE_EQ(account.creditAfter(Millis(5000), Millis(0)).value, 200);
    for (int refused = 0; refused < 100; ++refused) {
        account.creditAfter(Millis(5000), Millis(0));
    }
    EXPECT_DOUBLE_EQ(account.creditAfter(Millis(5000), Millis(0)).value, 5000);
}

TEST(QuotaAccountTest, IsForgottenOnlyWhenFull)
{
    QuotaAccount account({0.0001, 5}, Millis(0), Millis(60000));
    account.take(5, Millis(60000));
    EXPECT_FALSE(account.isForgettable(Millis(80000)));
    EXPECT_TRUE(account.isForgettable(Millis(120000)));
}

TEST(LenderTermsTest, OnlyOrganisationsOfALeavingMemberMove)
{
    const std::set<std::string> all{"a", "b", "c", "d"};
    std::set<std::string> fewer = all;
    fewer.erase("b");
    int moved = 0;
    for (int number = 0; number < 400; ++number) {
        const std::string name = std::to_string(number);
        EXPECT_EQ(firstLender(name, all), rankLenders(name, all).front());
        if (firstLender(name, all) == "b") {
            EXPECT_EQ(firstLender(name, fewer), rankLenders(name, all)[1]);
            ++moved;
        } else {
            EXPECT_EQ(firstLender(name, fewer), firstLender(name, all));
        }
    }
    EXPECT_NEAR(moved, 100, 30);
}

// A lender whose bucket started full at the change would admit what the lender before has admitted already.
TEST(LenderTermsTest, TermStartsWhenAMemberOfHigherRankLeaves)
{
    const std::vector<std::string> order = rankLenders("vakif", {"a", "b", "c"});
    LenderTerms terms(order[1], Millis(10));
    terms.update({"a", "b", "c"}, Millis(20));
    EXPECT_FALSE(terms.isLender("vakif"));
    EXPECT_TRUE(terms.isLender("vakif", order[0]));
    terms.update({order[1], order[2]}, Millis(500));
    EXPECT_TRUE(terms.isLender("vakif"));
    EXPECT_EQ(terms.since("vakif"), Millis(500));
    terms.update({order[1]}, Millis(900));
    EXPECT_EQ(terms.since("vakif"), Millis(500)) << "a member of lower rank was not the lender before";
    terms.restart(Millis(1000));
    EXPECT_EQ(terms.since("vakif"), Millis(1000));
}

// A host that was cut off took over all organisations of its data centre.
TEST(LenderMajorityTest, HoldsWhileMoreThanHalfAreAlive)
{
    LenderMajority majority;
    majority.update({"a", "b", "c", "d"}, {}, Millis(0));
    majority.update({"a", "b", "c"}, {}, Millis(1000));
    EXPECT_TRUE(majority.holds(Millis(1000)));
    majority.update({"a", "b"}, {}, Millis(2000));
    EXPECT_FALSE(majority.holds(Millis(2000))) << "half is not enough";
    EXPECT_TRUE(majority.holds(Millis(11500))) << "one of the dead is no longer counted";
    majority.update({"a"}, {"b", "c", "d"}, Millis(2500));
    EXPECT_TRUE(majority.holds(Millis(2500))) << "the others have left as planned";
}

// Guards against a host that starts while it is cut off, knows only itself, and takes itself for a majority.
TEST(LenderMajorityTest, AHostThatHasSeenNobodyCountsThoseThatTheStoreLists)
{
    LenderMajority majority;
    majority.addRegistered({"a", "b", "c"}, Millis(0));
    majority.update({"a"}, {}, Millis(0));
    EXPECT_FALSE(majority.holds(Millis(2500)));
    EXPECT_EQ(majority.known(Millis(2500)).size(), 3U) << "the voters that it has to ask";
    majority.update({"a"}, {"b"}, Millis(3000));
    EXPECT_FALSE(majority.holds(Millis(3000)));
    majority.update({"a", "c"}, {"b"}, Millis(4000));
    EXPECT_TRUE(majority.holds(Millis(4000)));
}

} // namespace

} // namespace mustardpond
