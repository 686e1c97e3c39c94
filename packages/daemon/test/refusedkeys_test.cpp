#include "refusedkeys.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

// A deployment without keys must see the same page as before.
TEST(RefusedKeysTest, CountsByCauseAndShowsNothingWithoutRefusals)
{
    Metrics metrics;
    EXPECT_EQ(metrics.exposition().find("unauthenticated"), std::string::npos);
    RefusedKeys refused(metrics);
    refused.add(KeyProblem::Missing, "s", Millis(1));
    refused.add(KeyProblem::Unknown, "s", Millis(2));
    refused.add(KeyProblem::Unknown, "s", Millis(3));
    const std::string text = metrics.exposition();
    EXPECT_NE(text.find("mustardpond_unauthenticated_total{cause=\"missing\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("mustardpond_unauthenticated_total{cause=\"unknown\"} 2\n"), std::string::npos);
}

// Callers that nobody controls could otherwise fill the log, whose queue then drops other lines.
TEST(RefusedKeysTest, LogsOnceASecondHowManyWereRefused)
{
    Metrics metrics;
    RefusedKeys refused(metrics);
    ::testing::internal::CaptureStdout();
    for (int now = 0; now <= 1000; ++now) {
        refused.add(KeyProblem::Missing, "s", Millis(now));
    }
    const std::string log = ::testing::internal::GetCapturedStdout();
    const auto first = log.find("refused=1 ");
    EXPECT_NE(first, std::string::npos) << log;
    EXPECT_NE(log.find("refused=1000 ", first), std::string::npos) << log;
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 2) << log;
}

} // namespace

} // namespace mustardpond
