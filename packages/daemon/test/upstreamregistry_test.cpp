#include "upstreamregistry.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class UpstreamRegistryTest : public ::testing::Test
{
protected:
    static Announcement makeAnnouncement(const std::string &id, UpstreamState state, std::uint64_t sequence,
                                         std::uint64_t born = 100)
    {
        Announcement announcement;
        announcement.id = id;
        announcement.service = "sicil";
        announcement.address = {"127.0.0.1", 9000};
        announcement.state = state;
        announcement.slots = 5;
        announcement.sequence = sequence;
        announcement.born = born;
        return announcement;
    }
    static Announcement makeDeregistration(const std::string &id)
    {
        Announcement announcement;
        announcement.id = id;
        announcement.state = UpstreamState::Gone;
        return announcement;
    }
    AnnounceResult announce(const Announcement &announcement)
    {
        return m_registry.announce(announcement, Millis(1));
    }
    UpstreamState stateOf(const std::string &id)
    {
        return m_registry.find(id)->announced.state;
    }

    UpstreamRegistry m_registry{4, false};
};

/// Time of day at which a deregistration arrives.
constexpr std::uint64_t ENDED_AT = 500;

// After a restart of all daemons an acknowledged deregistration was undone by a heartbeat that had been sent before it.
TEST_F(UpstreamRegistryTest, LateAnnouncementDoesNotRevertDeregistrationOfAnUnknownStart)
{
    Announcement deregistration = makeDeregistration("a");
    deregistration.endedAt = ENDED_AT;
    EXPECT_EQ(announce(deregistration), AnnounceResult::Changed);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 6, 100)), AnnounceResult::Late);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 7, 100)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 1, ENDED_AT + 1)), AnnounceResult::Changed)
        << "a new start";
}

TEST_F(UpstreamRegistryTest, DeregistrationEndsAStartWhoseFirstAnnouncementIsLate)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 9, 100));
    Announcement deregistration = makeDeregistration("a");
    deregistration.endedAt = ENDED_AT;
    announce(deregistration);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 1, 200)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
}

TEST_F(UpstreamRegistryTest, RestoredDeregistrationOfAnUnknownStartEndsEarlierStarts)
{
    Announcement deregistration = makeDeregistration("a");
    deregistration.endedAt = ENDED_AT;
    announce(deregistration);
    UpstreamRegistry restarted(4, false);
    restarted.announce(makeAnnouncement("a", UpstreamState::Ready, 6, 100), Millis(1));
    restarted.restore(m_registry.infos().front());
    EXPECT_FALSE(restarted.isReady("a")) << "announced before the record was read";
    EXPECT_EQ(restarted.announce(makeAnnouncement("a", UpstreamState::Ready, 7, 100), Millis(2)), AnnounceResult::Late);
    EXPECT_EQ(restarted.announce(makeAnnouncement("a", UpstreamState::Ready, 1, ENDED_AT + 1), Millis(3)),
              AnnounceResult::Changed);
}

// After the clock was set back between two starts, the second one's announcements were ignored for good.
TEST_F(UpstreamRegistryTest, StartAfterABackwardClockStepIsUsedAndDrained)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    AnnounceResult result = AnnounceResult::Late;
    std::uint64_t sequence = 1;
    for (Millis now(1500); now <= Millis(6000); now = now + Millis(1500)) {
        result = m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence++, 500), now);
    }
    EXPECT_EQ(result, AnnounceResult::Changed);
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Draining, sequence, 500), Millis(7500)),
              AnnounceResult::Changed);
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence + 1, 500), Millis(9000)),
              AnnounceResult::Late);
    EXPECT_FALSE(m_registry.isReady("a"));
}

// A drain was refused with 503 until its start had announced itself for 4 s: a start that left sooner was never
// acknowledged, and its running requests were cut.
TEST_F(UpstreamRegistryTest, DrainAfterABackwardClockStepIsAppliedAtOnce)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Draining, 1, 500)), AnnounceResult::Changed);
    EXPECT_FALSE(m_registry.isReady("a"));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 5, 2000)), AnnounceResult::Late)
        << "a late announcement of the ended start";
    EXPECT_FALSE(m_registry.isReady("a"));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 1, 600)), AnnounceResult::Changed) << "a new start";
}

TEST_F(UpstreamRegistryTest, StartThatGoesOnIsUsedAfterALateDrainOfAnEndedOne)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    announce(makeAnnouncement("a", UpstreamState::Draining, 7, 500));
    std::uint64_t sequence = 5;
    for (Millis now(1500); now <= Millis(6000); now = now + Millis(1500)) {
        m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence++, 2000), now);
    }
    EXPECT_TRUE(m_registry.isReady("a"));
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Draining, 8, 500), Millis(6100)),
              AnnounceResult::Late)
        << "the same start leaves only once";
    EXPECT_TRUE(m_registry.isReady("a"));
}

