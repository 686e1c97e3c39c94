#include "config/objecttable.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

StoredObject bundle(const ObjectVersion &version, const std::string &value = "{}")
{
    return {"bundle", "main", version, false, value};
}

TEST(ObjectTableTest, AnOlderCopyIsIgnoredAndWhatFollowsItIsNot)
{
    ObjectTable table;
    ASSERT_TRUE(table.apply(bundle({15, 1, 120}, "before")));
    EXPECT_FALSE(table.apply(bundle({9, 2, 110}, "copy")));
    EXPECT_TRUE(table.apply(bundle({15, 2, 111}, "again")));
    EXPECT_TRUE(table.apply(bundle({17, 2, 112}, "after")));
    EXPECT_FALSE(table.apply(bundle({15, 1, 120}, "before"))) << "from a peer that has not seen the return";
    EXPECT_EQ(table.find("bundle", "main")->value, "after");
    EXPECT_EQ(table.newestVersion(), ObjectVersion(17, 2, 112));
}

// The same revision stands for other contents in each era.
TEST(ObjectTableTest, TablesWithTheSameRevisionOfTwoErasDiffer)
{
    ObjectTable before;
    ObjectTable after;
    before.apply(bundle({15, 1, 112}));
    after.apply(bundle({17, 2, 112}));
    EXPECT_NE(before.digest(), after.digest());
    EXPECT_EQ(after.newerThan(before.versionsByHash()).size(), 1U);
    EXPECT_TRUE(before.newerThan(after.versionsByHash()).empty());
    EXPECT_EQ(after.newerThan(before.newestVersion()).size(), 1U);
}

TEST(ObjectTableTest, ADigestOfPlainRevisionsIsTheSameInAnyOrder)
{
    ObjectTable first;
    ObjectTable second;
    first.apply({"class", "lookup", 5, false, "{}"});
    first.apply({"class", "upload", 6, false, "{}"});
    second.apply({"class", "upload", 6, false, "{}"});
    second.apply({"class", "lookup", 4, false, "{}"});
    second.apply({"class", "lookup", 5, false, "{}"});
    EXPECT_EQ(first.digest(), second.digest());
}

} // namespace

} // namespace mustardpond
