#include "control/platformroles.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace mustardpond {

namespace {

std::vector<Member> fleet(std::size_t dataCentres, std::size_t perDataCentre)
{
    std::vector<Member> members;
    for (std::size_t index = 0; index < dataCentres * perDataCentre; ++index) {
        Member member;
        member.node = "n" + std::to_string(index);
        member.incarnation = {1, index + 1};
        member.dataCentre = "dc" + std::to_string(index / perDataCentre);
        members.push_back(member);
    }
    return members;
}

std::vector<std::string> removersOf(const Member &dead, const std::vector<Member> &members)
{
    std::vector<std::string> dataCentres;
    for (const Member &member : members) {
        if (acceptsRequests(member) && removesRecordOf(dead, members, member)) {
            dataCentres.push_back(member.dataCentre);
        }
    }
    return dataCentres;
}

void setSeesPlatform(std::vector<Member> &members, bool sees)
{
    for (Member &member : members) {
        member.seesPlatform = sees;
    }
}

TEST(PlatformRolesTest, TwoMembersOfEachDataCentreWatch)
{
    const auto members = fleet(3, 5);
    const auto watchers = std::count_if(members.begin(), members.end(),
                                        [&members](const Member &member) { return watchesPlatform(members, member); });
    EXPECT_EQ(watchers, 6);
}

TEST(PlatformRolesTest, TheNextThreeMembersOfEachDataCentreAreStandbys)
{
    auto members = fleet(3, 7);
    std::multiset<std::size_t> places;
    for (const Member &member : members) {
        const auto place = standbyPlaceOf(members, member);
        EXPECT_FALSE(place && watchesPlatform(members, member));
        if (place) {
            places.insert(*place);
        }
    }
    EXPECT_EQ(places, (std::multiset<std::size_t>{0, 0, 0, 1, 1, 1, 2, 2, 2}));
    setSeesPlatform(members, false);
    EXPECT_FALSE(standbyPlaceOf(members, members.front())) << "it could not read the store";
}

// More readers than needed cost calls to the store.
TEST(PlatformRolesTest, TheFirstStandbyReplacesOneSilentWatcherTheOthersAllOfThem)
{
    EXPECT_FALSE(replacesWatchers(0, 2, 0));
    EXPECT_TRUE(replacesWatchers(0, 2, 1));
    EXPECT_FALSE(replacesWatchers(1, 2, 1));
    EXPECT_TRUE(replacesWatchers(1, 2, 2));
    EXPECT_FALSE(replacesWatchers(1, 0, 0)) << "nobody to replace";
}

TEST(PlatformRolesTest, WatchersOfTheSameDataCentreRemoveTheRecordOfADeadMember)
{
    auto members = fleet(6, 15);
    members[20].state = MemberState::Dead;
    EXPECT_EQ(removersOf(members[20], members), (std::vector<std::string>{"dc1", "dc1"}));
}

TEST(PlatformRolesTest, NoMemberRemovesRecordsDuringAStoreOutage)
{
    auto members = fleet(6, 15);
    members[20].state = MemberState::Dead;
    setSeesPlatform(members, false);
    EXPECT_TRUE(removersOf(members[20], members).empty());
}

TEST(PlatformRolesTest, WatchersOfOtherDataCentresRemoveRecordsOfALostDataCentre)
{
    auto members = fleet(3, 2);
    members[0].state = MemberState::Dead;
    members[1].state = MemberState::Dead;
    EXPECT_EQ(removersOf(members[0], members), (std::vector<std::string>{"dc1", "dc1", "dc2", "dc2"}));
}

} // namespace

} // namespace mustardpond
