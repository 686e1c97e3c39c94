#include "control/noderecord.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

StoredObject recordWith(const std::string &leaving)
{
    StoredObject record;
    record.kind = "node";
    record.name = "n1";
    record.value = R"({"inner": "10.0.0.1:7000", "leaving": )" + leaving + "}";
    return record;
}

TEST(NodeRecordTest, OddEntryAmongTheLeavingUpstreamsCostsOnlyItself)
{
    const std::string good = R"({"id": "i-1", "service": "s", "state": "draining", "born": 5, "sequence": 9})";
    for (const char *odd :
         {"7", R"({"id": "i-2"})", R"({"id": "i-2", "service": "s", "state": "draining", "born": 1e300,
                                                         "sequence": 1})",
          R"({"id": "i-2", "service": "s", "state": "draining", "born": -1, "sequence": 1})"}) {
        const auto upstreams = leavingUpstreams(recordWith("[" + std::string(odd) + ", " + good + "]"));
        ASSERT_EQ(upstreams.size(), 1U) << odd;
        EXPECT_EQ(upstreams.front().id, "i-1");
        EXPECT_EQ(upstreams.front().sequence, 9U);
    }
}

// The record of a deregistration that names only the id was dropped when it was read, so a restart forgot it.
TEST(NodeRecordTest, DeregistrationWithoutServiceIsRead)
{
    StoredObject record;
    record.value = nodeRecord({}, {}, {{"i-1", "", UpstreamState::Gone, 1, 500, 0}});
    const auto upstreams = leavingUpstreams(record);
    ASSERT_EQ(upstreams.size(), 1U);
    EXPECT_EQ(upstreams.front().id, "i-1");
    EXPECT_EQ(upstreams.front().state, UpstreamState::Gone);
    EXPECT_EQ(upstreams.front().born, 500U);
}

TEST(NodeRecordTest, OddListOfLeavingUpstreamsIsIgnored)
{
    for (const char *odd : {"7", "null", "\"x\"", "{}"}) {
        EXPECT_TRUE(leavingUpstreams(recordWith(odd)).empty()) << odd;
    }
}

} // namespace

} // namespace mustardpond
