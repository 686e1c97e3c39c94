#include "routingtable.h"

#include "foundation/random.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis NOW{10000};
constexpr const char SERVICE[] = "sicil";

UpstreamRef upstream(const std::string &id, Distance distance)
{
    UpstreamRef ref;
    ref.id = id;
    ref.distance = distance;
    ref.slots = 5;
    return ref;
}

WorkClass workClass(const std::string &name)
{
    WorkClass result;
    result.name = name;
    result.latencyTarget = Millis(2500);
    return result;
}

class RoutingTableTest : public ::testing::Test
{
protected:
    RoutingTableTest()
        : m_random(7)
        , m_table(Detection::Gates, profileForCost(10), m_random)
    {
        auto view = std::make_shared<FleetView>();
        view->upstreams[SERVICE] = {upstream("near", Distance::SameDataCentre), upstream("far", Distance::OtherRegion)};
        m_table.update(view, NOW);
    }

    void answer(const std::string &id, const std::string &className, Millis time)
    {
        AttemptStart start;
        start.attempt = ++m_attempt;
        start.upstream = id;
        start.workClass = className;
        m_table.onStart(SERVICE, start, NOW);
        m_table.onFinish(SERVICE, start, AttemptResult::Answered, time, Millis(1), NOW);
        m_table.onLoad(SERVICE, id, className, {0, NOW, time});
    }

    std::string placed(const std::string &className)
    {
        const UpstreamRef *ref = m_table.place(SERVICE, workClass(className), {}, {}, NOW);
        return ref ? ref->id : "";
    }

    SeededRandom m_random;
    RoutingTable m_table;
    std::uint64_t m_attempt = 0;
};

// The same upstreams run a class of short lookups and a class of long ones. Short service times of the one class must
// not make an upstream look fast for the other, which would send its requests to another region.
TEST_F(RoutingTableTest, IgnoresServiceTimesOfOtherClasses)
{
    answer("near", "long", Millis(900));
    for (int i = 0; i < 20; ++i) {
        answer("far", "short", Millis(2));
    }
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(placed("long"), "near");
    }
}

TEST_F(RoutingTableTest, AvoidsUpstreamThatIsMuchSlowerForTheClass)
{
    answer("far", "long", Millis(900));
    answer("near", "long", Millis(4000));
    EXPECT_EQ(placed("long"), "far");
}

// Guards against large answers being fetched over links between data centres while the near upstream is free.
TEST(RoutingTableAnswerSizeTest, UsualSizeOfAnswersIsKnownByServiceAndClass)
{
    SeededRandom random(1);
    RoutingTable table(Detection::Gates, profileForCost(1), random);
    EXPECT_EQ(table.classAnswerBytes("sicil", "photo"), 0);
    table.onAnswerSize("sicil", "photo", 90000);
    EXPECT_EQ(table.classAnswerBytes("sicil", "photo"), 90000);
    table.onAnswerSize("sicil", "photo", 80000);
    EXPECT_DOUBLE_EQ(table.classAnswerBytes("sicil", "photo"), 89000);
    EXPECT_EQ(table.classAnswerBytes("sicil", "lookup"), 0);
}

/// Guards against an organisation whose requests all wait at one gate, where they share its slots with each other,
/// while another gate would serve them.
TEST_F(RoutingTableTest, SpreadsTheRequestsOfOneOrganisation)
{
    auto view = std::make_shared<FleetView>();
    view->upstreams[SERVICE] = {upstream("one", Distance::SameDataCentre), upstream("two", Distance::SameDataCentre)};
    m_table.update(view, NOW);
    const std::vector<AttemptStart> starts = {
        {1, "one", "c", {}, "hot"}, {2, "one", "c", {}, "hot"}, {3, "two", "c", {}, "x"}, {4, "two", "c", {}, "y"}};
    for (const AttemptStart &start : starts) {
        m_table.onStart(SERVICE, start, NOW);
    }
    PlacementConstraints constraints;
    constraints.organisation = "hot";
    int atOther = 0;
    for (int i = 0; i < 50; ++i) {
        atOther += m_table.place(SERVICE, workClass("c"), {}, constraints, NOW)->id == "two" ? 1 : 0;
    }
    EXPECT_GT(atOther, 40);
}

/// Guards against a router that starts while it reaches no other: each such router took the fleet's whole bound of
/// requests that are sent again.
TEST_F(RoutingTableTest, ARouterThatKnowsNobodySharesTheBoundWithTheRegisteredHosts)
{
    RoutingTable table(Detection::Gates, profileForCost(10), m_random);
    table.setRetryLimits({1, 100, Millis(10000)});
    auto view = std::make_shared<FleetView>();
    view->members = {Member()};
    view->registered = std::make_shared<const RegisteredHosts>(RegisteredHosts{{}, 20});
    table.update(view, NOW);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        table.retryBudget(SERVICE).onFirstAttempt();
    }
    int retries = 0;
    while (table.retryBudget(SERVICE).tryConsumeRetry()) {
        ++retries;
    }
    EXPECT_LE(retries, 100 / 20);
    EXPECT_GE(retries, 1);
}

/// Guards against upstreams that look full for ever, and against memory that grows, after callers have left.
TEST_F(RoutingTableTest, ForgetsAttemptsWhoseCallersLeft)
{
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
        m_table.onStart(SERVICE, {attempt, "near", "c", {}, "hot"}, NOW);
    }
    EXPECT_EQ(placed("c"), "far") << "the nearer upstream has 5 slots";
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
        m_table.onAbandoned(SERVICE, {attempt, "near", "c", {}, "hot"});
    }
    EXPECT_EQ(placed("c"), "near");
}

} // namespace

} // namespace mustardpond
