#include "control/storeproofs.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis ASKED_AT{10000};

Listing listing(std::uint64_t revision, std::vector<StoredObject> objects = {},
                std::vector<StoredObject> unreadable = {})
{
    return {revision, std::move(objects), std::move(unreadable)};
}

StoredObject bundle(std::uint64_t version)
{
    return {"bundle", "main", version, false, "{}"};
}

TEST(StoreProofsTest, AnAnswerProvesTheNewestBundleAtTheTimeOfTheQuestion)
{
    StoreProofs proofs;
    EXPECT_FALSE(proofs.onAnswer(listing(5, {{"node", "n-1", 5, false, "{}"}}), 0, ASKED_AT)) << "no bundle is known";
    const auto proof = proofs.onAnswer(listing(7, {bundle(6)}), 0, ASKED_AT);
    ASSERT_TRUE(proof);
    EXPECT_EQ(proof->version, 6U);
    EXPECT_EQ(proof->at, ASKED_AT);
    EXPECT_EQ(proofs.onAnswer(listing(7), 7, ASKED_AT)->version, 6U) << "an answer without changes";
    EXPECT_EQ(proofs.onAnswer(listing(9, {bundle(9)}), 7, ASKED_AT)->version, 9U);
}

// Such a bundle may withdraw keys, and the watch does not report it again.
TEST(StoreProofsTest, NothingIsProvedWhileTheNewestBundleCannotBeRead)
{
    StoreProofs proofs;
    proofs.onAnswer(listing(7, {bundle(6)}), 0, ASKED_AT);
    EXPECT_FALSE(proofs.onAnswer(listing(9, {}, {bundle(9)}), 7, ASKED_AT));
    EXPECT_FALSE(proofs.onAnswer(listing(9), 9, ASKED_AT));
    EXPECT_TRUE(proofs.onAnswer(listing(10, {bundle(10)}), 9, ASKED_AT));
}

TEST(StoreProofsTest, UnreadableObjectsOfOtherNamesAndKindsDoNotMatter)
{
    StoreProofs proofs;
    const Listing answer = listing(9, {bundle(6)}, {{"bundle", "draft", 9, false, ""}, {"node", "n-1", 8, false, ""}});
    EXPECT_TRUE(proofs.onAnswer(answer, 0, ASKED_AT));
}

// Guards against the proof that a copy's older bundle is the newest one: hosts would accept keys that were withdrawn
// after it.
TEST(StoreProofsTest, AfterAReturnTheNewestBundleOfAnyEraIsProved)
{
    StoreProofs proofs;
    const StoredObject before{"bundle", "main", {15, 1, 120}, false, "{}"};
    const StoredObject copy{"bundle", "main", {9, 2, 110}, false, "{}"};
    const StoredObject after{"bundle", "main", {17, 2, 112}, false, "{}"};
    proofs.onAnswer(listing(120, {before}), 0, ASKED_AT);
    EXPECT_EQ(proofs.onAnswer(listing(110, {copy}), 0, ASKED_AT)->version, before.version);
    EXPECT_EQ(proofs.onAnswer(listing(112, {after}), 110, ASKED_AT)->version, after.version);
    StoredObject unreadable = after;
    unreadable.version = {0, 3, 100};
    EXPECT_FALSE(proofs.onAnswer(listing(100, {}, {unreadable}), 0, ASKED_AT));
}

TEST(StoreProofsTest, AStoreThatHasLostRevisionsProvesNothing)
{
    StoreProofs proofs;
    proofs.onAnswer(listing(7, {bundle(6)}), 0, ASKED_AT);
    EXPECT_FALSE(proofs.onAnswer(listing(5), 7, ASKED_AT));
}

} // namespace

} // namespace mustardpond
