#include "config/configsnapshot.h"
#include "config/daemonsettings.h"
#include "config/objects.h"
#include "foundation/errors.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

const char *const WORK_CLASS = R"({"kind":"idempotent","latencyTargetMs":150,"successTarget":0.99,"deadlineMs":3000})";
const char *const SERVICE = R"({"floor":0.5,"director":"aylin"})";

StoredObject route(const std::string &name, const std::string &prefix, const std::string &workClass)
{
    return {"route", name, 1, false,
            R"({"prefix":")" + prefix + R"(","service":"sicil","class":")" + workClass + "\"}"};
}

class ConfigBuilderTest : public ::testing::Test
{
protected:
    ConfigBuilderTest()
    {
        m_builder.apply({"class", "lookup", 1, false, WORK_CLASS});
        m_builder.apply({"class", "report", 1, false, WORK_CLASS});
        m_builder.apply({"service", "sicil", 1, false, SERVICE});
    }

    int m_invalidObjects = 0;
    ConfigBuilder m_builder{[this](const StoredObject &, const std::string &) { ++m_invalidObjects; }};
};

TEST_F(ConfigBuilderTest, LongestPrefixMatchesAtSegmentBoundaries)
{
    m_builder.apply(route("all", "/sicil", "lookup"));
    m_builder.apply(route("some", "/sicil/reports", "report"));
    const auto snapshot = m_builder.build();
    EXPECT_EQ(snapshot->route("/sicil/reports/7?x=1", "GET").workClass->name, "report");
    EXPECT_EQ(snapshot->route("/sicil/reportsX", "GET").workClass->name, "lookup");
    EXPECT_EQ(snapshot->route("/sicilX", "GET").workClass, nullptr);
}

TEST_F(ConfigBuilderTest, InvalidObjectKeepsTheLastValidVersionInForce)
{
    m_builder.apply({"class", "lookup", 2, false, R"({"kind":"idempotent"})"});
    EXPECT_EQ(m_invalidObjects, 1);
    EXPECT_EQ(m_builder.build()->workClass("lookup")->latencyTarget, Millis(150));
    EXPECT_EQ(m_builder.build()->versions().at("class/lookup"), 1U);
}

TEST_F(ConfigBuilderTest, LongestDeadlineIsThatOfAllClasses)
{
    EXPECT_EQ(ConfigBuilder(nullptr).build()->longestDeadline(), Millis());
    EXPECT_EQ(m_builder.build()->longestDeadline(), Millis(3000));
    m_builder.apply({"class", "long", 1, false,
                     R"({"kind":"idempotent","latencyTargetMs":150,"successTarget":0.99,"deadlineMs":9000})"});
    EXPECT_EQ(m_builder.build()->longestDeadline(), Millis(9000));
}

TEST_F(ConfigBuilderTest, OnlyApprovedRefusalsAreInForce)
{
    const std::string documentStart =
        R"({"service":"sicil","class":"lookup","share":1,"expiresMs":5,"director":"a","state":")";
    m_builder.apply({"refusal", "r1", 1, false, documentStart + "requested\"}"});
    EXPECT_TRUE(m_builder.build()->refusals().empty());
    m_builder.apply({"refusal", "r1", 2, false, documentStart + "approved\"}"});
    EXPECT_EQ(m_builder.build()->refusals().size(), 1U);
    m_builder.apply({"refusal", "r1", 3, false, documentStart + "withdrawn\"}"});
    EXPECT_TRUE(m_builder.build()->refusals().empty());
}

TEST(ObjectTableTest, LowerVersionsAreIgnored)
{
    ObjectTable table;
    EXPECT_TRUE(table.apply({"class", "a", 5, false, "new"}));
    EXPECT_FALSE(table.apply({"class", "a", 4, false, "old"}));
    EXPECT_TRUE(table.apply({"class", "a", 6, true, ""}));
    EXPECT_FALSE(table.apply({"class", "a", 5, false, "new"}));
    EXPECT_FALSE(table.find("class", "a"));
}

TEST(DaemonSettingsTest, ErrorNamesTheField)
{
    try {
        parseDaemonSettings(R"({"node":"n","region":"r","dataCentre":"d","caller":"here"})", "node.json");
        FAIL() << "nothing was thrown";
    } catch (const InvalidField &error) {
        EXPECT_EQ(error.field(), "caller");
    }
}

TEST(CheckObjectTest, DeadlineBelowLatencyTargetAndUnknownKindAreRejected)
{
    const std::string text = R"({"kind":"idempotent","latencyTargetMs":150,"successTarget":0.99,"deadlineMs":100})";
    EXPECT_THROW(checkObject({"class", "lookup", 0, false, text}), InvalidField);
    EXPECT_THROW(checkObject({"klass", "lookup", 0, false, text}), InvalidField);
}

// A host with less memory than the default must get a smaller budget for bodies without a setting of its own.
TEST(DaemonSettingsTest, DerivesTheBodyBudgetFromTheMemory)
{
    const auto limitsOf = [](const std::string &limits) {
        return parseDaemonSettings(R"({"node":"n","region":"r","dataCentre":"d","caller":"127.0.0.1:1",
            "inner":"127.0.0.1:2","local":"127.0.0.1:3","platform":"127.0.0.1:4","limits":)"
                                       + limits + "}",
                                   "node.json")
            .limits;
    };
    EXPECT_EQ(limitsOf("{}").bodyBudget(), 64 * MIB);
    EXPECT_EQ(limitsOf(R"({"memoryMb":160})").bodyBudget(), 40 * MIB);
    const DaemonLimits given = limitsOf(R"({"bodyBudgetBytes":1000000,"bodyMinBytesPerSecond":5,"bodyStallMs":200})");
    EXPECT_EQ(given.bodyBudget(), 1000000U);
    EXPECT_EQ(given.bodyMinBytesPerSecond, 5);
    EXPECT_EQ(given.bodyStallTime, Millis(200));
}

} // namespace

} // namespace mustardpond
