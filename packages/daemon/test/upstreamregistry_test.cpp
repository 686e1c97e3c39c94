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

TEST_F(UpstreamRegistryTest, InfosIncludeOnlyRestoredDeregistrations)
{
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 100, 6});
    m_registry.restore({"b", "sicil", UpstreamState::Gone, 5, 100, 6});
    ASSERT_EQ(m_registry.infos().size(), 1U);
    EXPECT_EQ(m_registry.infos().front().id, "b");
}

} // namespace

} // namespace mustardpond
