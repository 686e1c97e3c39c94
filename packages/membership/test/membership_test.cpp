#include "membership/membership.h"

#include "fakefleet.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

using testing::aliveAt;
using testing::FakeFleet;

constexpr Millis LONG{60000};

StoredObject object(std::uint64_t version)
{
    return {"class", "lookup", version, false, "{}"};
}

bool hasVersion(const Membership &member, std::uint64_t version)
{
    return member.objects().version("class", "lookup") == version;
}

std::size_t countWithVersion(FakeFleet &fleet, std::uint64_t version)
{
    std::size_t count = 0;
    for (const auto &[address, member] : fleet.members()) {
        count += hasVersion(*member, version) ? 1 : 0;
    }
    return count;
}

class MembershipTest : public ::testing::Test
{
protected:
    void awaitAlive(std::size_t count)
    {
        ASSERT_TRUE(m_fleet.runUntil([count](Membership &m) { return aliveAt(m) == count; }, LONG));
    }

    FakeFleet m_fleet{3, 4, 7};
};

TEST_F(MembershipTest, AllMembersFindEachOtherThroughSeeds)
{
    awaitAlive(12);
}

TEST_F(MembershipTest, JoiningMemberIsKnownEverywhereAndLearnsObjects)
{
    awaitAlive(12);
    m_fleet.at("a0").applyObject(object(5));
    const std::string fresh = m_fleet.add(1);
    awaitAlive(13);
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 5); }, LONG));
    EXPECT_TRUE(m_fleet.at(fresh).hasSynced());
}

TEST(MembershipPushTest, AnObjectFromThePlatformIsSentToEveryMemberOfALargeDataCentre)
{
    FakeFleet fleet(1, 20, 7);
    ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == 20; }, LONG));
    fleet.run(Millis(20000));
    fleet.at("a0").publishObject(object(5));
    fleet.run(Millis(100)); // one step to send, one to arrive
    EXPECT_EQ(countWithVersion(fleet, 5), 20U);
}

TEST(MembershipPushTest, AMemberThatMissedTheNewsOfAnObjectCatchesUpWithinThreeSeconds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFleet fleet(2, 10, seed);
        ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == 20; }, LONG));
        for (auto &[address, member] : fleet.members()) {
            member->applyObject(object(5));
        }
        fleet.run(Millis(20000));
        fleet.setLinks([](const std::string & /*from*/, const std::string &to) { return to != "a7"; });
        fleet.at("a0").publishObject(object(9));
        fleet.run(Millis(900));
        fleet.setLinks({});
        fleet.run(Millis(2100));
        EXPECT_EQ(countWithVersion(fleet, 9), 20U) << "seed " << seed;
    }
}

TEST_F(MembershipTest, StoppedMemberIsDeclaredDeadAndItsSuccessorIsANewOne)
{
    awaitAlive(12);
    m_fleet.stop("a5");
    awaitAlive(11);
    m_fleet.add(1);
    awaitAlive(12);
}

TEST_F(MembershipTest, LeavingMemberTakesNoMoreRequestsAnywhere)
{
    awaitAlive(12);
    m_fleet.at("a5").leave();
    awaitAlive(11);
}

TEST_F(MembershipTest, LostDataCentreIsDeclaredDead)
{
    awaitAlive(12);
    for (const char *address : {"a4", "a5", "a6", "a7"}) {
        m_fleet.stop(address);
    }
    const auto upstreamsGone = [](Membership &m) {
        std::size_t alive = 0;
        for (const Member &known : m.members()) {
            alive += known.dataCentre == "dc1" && acceptsRequests(known) ? 1 : 0;
        }
        return alive == 0;
    };
    ASSERT_TRUE(m_fleet.runUntil(upstreamsGone, LONG));
}

TEST_F(MembershipTest, OneWayCutBetweenTwoMembersKillsNeither)
{
    awaitAlive(12);
    m_fleet.setLinks([](const std::string &from, const std::string &to) { return !(from == "a1" && to == "a2"); });
    m_fleet.run(LONG);
    for (auto &[address, member] : m_fleet.members()) {
        EXPECT_EQ(aliveAt(*member), 12U) << address;
    }
}

TEST_F(MembershipTest, WronglyAccusedMemberRefutes)
{
    awaitAlive(12);
    m_fleet.setLinks([](const std::string &from, const std::string &to) { return from != "a3" && to != "a3"; });
    m_fleet.run(Millis(20000));
    m_fleet.setLinks({});
    awaitAlive(12);
}

TEST_F(MembershipTest, CutBetweenRegionsHealsWithTheNewestObjects)
{
    awaitAlive(12);
    const auto isFar = [](const std::string &address) { return address >= "a8" || address.size() > 2; };
    m_fleet.setLinks([&](const std::string &from, const std::string &to) { return isFar(from) == isFar(to); });
    m_fleet.at("a0").applyObject(object(9));
    m_fleet.run(LONG);
    EXPECT_FALSE(hasVersion(m_fleet.at("a8"), 9));
    m_fleet.setLinks({});
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 9); }, LONG));
    awaitAlive(12);
}

TEST_F(MembershipTest, OlderObjectsNeverReplaceNewerOnes)
{
    awaitAlive(12);
    m_fleet.at("a0").applyObject(object(9));
    EXPECT_FALSE(m_fleet.at("a0").applyObject(object(8)));
    m_fleet.at("a11").applyObject(object(8));
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 9); }, LONG));
    m_fleet.run(LONG);
    for (auto &[address, member] : m_fleet.members()) {
        EXPECT_TRUE(hasVersion(*member, 9)) << address;
    }
}

} // namespace

} // namespace mustardpond
