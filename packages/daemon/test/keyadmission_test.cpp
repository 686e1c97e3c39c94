#include "router/keyadmission.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis NOW{20000};
constexpr Millis MAX_AGE{5000};

TEST(KeyAdmissionTest, WithoutTheSettingOrOrganisationsNoProofIsNeeded)
{
    EXPECT_TRUE(KeyAdmission(KeySettings{false, MAX_AGE}).accepts(true, NOW));
    EXPECT_TRUE(KeyAdmission(KeySettings{true, MAX_AGE}).accepts(false, NOW));
    EXPECT_EQ(KeyAdmission(KeySettings{false, MAX_AGE}).exposition(NOW), "");
}

TEST(KeyAdmissionTest, KeysAreAcceptedWhileTheProofIsYoung)
{
    KeyAdmission admission(KeySettings{true, MAX_AGE});
    EXPECT_FALSE(admission.accepts(true, NOW)) << "a process that has just started";
    admission.setProof({7, NOW - Millis(4900)});
    EXPECT_TRUE(admission.accepts(true, NOW));
    EXPECT_FALSE(admission.accepts(true, NOW + Millis(1)));
}

TEST(KeyAdmissionTest, RefusedRequestsHaveNotRunAndAreCounted)
{
    KeyAdmission admission(KeySettings{true, MAX_AGE});
    admission.setProof({7, NOW - Millis(6000)});
    const RouterAnswer answer = admission.refuse();
    EXPECT_EQ(answer.outcome, Outcome::NotRun);
    EXPECT_EQ(answer.retryAfter, Millis(1000));
    const std::string metrics = admission.exposition(NOW);
    EXPECT_NE(metrics.find("\nmustardpond_unproved_requests_total 1\n"), std::string::npos);
    EXPECT_NE(metrics.find("\nmustardpond_proof_age_ms 6000\n"), std::string::npos);
}

} // namespace

} // namespace mustardpond
