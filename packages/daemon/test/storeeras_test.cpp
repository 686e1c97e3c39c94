#include "control/storeeras.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

Listing answer(std::uint64_t era, std::uint64_t revision, bool complete, std::vector<StoredObject> objects = {})
{
    Listing listing;
    listing.revision = revision;
    listing.era = era;
    listing.complete = complete;
    listing.objects = std::move(objects);
    return listing;
}

StoredObject bundle(std::uint64_t edition, std::uint64_t revision)
{
    return {"bundle", "main", {edition, 0, revision}, false, "{}"};
}

class StoreErasTest : public ::testing::Test
{
protected:
    bool accept(Listing listing)
    {
        const bool accepted = m_eras.accept(listing);
        m_last = listing.objects.empty() ? ObjectVersion() : listing.objects.front().version;
        return accepted;
    }

    StoreEras m_eras;
    ObjectVersion m_last;
};

// Guards against a watch that goes on from a revision of the era before.
TEST_F(StoreErasTest, ChangesOfANewEraAreTakenOnlyFromAList)
{
    ASSERT_TRUE(accept(answer(1, 120, true, {bundle(15, 120)})));
    EXPECT_FALSE(accept(answer(2, 121, false, {bundle(16, 121)})));
    EXPECT_EQ(m_eras.revision(), 120U);
    ASSERT_TRUE(accept(answer(2, 110, true, {bundle(9, 110)})));
    EXPECT_EQ(m_eras.era(), 2U);
    EXPECT_EQ(m_eras.revision(), 110U);
    EXPECT_EQ(m_last, ObjectVersion(9, 2, 110)) << "the copy's version keeps its number";
}

TEST_F(StoreErasTest, ALateAnswerOfTheEraBeforeIsDiscarded)
{
    ASSERT_TRUE(accept(answer(2, 110, true)));
    EXPECT_FALSE(accept(answer(1, 130, true, {bundle(15, 120)})));
    EXPECT_FALSE(accept(answer(1, 130, false)));
    EXPECT_EQ(m_eras.era(), 2U);
    EXPECT_EQ(m_eras.revision(), 110U);
}

TEST_F(StoreErasTest, AnAnswerWithoutAnEraBelongsToTheCurrentOne)
{
    ASSERT_TRUE(accept(answer(2, 110, true)));
    ASSERT_TRUE(accept(answer(0, 111, false, {bundle(9, 111)})));
    EXPECT_EQ(m_last, ObjectVersion(9, 2, 111));
    EXPECT_EQ(m_eras.era(), 2U);
}

TEST_F(StoreErasTest, AStoreWithoutErasIsReadByRevision)
{
    ASSERT_TRUE(accept(answer(0, 110, true, {bundle(0, 110)})));
    ASSERT_TRUE(accept(answer(0, 111, false, {bundle(0, 111)})));
    EXPECT_TRUE(m_last.isPlain());
    EXPECT_EQ(m_eras.revision(), 111U);
}

// An operator who goes back to an older configuration may write its number again.
TEST_F(StoreErasTest, AChangeWithinTheEraIsNewerThanAllReadBefore)
{
    ASSERT_TRUE(accept(answer(1, 120, true, {bundle(20, 120)})));
    ASSERT_TRUE(accept(answer(2, 110, true, {bundle(18, 105)})));
    EXPECT_EQ(m_last, ObjectVersion(18, 2, 105));
    ASSERT_TRUE(accept(answer(2, 111, false, {bundle(19, 111)})));
    EXPECT_TRUE(supersedes(m_last, {20, 1, 120}));
    ASSERT_TRUE(accept(answer(2, 112, true, {bundle(19, 111)})));
    EXPECT_FALSE(supersedes(m_last, {20, 2, 111})) << "the same object, listed again";
}

} // namespace

} // namespace mustardpond
