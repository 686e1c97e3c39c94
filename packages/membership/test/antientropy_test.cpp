#include "fakefleet.h"
#include "recordstamps.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mustardpond {

namespace {

using testing::aliveAt;
using testing::FakeFleet;

constexpr Millis CONVERGENCE_TIME{60000};

Member memberWith(std::uint64_t incarnationLow, std::uint64_t sequence, MemberState state = MemberState::Alive)
{
    Member member;
    member.incarnation = {1, incarnationLow};
    member.sequence = sequence;
    member.state = state;
    return member;
}

TEST(RecordStampsTest, OrderAgreesWithSupersedes)
{
    const std::vector<Member> records = {memberWith(1, 1), memberWith(1, 1, MemberState::Suspect),
                                         memberWith(1, 1, MemberState::Dead), memberWith(1, 2),
                                         memberWith(1, 2, MemberState::Left)};
    for (const Member &update : records) {
        for (const Member &current : records) {
            EXPECT_EQ(orderOf(update) > orderOf(current), supersedes(update, current));
        }
    }
}

TEST(RecordStampsTest, StampsOfAPullNameWhatIsMissingOrOlder)
{
    ObjectTable objects;
    objects.apply({"class", "lookup", 5, false, "{}"});
    wire::PullRequestT pull;
    pull.wantMembers = true;
    pull.wantObjects = true;
    RecordStamps({memberWith(1, 2), memberWith(2, 7)}, objects).writeTo(pull);
    const RecordStamps peer(pull);
    EXPECT_FALSE(peer.lacks(memberWith(1, 2)));
    EXPECT_TRUE(peer.lacks(memberWith(1, 3)));
    EXPECT_TRUE(peer.lacks(memberWith(3, 1)));
    EXPECT_TRUE(objects.newerThan(peer.objects()).empty());
    objects.apply({"class", "lookup", 6, false, "{}"});
    EXPECT_EQ(objects.newerThan(peer.objects()).size(), 1U);
    EXPECT_TRUE(peer.lacksObjectsOf(RecordStamps({}, objects)));
}

TEST(RecordStampsTest, StampsOfAPullTellTheEraOfAVersion)
{
    ObjectTable objects;
    objects.apply({"bundle", "main", {15, 1, 120}, false, "{}"});
    wire::PullRequestT pull;
    pull.wantObjects = true;
    RecordStamps({}, objects).writeTo(pull);
    const RecordStamps peer(pull);
    EXPECT_TRUE(objects.newerThan(peer.objects()).empty());
    objects.apply({"bundle", "main", {17, 2, 112}, false, "{}"});
    EXPECT_EQ(objects.newerThan(peer.objects()).size(), 1U) << "a lower revision of a later era";
}

// Guards against the exchange of all records whenever two digests differ: under steady restarts most digests differ by
// a few records, and the bytes that a member sends would grow with the size of the fleet.
TEST(AntiEntropyTest, MembersWhoseDigestsDifferByOneRecordExchangeOnlyThatRecord)
{
    constexpr std::size_t MEMBERS = 60;
    FakeFleet fleet(1, MEMBERS, 3);
    ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == MEMBERS; }, CONVERGENCE_TIME));
    fleet.run(Millis(20000));
    Membership &first = fleet.at("a0");
    Membership &second = fleet.at("a1");
    first.setSeesPlatform(false);
    wire::GossipT digests;
    digests.replyTo = "a0";
    digests.membersDigest = 1;
    digests.objectsDigest = 1;
    // A digest that matches no table makes the second member pull, and the first one sends what the second lacks.
    std::size_t records = 0;
    for (const OutgoingGossip &pull : second.receive(digests, fleet.now())) {
        records += pull.message.members.size();
        for (const OutgoingGossip &reply : first.receive(pull.message, fleet.now())) {
            records += reply.message.members.size();
            second.receive(reply.message, fleet.now());
        }
    }
    EXPECT_EQ(records, 1U);
    EXPECT_FALSE(second.members().empty());
    const auto known = second.members();
    EXPECT_TRUE(std::any_of(known.begin(), known.end(),
                            [](const Member &member) { return member.node == "n0" && !member.seesPlatform; }));
}

TEST(AntiEntropyTest, BothSidesGetWhatTheyLackFromOneComparison)
{
    FakeFleet fleet(1, 2, 5);
    ASSERT_TRUE(fleet.runUntil([](Membership &m) { return aliveAt(m) == 2; }, CONVERGENCE_TIME));
    fleet.run(Millis(20000));
    fleet.setLinks([](const std::string & /*from*/, const std::string & /*to*/) { return false; });
    fleet.at("a0").applyObject({"class", "lookup", 5, false, "{}"});
    fleet.at("a1").applyObject({"class", "report", 6, false, "{}"});
    fleet.run(Millis(30000));
    fleet.setLinks({});
    const auto hasBoth = [](Membership &m) {
        return m.objects().version("class", "lookup") == 5 && m.objects().version("class", "report") == 6;
    };
    EXPECT_TRUE(fleet.runUntil(hasBoth, CONVERGENCE_TIME));
}

} // namespace

} // namespace mustardpond
