#include "membership/rumours.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

using Keys = std::vector<std::string>;

bool any(const std::string & /*key*/)
{
    return true;
}

TEST(RumoursTest, UpdateIsDroppedAfterMaxSends)
{
    Rumours rumours;
    rumours.add("a");
    EXPECT_EQ(rumours.nextBatch(5, 2, any), Keys{"a"});
    EXPECT_EQ(rumours.nextBatch(5, 2, any), Keys{"a"});
    EXPECT_TRUE(rumours.empty());
}

TEST(RumoursTest, UpdateThatAMessageCannotCarryIsNotCountedAsSent)
{
    Rumours rumours;
    rumours.add("large");
    rumours.add("small");
    const auto isSmall = [](const std::string &key) { return key == "small"; };
    EXPECT_EQ(rumours.nextBatch(5, 1, isSmall), Keys{"small"});
    EXPECT_EQ(rumours.nextBatch(5, 1, any), Keys{"large"});
}

} // namespace

} // namespace mustardpond
