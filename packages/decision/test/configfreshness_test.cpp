#include "decision/configfreshness.h"

#include <gtest/gtest.h>

#include <vector>

namespace mustardpond {

namespace {

constexpr Millis MAX_AGE{5000};

class ConfigFreshnessTest : public ::testing::Test
{
protected:
    ConfigFreshnessTest()
    {
        m_freshness.setApplied(7);
    }

    bool serves(double now) const
    {
        const auto usable = m_freshness.usable();
        return isProofValid(usable ? std::optional<Millis>(usable->at) : std::nullopt, Millis(now), MAX_AGE);
    }

    /// Returns the peers asked until the end, at most one in each millisecond.
    std::vector<ProofPeer> askUntil(double end)
    {
        std::vector<ProofPeer> asked;
        for (; m_now < end; ++m_now) {
            if (const auto peer = m_freshness.takeQuestion(Millis(m_now))) {
                asked.push_back(*peer);
            }
        }
        return asked;
    }

    ConfigFreshness m_freshness{MAX_AGE, 0};
    double m_now = 10000;
};

// A restarted process must not serve before it has heard that its configuration is the newest.
TEST_F(ConfigFreshnessTest, AHostWithoutAProofDoesNotServe)
{
    EXPECT_FALSE(serves(0));
}

TEST_F(ConfigFreshnessTest, AProofEndsBeforeTheMaximumAge)
{
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    EXPECT_TRUE(serves(14900));
    EXPECT_FALSE(serves(14901)) << "nothing is left for clocks that drift apart";
}

// The proof shows that a change exists which this host does not know: its keys may be withdrawn.
TEST_F(ConfigFreshnessTest, AProofOfALaterVersionCountsOnceThatVersionIsInForce)
{
    m_freshness.add({8, Millis(10000)}, Millis(10000));
    EXPECT_FALSE(serves(10000));
    ASSERT_TRUE(m_freshness.latest());
    EXPECT_EQ(m_freshness.latest()->version, 8U);
    m_freshness.setApplied(8);
    EXPECT_TRUE(serves(10000));
}

TEST_F(ConfigFreshnessTest, AProofOfAnEarlierVersionCounts)
{
    m_freshness.add({6, Millis(10000)}, Millis(10000));
    EXPECT_TRUE(serves(10000));
}

// Answers of peers arrive in any order.
TEST_F(ConfigFreshnessTest, AnOlderProofDoesNotReplaceAYoungerOne)
{
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    m_freshness.add({7, Millis(6000)}, Millis(10010));
    EXPECT_TRUE(serves(14900));
}

TEST_F(ConfigFreshnessTest, AProofFromTheFutureOrOfNoVersionIsIgnored)
{
    m_freshness.add({7, Millis(10001)}, Millis(10000));
    m_freshness.add({0, Millis(9999)}, Millis(10000));
    EXPECT_FALSE(m_freshness.latest());
}

TEST_F(ConfigFreshnessTest, AYoungProofIsRenewedFromTheWatchersOnly)
{
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    EXPECT_EQ(askUntil(12000), (std::vector<ProofPeer>{ProofPeer::Watcher, ProofPeer::Watcher}));
}

TEST_F(ConfigFreshnessTest, WithAnOldProofAllKindsOfPeersAreAskedInTurn)
{
    m_freshness.add({7, Millis(8000)}, Millis(10000));
    EXPECT_EQ(askUntil(11000),
              (std::vector<ProofPeer>{ProofPeer::Watcher, ProofPeer::SameDataCentre, ProofPeer::OtherDataCentre,
                                      ProofPeer::Watcher}));
}

// Without it, each host would ask another data centre every second, over paid links, while nothing is wrong.
TEST_F(ConfigFreshnessTest, TheNextOldProofIsFirstRenewedFromAWatcher)
{
    for (int round = 0; round < 5; ++round) {
        m_freshness.add({7, Millis(m_now - 1500)}, Millis(m_now));
        EXPECT_EQ(askUntil(m_now + 501).back(), ProofPeer::Watcher);
    }
}

TEST_F(ConfigFreshnessTest, AWatcherAsksOnlyWhileItsOwnProofIsOld)
{
    m_freshness.setWatcher(true);
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    EXPECT_TRUE(askUntil(12300).empty());
    EXPECT_EQ(askUntil(13200).size(), 3U);
}

TEST(ConfigFreshnessSpreadTest, HostsWithTheSameProofAskAtDifferentTimes)
{
    ConfigFreshness early(MAX_AGE, 0);
    ConfigFreshness late(MAX_AGE, 0.5);
    for (ConfigFreshness *freshness : {&early, &late}) {
        freshness->setApplied(7);
        freshness->add({7, Millis(8500)}, Millis(10000));
        freshness->takeQuestion(Millis(10000));
    }
    EXPECT_EQ(late.nextQuestion() - early.nextQuestion(), Millis(150));
}

} // namespace

} // namespace mustardpond
