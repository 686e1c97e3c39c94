#include "decision/startchallenge.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis HEARTBEAT_INTERVAL{1500};

TEST(StartChallengeTest, AStartThatGoesOnWhileTheKnownOneIsSilentReplacesIt)
{
    StartChallenge challenge;
    Millis now(10000);
    EXPECT_FALSE(challenge.onClaim({100, 1, Millis(9000)}, now));
    EXPECT_FALSE(challenge.onClaim({100, 2, Millis(9000)}, now = now + HEARTBEAT_INTERVAL));
    EXPECT_FALSE(challenge.onClaim({100, 3, Millis(9000)}, now = now + HEARTBEAT_INTERVAL));
    EXPECT_TRUE(challenge.onClaim({100, 4, Millis(9000)}, now = now + HEARTBEAT_INTERVAL));
}

TEST(StartChallengeTest, TheKnownStartKeepsItsPlaceWhileItAnnouncesItself)
{
    StartChallenge challenge;
    Millis now(10000);
    for (std::uint64_t sequence = 1; sequence < 20; ++sequence) {
        EXPECT_FALSE(challenge.onClaim({100, sequence, now - Millis(100)}, now));
        now = now + HEARTBEAT_INTERVAL;
    }
}

// Plays announcements of an ended start that arrive up to three seconds late, at once and in turn.
TEST(StartChallengeTest, LateAnnouncementsOfAnEndedStartReplaceNothing)
{
    StartChallenge challenge;
    const Millis endedAt(10000);
    for (int delay = 0; delay <= 3000; delay += 500) {
        const auto sequence = static_cast<std::uint64_t>(10 + delay / 500);
        EXPECT_FALSE(challenge.onClaim({100, sequence, endedAt}, endedAt + Millis(delay)));
    }
}

TEST(StartChallengeTest, ARepeatedAnnouncementShowsNoProgress)
{
    StartChallenge challenge;
    for (int second = 0; second < 20; ++second) {
        EXPECT_FALSE(challenge.onClaim({100, 5, Millis(0)}, Millis(10000 + second * 1000)));
    }
}

} // namespace

} // namespace mustardpond
