#include "membership/proofexchange.h"

#include "fakefleet.h"

#include <gtest/gtest.h>

#include <set>

namespace mustardpond {

namespace {

using testing::aliveAt;
using testing::FakeFleet;

constexpr Millis MAX_AGE{5000};
constexpr Millis CONVERGENCE_TIME{60000};
constexpr std::uint64_t VERSION = 7;

std::optional<Millis> provedAt(const Membership &member)
{
    const auto &usable = member.proofs()->freshness().usable();
    return usable ? std::optional<Millis>(usable->at) : std::nullopt;
}

std::string keyOf(const Membership &member)
{
    return toString(member.self().incarnation);
}

/// Three data centres of four members. The first two of each watch the store.
class ProofExchangeTest : public ::testing::Test
{
protected:
    ProofExchangeTest()
    {
        m_fleet.runUntil([](Membership &m) { return aliveAt(m) == 12; }, CONVERGENCE_TIME);
        for (std::size_t index = 0; index < 12; ++index) {
            const std::size_t first = index / 4 * 4;
            Membership &member = at(index);
            member.useProofs(MAX_AGE);
            member.proofs()->setNeeded(true);
            member.proofs()->setWatchers({keyOf(at(first)), keyOf(at(first + 1))});
            member.proofs()->freshness().setWatcher(index - first < 2);
            member.proofs()->freshness().setApplied(VERSION);
        }
    }

    Membership &at(std::size_t index)
    {
        return m_fleet.at("a" + std::to_string(index));
    }

    /// Runs for some seconds, in each of which the store answers the watchers given here.
    void run(int seconds, const std::set<std::size_t> &answered)
    {
        for (int second = 0; second < seconds; ++second) {
            const Millis askedAt = m_fleet.now();
            m_fleet.run(Millis(1000));
            for (const std::size_t index : answered) {
                at(index).proofs()->freshness().add({VERSION, askedAt}, m_fleet.now());
            }
        }
    }

    std::size_t countServing()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < 12; ++index) {
            count += isProofValid(provedAt(at(index)), m_fleet.now(), MAX_AGE) ? 1 : 0;
        }
        return count;
    }

    FakeFleet m_fleet{3, 4, 7};
    const std::set<std::size_t> m_watchers{0, 1, 4, 5, 8, 9};
};

// Without proofs, the messages must be what they were before proofs existed: this number of bytes was measured on the
// code without them.
TEST(ProofExchangeOffTest, WithoutProofsMessagesAreUnchanged)
{
    FakeFleet fleet(3, 4, 7, true);
    fleet.run(Millis(10000));
    fleet.at("a0").publishObject({"class", "lookup", 5, false, "{}"});
    fleet.run(Millis(50000));
    EXPECT_EQ(fleet.bytes(), 524616U);
}

TEST_F(ProofExchangeTest, AllMembersServeWhileTheStoreAnswersTheWatchers)
{
    run(5, m_watchers);
    for (int second = 0; second < 30; ++second) {
        run(1, m_watchers);
        EXPECT_EQ(countServing(), 12U) << "second " << second;
    }
}

TEST_F(ProofExchangeTest, OneReachableWatcherSufficesForTheFleet)
{
    run(5, {8});
    for (int second = 0; second < 30; ++second) {
        run(1, {8});
        EXPECT_EQ(countServing(), 12U) << "second " << second;
    }
}

// The age must not shrink on its way through peers, else a fleet without the store would keep itself alive.
TEST_F(ProofExchangeTest, NoMemberServesOnceTheStoreIsCutOffFromAll)
{
    run(5, m_watchers);
    ASSERT_EQ(countServing(), 12U);
    run(5, {});
    EXPECT_EQ(countServing(), 0U);
    run(2, m_watchers);
    EXPECT_EQ(countServing(), 12U);
}

