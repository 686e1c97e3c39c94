#include "decision/objectversion.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(ObjectVersionTest, WithinAnEraTheRevisionDecides)
{
    EXPECT_TRUE(supersedes({3, 1, 21}, {7, 1, 20})) << "the writer's numbers went back";
    EXPECT_FALSE(supersedes({7, 1, 20}, {7, 1, 20}));
    EXPECT_FALSE(supersedes({9, 1, 19}, {7, 1, 20}));
}

// Guards against hosts that ignore everything that is written after the store has lost its last revisions.
TEST(ObjectVersionTest, AcrossErasTheWritersNumberDecidesWhateverTheRevision)
{
    EXPECT_TRUE(supersedes({8, 2, 5}, {7, 1, 20}));
    EXPECT_FALSE(supersedes({6, 2, 30}, {7, 1, 20})) << "the copy's older version";
    EXPECT_FALSE(supersedes({7, 1, 20}, {8, 2, 5})) << "a late message of the era before";
}

TEST(ObjectVersionTest, TheSameNumberInALaterEraIsNewer)
{
    EXPECT_TRUE(supersedes({7, 2, 5}, {7, 1, 20}));
    EXPECT_FALSE(supersedes({7, 1, 20}, {7, 2, 5}));
    EXPECT_TRUE(supersedes({0, 2, 5}, {0, 1, 20})) << "objects without numbers";
}

TEST(ObjectVersionTest, AVersionWithoutOriginIsComparedByRevision)
{
    EXPECT_TRUE(supersedes(21, {7, 1, 20}));
    EXPECT_FALSE(supersedes(19, {7, 1, 20}));
    EXPECT_TRUE(supersedes({7, 1, 20}, 19));
    EXPECT_TRUE(supersedes({7, 1, 20}, ObjectVersion())) << "an unknown object";
    EXPECT_FALSE(supersedes(ObjectVersion(), {7, 1, 20}));
}

} // namespace

} // namespace mustardpond
