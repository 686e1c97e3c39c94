#include "control/proofreport.h"

#include <gtest/gtest.h>

#include <vector>

namespace mustardpond {

namespace {

constexpr Millis MAX_AGE{5000};

class ProofReportTest : public ::testing::Test
{
protected:
    ProofReportTest()
    {
        m_freshness.setApplied(7);
    }

    void update(double now)
    {
        m_report.update(m_freshness, true, Millis(now));
    }

    ConfigFreshness m_freshness{MAX_AGE, 0};
    std::vector<double> m_handedOver;
    ProofReport m_report{MAX_AGE, [this](const FreshnessProof &proof) { m_handedOver.push_back(proof.at.value); }};
};

TEST_F(ProofReportTest, OnlyNotablyYoungerProofsAreHandedOver)
{
    for (const double at : {10000, 10100, 10199, 10200, 10399, 10400}) {
        m_freshness.add({7, Millis(at)}, Millis(at));
        update(at);
    }
    EXPECT_EQ(m_handedOver, (std::vector<double>{10000, 10200, 10400}));
}

// Else the request path would refuse keys although a valid proof is known.
TEST_F(ProofReportTest, AProofThatMakesKeysAcceptableIsHandedOverAtOnce)
{
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    update(10000);
    m_freshness.add({7, Millis(10100)}, Millis(14950));
    update(14950);
    EXPECT_EQ(m_handedOver, (std::vector<double>{10000, 10100}));
}

// An actor that is due again and again without anything to do would use up the host's processor.
TEST_F(ProofReportTest, AnExpiredProofIsReportedOnce)
{
    m_freshness.add({7, Millis(10000)}, Millis(10000));
    update(10000);
    const Millis due = m_report.nextDue();
    EXPECT_LE(due, Millis(15001));
    update(due.value);
    EXPECT_GT(m_report.nextDue(), Millis(1e9));
}

} // namespace

} // namespace mustardpond