TEST_F(UpstreamRegistryTest, LateDrainOfAStartKnownToHaveLeftChangesNothing)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 100));
    announce(makeAnnouncement("a", UpstreamState::Draining, 5, 100));
    announce(makeAnnouncement("a", UpstreamState::Ready, 1, 200));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Draining, 6, 100)), AnnounceResult::Late);
    EXPECT_TRUE(m_registry.isReady("a"));
}

// After a drain had been acknowledged, a late announcement of the start before it made the upstream ready again.
TEST_F(UpstreamRegistryTest, LateAnnouncementOfTheReplacedStartDoesNotRevertADrain)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    std::uint64_t sequence = 1;
    for (Millis now(1500); now <= Millis(6000); now = now + Millis(1500)) {
        m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence++, 500), now);
    }
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Draining, sequence, 500), Millis(7500)),
              AnnounceResult::Changed);
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, 5, 2000), Millis(8000)),
              AnnounceResult::Late);
    EXPECT_FALSE(m_registry.isReady("a"));
}

TEST_F(UpstreamRegistryTest, DrainAfterABackwardClockStepIsAppliedAfterARestart)
{
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 2000, 4});
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Draining, 3, 500)), AnnounceResult::Changed);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 5, 2000)), AnnounceResult::Late);
    EXPECT_FALSE(m_registry.isReady("a"));
    std::uint64_t sequence = 6;
    for (Millis now(1500); now <= Millis(7500); now = now + Millis(1500)) {
        m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence++, 2000), now);
    }
    EXPECT_TRUE(m_registry.isReady("a")) << "the restored start was only silent";
}

TEST_F(UpstreamRegistryTest, RestoredDrainAfterABackwardClockStepEndsTheReplacedStart)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    announce(makeAnnouncement("a", UpstreamState::Draining, 3, 500));
    UpstreamRegistry restarted(4, false);
    restarted.restore(m_registry.infos().front());
    EXPECT_EQ(restarted.announce(makeAnnouncement("a", UpstreamState::Ready, 5, 2000), Millis(2)),
              AnnounceResult::Late);
    EXPECT_EQ(restarted.announce(makeAnnouncement("a", UpstreamState::Ready, 2, 500), Millis(3)), AnnounceResult::Late);
    EXPECT_FALSE(restarted.isReady("a"));
}

TEST_F(UpstreamRegistryTest, DrainOfANewIdAfterABackwardClockStepIsKept)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    EXPECT_EQ(announce(makeAnnouncement("b", UpstreamState::Draining, 3, 500)), AnnounceResult::Changed);
    EXPECT_TRUE(m_registry.isReady("a"));
    UpstreamRegistry restarted(4, false);
    for (const UpstreamInfo &info : m_registry.infos()) {
        restarted.restore(info);
    }
    EXPECT_EQ(restarted.announce(makeAnnouncement("b", UpstreamState::Ready, 2, 500), Millis(2)), AnnounceResult::Late);
}

TEST_F(UpstreamRegistryTest, StartThatGoesOnIsUsedAfterALateDeregistrationOfAnEndedOne)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    Announcement deregistration = makeDeregistration("a");
    deregistration.born = 500;
    deregistration.sequence = 9;
    EXPECT_EQ(announce(deregistration), AnnounceResult::Changed);
    EXPECT_FALSE(m_registry.isReady("a"));
    std::uint64_t sequence = 5;
    for (Millis now(1500); now <= Millis(7500); now = now + Millis(1500)) {
        m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence++, 2000), now);
    }
    EXPECT_TRUE(m_registry.isReady("a"));
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, sequence, 2000), Millis(9000)),
              AnnounceResult::Unchanged);
}

TEST_F(UpstreamRegistryTest, NewIdAfterABackwardClockStepReplacesTheOldOne)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 4, 2000));
    std::uint64_t sequence = 1;
    for (Millis now(1500); now <= Millis(7500); now = now + Millis(1500)) {
        m_registry.announce(makeAnnouncement("b", UpstreamState::Ready, sequence++, 500), now);
    }
    EXPECT_TRUE(m_registry.isReady("b"));
    EXPECT_FALSE(m_registry.isReady("a"));
    m_registry.restore({"b", "sicil", UpstreamState::Ready, 5, 1900, 3}); // as peers still remember it
    EXPECT_EQ(m_registry.announce(makeAnnouncement("b", UpstreamState::Ready, sequence, 500), Millis(9000)),
              AnnounceResult::Unchanged);
    EXPECT_EQ(m_registry.announce(makeAnnouncement("a", UpstreamState::Ready, 5, 2000), Millis(9500)),
              AnnounceResult::Changed)
        << "the first one was only silent";
    EXPECT_FALSE(m_registry.isReady("b"));
}

