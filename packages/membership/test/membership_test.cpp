#include "membership/membership.h"

#include "fakefleet.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

using testing::aliveAt;
using testing::FakeFleet;

constexpr Millis CONVERGENCE_TIME{60000};

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
    void waitForAlive(std::size_t count)
    {
        ASSERT_TRUE(m_fleet.runUntil([count](Membership &m) { return aliveAt(m) == count; }, CONVERGENCE_TIME));
    }

    FakeFleet m_fleet{3, 4, 7};
};

TEST_F(MembershipTest, MembersDiscoverEachOtherThroughSeeds)
{
    waitForAlive(12);
}

TEST_F(MembershipTest, JoiningMemberIsSeenByAllMembersAndReceivesObjects)
{
    waitForAlive(12);
    m_fleet.at("a0").applyObject(object(5));
    const std::string joined = m_fleet.add(1);
    waitForAlive(13);
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 5); }, CONVERGENCE_TIME));
    EXPECT_TRUE(m_fleet.at(joined).hasSynced());
}

TEST(MembershipPushTest, PublishedObjectIsPushedToEveryMemberOfALargeDataCentre)
{
    FakeFleet fleet(1, 20, 7);
    ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == 20; }, CONVERGENCE_TIME));
    fleet.run(Millis(20000));
    fleet.at("a0").publishObject(object(5));
    fleet.run(Millis(100)); // one step to send, one to deliver
    EXPECT_EQ(countWithVersion(fleet, 5), 20U);
}

TEST(MembershipPushTest, MemberThatMissedAPushedObjectCatchesUpWithinThreeSeconds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFleet fleet(2, 10, seed);
        ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == 20; }, CONVERGENCE_TIME));
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

TEST_F(MembershipTest, StoppedMemberIsDeclaredDeadAndReplacementJoins)
{
    waitForAlive(12);
    m_fleet.stop("a5");
    waitForAlive(11);
    m_fleet.add(1);
    waitForAlive(12);
}

TEST_F(MembershipTest, LeavingMemberIsNotAliveAtAnyMember)
{
    waitForAlive(12);
    m_fleet.at("a5").leave();
    waitForAlive(11);
}

TEST_F(MembershipTest, LostDataCentreIsDeclaredDead)
{
    waitForAlive(12);
    for (const char *address : {"a4", "a5", "a6", "a7"}) {
        m_fleet.stop(address);
    }
    const auto lostMembersAcceptNoRequests = [](Membership &m) {
        std::size_t alive = 0;
        for (const Member &known : m.members()) {
            alive += known.dataCentre == "dc1" && acceptsRequests(known) ? 1 : 0;
        }
        return alive == 0;
    };
    ASSERT_TRUE(m_fleet.runUntil(lostMembersAcceptNoRequests, CONVERGENCE_TIME));
}

TEST_F(MembershipTest, OneWayPartitionBetweenTwoMembersKeepsBothAlive)
{
    waitForAlive(12);
    m_fleet.setLinks([](const std::string &from, const std::string &to) { return !(from == "a1" && to == "a2"); });
    m_fleet.run(CONVERGENCE_TIME);
    for (auto &[address, member] : m_fleet.members()) {
        EXPECT_EQ(aliveAt(*member), 12U) << address;
    }
}

TEST_F(MembershipTest, TemporarilyIsolatedMemberBecomesAliveAgain)
{
    waitForAlive(12);
    m_fleet.setLinks([](const std::string &from, const std::string &to) { return from != "a3" && to != "a3"; });
    m_fleet.run(Millis(20000));
    m_fleet.setLinks({});
    waitForAlive(12);
}

TEST_F(MembershipTest, HealedPartitionBetweenRegionsConvergesToNewestObjects)
{
    waitForAlive(12);
    const auto isInSecondRegion = [](const std::string &address) { return address >= "a8" || address.size() > 2; };
    m_fleet.setLinks(
        [&](const std::string &from, const std::string &to) { return isInSecondRegion(from) == isInSecondRegion(to); });
    m_fleet.at("a0").applyObject(object(9));
    m_fleet.run(CONVERGENCE_TIME);
    EXPECT_FALSE(hasVersion(m_fleet.at("a8"), 9));
    m_fleet.setLinks({});
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 9); }, CONVERGENCE_TIME));
    waitForAlive(12);
}

TEST_F(MembershipTest, OlderObjectsDoNotReplaceNewerOnes)
{
    waitForAlive(12);
    m_fleet.at("a0").applyObject(object(9));
    EXPECT_FALSE(m_fleet.at("a0").applyObject(object(8)));
    m_fleet.at("a11").applyObject(object(8));
    ASSERT_TRUE(m_fleet.runUntil([](Membership &m) { return hasVersion(m, 9); }, CONVERGENCE_TIME));
    m_fleet.run(CONVERGENCE_TIME);
    for (auto &[address, member] : m_fleet.members()) {
        EXPECT_TRUE(hasVersion(*member, 9)) << address;
    }
}

// Guards against members of both eras that pull each other back and forth while the store returns from a copy.
TEST_F(MembershipTest, AfterAReturnOfTheStoreAllMembersEndAtTheNewestVersion)
{
    waitForAlive(12);
    const auto withVersion = [this](const ObjectVersion &version) {
        return m_fleet.runUntil([&version](Membership &m) { return m.objects().version("class", "lookup") == version; },
                                CONVERGENCE_TIME);
    };
    const ObjectVersion before(15, 1, 120);
    const ObjectVersion after(17, 2, 112);
    m_fleet.at("a0").applyObject({"class", "lookup", before, false, "{}"});
    ASSERT_TRUE(withVersion(before));
    m_fleet.at("a5").applyObject({"class", "lookup", {9, 2, 110}, false, "{}"});
    m_fleet.run(Millis(5000));
    EXPECT_TRUE(withVersion(before)) << "the copy's version has come into force";
    m_fleet.at("a5").applyObject({"class", "lookup", after, false, "{}"});
    EXPECT_TRUE(withVersion(after));
    // One that read the store only while it held the copy.
    const std::string joined = m_fleet.add(1);
    m_fleet.at(joined).applyObject({"class", "lookup", {9, 2, 110}, false, "{}"});
    EXPECT_TRUE(withVersion(after));
    m_fleet.run(Millis(5000));
    EXPECT_TRUE(withVersion(after));
}

} // namespace

} // namespace mustardpond
