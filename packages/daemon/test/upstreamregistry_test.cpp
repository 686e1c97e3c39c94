#include "upstreamregistry.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class UpstreamRegistryTest : public ::testing::Test
{
protected:
    static Announcement beat(const std::string &id, UpstreamState state, std::uint64_t sequence,
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
    static Announcement farewell(const std::string &id)
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

TEST_F(UpstreamRegistryTest, ALateAnnouncementDoesNotUndoALeaving)
{
    announce(beat("a", UpstreamState::Ready, 1));
    EXPECT_EQ(announce(beat("a", UpstreamState::Draining, 4)), AnnounceResult::Changed);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 3)), AnnounceResult::Late);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 5)), AnnounceResult::Late) << "a leaving is final for one start";
    EXPECT_EQ(stateOf("a"), UpstreamState::Draining);
}

TEST_F(UpstreamRegistryTest, ANewStartUnderTheSameIdHoldsNothingOfBefore)
{
    announce(beat("a", UpstreamState::Draining, 9, 100));
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 1, 200)), AnnounceResult::Changed);
    EXPECT_EQ(stateOf("a"), UpstreamState::Ready);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 10, 100)), AnnounceResult::Late);
}

TEST_F(UpstreamRegistryTest, OneUpstreamAtATimeTheOneBornLast)
{
    announce(beat("a", UpstreamState::Ready, 7, 100));
    announce(beat("b", UpstreamState::Ready, 1, 200));
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 8, 100)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("b"), UpstreamState::Ready);
}

TEST_F(UpstreamRegistryTest, AFarewellNeedsNoMoreThanTheId)
{
    announce(beat("a", UpstreamState::Ready, 3));
    EXPECT_EQ(announce(farewell("a")), AnnounceResult::Changed);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(m_registry.find("a")->announced.service, "sicil");
}

TEST_F(UpstreamRegistryTest, WhatAnEarlierStartOfTheGateAcknowledgedBinds)
{
    m_registry.restore({"a", "sicil", UpstreamState::Draining, 5, 100, 6});
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 5)), AnnounceResult::Late);
    EXPECT_EQ(m_registry.find("a"), nullptr);
}

TEST_F(UpstreamRegistryTest, WhatIsRecalledLateBindsToo)
{
    announce(beat("a", UpstreamState::Ready, 5));
    m_registry.restore({"a", "sicil", UpstreamState::Draining, 5, 100, 6});
    EXPECT_EQ(stateOf("a"), UpstreamState::Draining);
}

TEST_F(UpstreamRegistryTest, ALateAnnouncementDoesNotUndoAFarewellToAFreshGate)
{
    const UpstreamInfo remembered{"a", "sicil", UpstreamState::Ready, 5, 100, 6};
    m_registry.restore(remembered);
    EXPECT_EQ(announce(farewell("a")), AnnounceResult::Changed);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 7)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 1, 200)), AnnounceResult::Changed) << "a new start";
}

TEST_F(UpstreamRegistryTest, ALateAnnouncementDoesNotUndoAFarewellThatCameBeforePeersWereAsked)
{
    announce(farewell("a"));
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 100, 6});
    EXPECT_EQ(announce(beat("a", UpstreamState::Ready, 7)), AnnounceResult::Late);
    EXPECT_EQ(stateOf("a"), UpstreamState::Gone);
    EXPECT_EQ(m_registry.infos().front().born, 100U);
}

TEST_F(UpstreamRegistryTest, WhatIsRecalledWithoutAStartIsNotPublishedAgainAndAgain)
{
    announce(farewell("a"));
    int published = 0;
    m_registry.onChange([&published](const std::vector<UpstreamInfo> & /*infos*/) { ++published; });
    const UpstreamInfo nameless{"a", "sicil", UpstreamState::Gone, 5, 0, 0};
    for (int view = 0; view < 3; ++view) {
        m_registry.restore(nameless); // as with each new view of the fleet
    }
    EXPECT_EQ(published, 0);
}

TEST_F(UpstreamRegistryTest, PassesOnWhatItRecallsOfLeavings)
{
    m_registry.restore({"a", "sicil", UpstreamState::Ready, 5, 100, 6});
    m_registry.restore({"b", "sicil", UpstreamState::Gone, 5, 100, 6});
    ASSERT_EQ(m_registry.infos().size(), 1U);
    EXPECT_EQ(m_registry.infos().front().id, "b");
}

} // namespace

} // namespace mustardpond