TEST_F(ProofExchangeTest, AMemberThatIsCutOffStopsServingAlone)
{
    m_fleet.setLinks([](const std::string &from, const std::string &to) { return from != "a3" && to != "a3"; });
    run(10, m_watchers);
    EXPECT_EQ(countServing(), 11U);
    EXPECT_FALSE(isProofValid(provedAt(at(3)), m_fleet.now(), MAX_AGE));
}

TEST_F(ProofExchangeTest, AMemberWithoutTheProvedVersionDoesNotServe)
{
    at(3).proofs()->freshness().setApplied(VERSION - 1);
    run(10, m_watchers);
    EXPECT_EQ(countServing(), 11U);
    at(3).proofs()->freshness().setApplied(VERSION);
    EXPECT_EQ(countServing(), 12U);
}

// A late answer to an earlier process of this host has a number that must not be outstanding again: it would be dated
// after the answer was given.
TEST(ProofExchangeRestartTest, ARestartedMemberUsesOtherNumbersForItsPings)
{
    SeededRandom random(7);
    const auto firstNumber = [&random] {
        Member self;
        self.incarnation = {1, 1};
        Member peer;
        peer.incarnation = {1, 2};
        Membership member(self, {}, random);
        member.useProofs(MAX_AGE);
        member.proofs()->setNeeded(true);
        wire::GossipT news;
        news.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(peer)));
        member.receive(news, Millis(1));
        std::set<std::uint64_t> numbers;
        for (const OutgoingGossip &out : member.tick(Millis(2000))) {
            if (out.message.ping) {
                numbers.insert(out.message.ping->number);
            }
        }
        EXPECT_EQ(numbers.size(), 2U) << "a probe and a question";
        return *numbers.begin();
    };
    EXPECT_NE(firstNumber(), firstNumber());
}

class AnswerTest : public ::testing::Test
{
protected:
    AnswerTest()
    {
        m_exchange.freshness().setApplied(VERSION);
        m_exchange.onAsked(41, "peer", Millis(10000));
    }

    static wire::AckT answer(std::uint64_t number)
    {
        wire::AckT ack;
        ack.number = number;
        ack.target = "peer";
        ack.provedVersion = VERSION;
        ack.proofAgeMs = 500;
        return ack;
    }

    ProofExchange m_exchange{MAX_AGE, 0};
};

TEST_F(AnswerTest, TheAgeOfAPeersProofIsCountedFromTheQuestion)
{
    m_exchange.onAnswer(answer(41), Millis(13000));
    ASSERT_TRUE(m_exchange.freshness().usable());
    EXPECT_EQ(m_exchange.freshness().usable()->at, Millis(9500));
}

TEST_F(AnswerTest, AnswersToUnknownQuestionsAndRepeatedAnswersAreIgnored)
{
    m_exchange.onAnswer(answer(40), Millis(10010));
    EXPECT_FALSE(m_exchange.freshness().latest());
    m_exchange.onAnswer(answer(41), Millis(10020));
    wire::AckT repeated = answer(41);
    repeated.proofAgeMs = 0;
    m_exchange.onAnswer(repeated, Millis(10030));
    EXPECT_EQ(m_exchange.freshness().latest()->at, Millis(9500));
}

TEST_F(AnswerTest, SeveralQuestionsMayBeOutstanding)
{
    m_exchange.onAsked(42, "peer", Millis(10300));
    m_exchange.onAnswer(answer(42), Millis(10310));
    m_exchange.onAnswer(answer(41), Millis(10320));
    EXPECT_EQ(m_exchange.freshness().latest()->at, Millis(9800));
}

TEST_F(AnswerTest, AnAnswerWithoutAProofProvesNothing)
{
    wire::AckT ack = answer(41);
    ack.proofAgeMs = -1;
    m_exchange.onAnswer(ack, Millis(10010));
    EXPECT_FALSE(m_exchange.freshness().latest());
}

} // namespace

} // namespace mustardpond