TEST_F(UpstreamRegistryTest, LateAnnouncementDoesNotRevertDraining)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 1));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Draining, 4)), AnnounceResult::Changed);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 3)), AnnounceResult::Late);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 5)), AnnounceResult::Late)
        << "draining is final for one start";
    EXPECT_EQ(stateOf("a"), UpstreamState::Draining);
}

TEST_F(UpstreamRegistryTest, RestartUnderTheSameIdReplacesTheState)
{
    announce(makeAnnouncement("a", UpstreamState::Draining, 9, 100));
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 1, 200)), AnnounceResult::Changed);
    EXPECT_EQ(stateOf("a"), UpstreamState::Ready);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 10, 100)), AnnounceResult::Late);
}

TEST_F(UpstreamRegistryTest, UpstreamStartedLastReplacesEarlierOnes)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 7, 100));
    announce(makeAnnouncement("b", UpstreamState::Ready, 1, 200));
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 8, 100)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("b"), UpstreamState::Ready);
}

TEST_F(UpstreamRegistryTest, DeregistrationNeedsOnlyTheId)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 3));
    EXPECT_EQ(announce(makeDeregistration("a")), AnnounceResult::Changed);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(m_registry.find("a")->announced.service, "sicil");
}

TEST_F(UpstreamRegistryTest, LateAnnouncementDoesNotRevertRestoredDraining)
{
    m_registry.restore({"a", "sicil", UpstreamState::Draining, 5, 100, 6});
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 5)), AnnounceResult::Late);
    EXPECT_EQ(m_registry.find("a"), nullptr);
}

TEST_F(UpstreamRegistryTest, RestoredDrainingAppliesToAnAnnouncedUpstream)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 5));
    m_registry.restore({"a", "sicil", UpstreamState::Draining, 5, 100, 6});
    EXPECT_EQ(stateOf("a"), UpstreamState::Draining);
}

TEST_F(UpstreamRegistryTest, LateAnnouncementDoesNotRevertDeregistrationAfterRestore)
{
    const UpstreamInfo restored{"a", "sicil", UpstreamState::Ready, 5, 100, 6};
    m_registry.restore(restored);
    EXPECT_EQ(announce(makeDeregistration("a")), AnnounceResult::Changed);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 7)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 1, 200)), AnnounceResult::Changed) << "a new start";
}

TEST_F(UpstreamRegistryTest, LateAnnouncementDoesNotRevertDeregistrationBeforeRestore)
{
    announce(makeDeregistration("a"));
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 100, 6});
    EXPECT_EQ(announce(makeAnnouncement("a", UpstreamState::Ready, 7)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(m_registry.infos().front().born, 100U);
}

TEST_F(UpstreamRegistryTest, RestoringWithoutAStartDoesNotPublishRepeatedly)
{
    announce(makeDeregistration("a"));
    int published = 0;
    m_registry.onChange([&published](const std::vector<UpstreamInfo> & /*infos*/) { ++published; });
    const UpstreamInfo withoutStart{"a", "sicil", UpstreamState::Gone, 5, 0, 0};
    for (int view = 0; view < 3; ++view) {
        m_registry.restore(withoutStart); // as on each new view of the members
    }
    EXPECT_EQ(published, 0);
}

TEST_F(UpstreamRegistryTest, AStartHasEndedOnceAnotherOneIsKnown)
{
    EXPECT_FALSE(m_registry.hasEnded({"a", 100})) << "nothing is known";
    announce(makeAnnouncement("a", UpstreamState::Ready, 1, 100));
    EXPECT_FALSE(m_registry.hasEnded({"a", 100}));
    EXPECT_TRUE(m_registry.hasEnded({"a", 50})) << "the id was started again";
    EXPECT_TRUE(m_registry.hasEnded({"b", 50})) << "another id was started later on this host";
    announce(makeAnnouncement("c", UpstreamState::Ready, 1, 200));
    EXPECT_TRUE(m_registry.hasEnded({"a", 100}));
    EXPECT_FALSE(m_registry.hasEnded({"c", 200}));
}

// An upstream goes on for a while with what it runs after it has deregistered.
TEST_F(UpstreamRegistryTest, ADeregisteredStartHasNotEnded)
{
    announce(makeAnnouncement("a", UpstreamState::Ready, 1, 100));
    announce(makeDeregistration("a"));
    EXPECT_FALSE(m_registry.hasEnded({"a", 100}));
}

TEST_F(UpstreamRegistryTest, InfosIncludeOnlyRestoredDeregistrations)
{
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 100, 6});
    m_registry.restore({"b", "sicil", UpstreamState::Gone, 5, 100, 6});
    ASSERT_EQ(m_registry.infos().size(), 1U);
    EXPECT_EQ(m_registry.infos().front().id, "b");
}

} // namespace

} // namespace mustardpond
