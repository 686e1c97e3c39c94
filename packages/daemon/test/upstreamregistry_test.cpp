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
