#include "decision/lenderlease.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(LenderVotesTest, AVoterRemembersThatOthersMayHaveLent)
{
    LenderVotes votes;
    EXPECT_EQ(votes.replacedUntil("a", Millis(1000)), std::nullopt);
    votes.deny("a", Millis(1000));
    const auto until = votes.replacedUntil("a", Millis(1000));
    ASSERT_TRUE(until.has_value());
    EXPECT_TRUE(votes.denies("a", *until));
    const Millis after = *until + Millis(1);
    EXPECT_FALSE(votes.denies("a", after));
    EXPECT_EQ(votes.replacedUntil("a", after), until);
    EXPECT_EQ(votes.replacedUntil("b", after), std::nullopt);
    EXPECT_EQ(votes.replacedUntil("a", after + Millis(600001)), std::nullopt);
}

TEST(LenderVotesTest, OthersLendInPlaceOfAMemberThatIsMissing)
{
    LenderVotes votes;
    votes.update({"a", "b"}, Millis(1000));
    votes.update({"b"}, Millis(2000));
    votes.update({"b", "c"}, Millis(3000));
    EXPECT_EQ(votes.replacedUntil("a", Millis(3000)), std::nullopt) << "it is still missing, and may not lend";
    votes.update({"a", "b", "c"}, Millis(4000));
    EXPECT_EQ(votes.replacedUntil("a", Millis(5000)), Millis(4000));
    EXPECT_EQ(votes.replacedUntil("c", Millis(5000)), std::nullopt) << "it was never a member before";
}

TEST(LenderTermTest, OneReplacementStartsOneTerm)
{
    LenderTerm term;
    EXPECT_EQ(term.since(), Millis());
    term.onReplaced(Millis(5000));
    EXPECT_EQ(term.since(), Millis(5000));
    term.onReplaced(Millis(5090));
    term.onReplaced(Millis(4950));
    EXPECT_EQ(term.since(), Millis(5000)) << "the same one, reported again";
    term.onReplaced(Millis(6500));
    EXPECT_EQ(term.since(), Millis(6500));
}

} // namespace

} // namespace mustardpond
