#include "runningrequests.h"

#include <gtest/gtest.h>

#include <vector>

namespace mustardpond {

namespace {

constexpr Millis LONGEST_TIMEOUT{10000};
constexpr Millis START{1000};

class RunningRequestsTest : public ::testing::Test
{
protected:
    RunningRequestsTest()
    {
        m_clock.advance(START);
        m_requests = std::make_unique<RunningRequests>(m_clock);
        m_clock.advance(LONGEST_TIMEOUT + RUN_DEADLINE_SLACK);
    }
    RunningRequests::Handle begin(const std::string &id, const UpstreamStart &upstream = {"u", 7})
    {
        return m_requests->begin(upstream, id, m_clock.now() + Millis(4000));
    }
    RunStatus status(const std::string &id) const
    {
        return m_requests->status(id, LONGEST_TIMEOUT);
    }

    ManualClock m_clock;
    std::unique_ptr<RunningRequests> m_requests;
};

TEST_F(RunningRequestsTest, ContainsARequestWhileItRuns)
{
    auto run = begin("a");
    EXPECT_EQ(status("a"), RunStatus::Running);
    EXPECT_EQ(status("b"), RunStatus::NotRunning);
    run.finish();
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
}

TEST_F(RunningRequestsTest, ContainsARequestThatRunsTwiceUntilBothRunsEnd)
{
    auto first = begin("a");
    auto second = begin("a");
    second.finish();
    EXPECT_EQ(status("a"), RunStatus::Running);
    first.finish();
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
}

TEST_F(RunningRequestsTest, DoesNotContainRequestsWithoutAnId)
{
    const auto run = begin("");
    EXPECT_EQ(status(""), RunStatus::NotRunning);
}

// An upstream may run a request whose connection was closed, and make calls for it.
TEST_F(RunningRequestsTest, KeepsARequestWhoseEndWasNotSeenUntilItsDeadline)
{
    begin("a");
    EXPECT_EQ(status("a"), RunStatus::Running);
    m_clock.advance(Millis(4000));
    EXPECT_EQ(status("a"), RunStatus::Running);
    m_clock.advance(RUN_DEADLINE_SLACK);
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
}

TEST_F(RunningRequestsTest, KeepsTheFirstRunOfARequestWhenTheSecondHasEnded)
{
    begin("a");
    begin("a").finish();
    EXPECT_EQ(status("a"), RunStatus::Running);
}

TEST_F(RunningRequestsTest, ForgetsTheRequestsOfAStartThatHasEnded)
{
    m_requests->setEndedCheck([](const UpstreamStart &start) { return start.born == 7; });
    begin("a");
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
    begin("a", {"u", 8});
    EXPECT_EQ(status("a"), RunStatus::Running);
}

TEST_F(RunningRequestsTest, KnowsRestoredRequestsUntilTheirDeadline)
{
    m_requests->restore({"u", 7}, keyOfRequest("a"), m_clock.now() + Millis(4000));
    EXPECT_EQ(status("a"), RunStatus::Running);
    m_clock.advance(Millis(4000) + RUN_DEADLINE_SLACK);
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
}

// The process that ran before may have handed over any request whose deadline has not passed.
TEST_F(RunningRequestsTest, DoesNotDenyARequestThatAnEarlierProcessMayHaveHandedOver)
{
    const RunningRequests requests(m_clock);
    EXPECT_EQ(requests.status("a", LONGEST_TIMEOUT), RunStatus::Unknown);
    m_clock.advance(LONGEST_TIMEOUT);
    EXPECT_EQ(requests.status("a", LONGEST_TIMEOUT), RunStatus::Unknown);
    m_clock.advance(RUN_DEADLINE_SLACK);
    EXPECT_EQ(requests.status("a", LONGEST_TIMEOUT), RunStatus::NotRunning);
}

TEST_F(RunningRequestsTest, DoesNotDenyARequestForWhichThereWasNoRoom)
{
    constexpr int MANY = 20000;
    for (int number = 0; number < MANY; ++number) {
        begin(std::to_string(number));
    }
    EXPECT_EQ(status("0"), RunStatus::Running);
    EXPECT_EQ(status(std::to_string(MANY - 1)), RunStatus::Unknown);
    m_clock.advance(Millis(4000) + RUN_DEADLINE_SLACK);
    EXPECT_EQ(status(std::to_string(MANY - 1)), RunStatus::NotRunning);
    begin("later");
    EXPECT_EQ(status("later"), RunStatus::Running) << "the room of expired requests was not used again";
}

TEST_F(RunningRequestsTest, ARunThatIsMovedBetweenHandlesEndsOnce)
{
    std::vector<RunningRequests::Handle> runs;
    runs.push_back(begin("a"));
    RunningRequests::Handle moved = std::move(runs.front());
    runs.clear();
    EXPECT_EQ(status("a"), RunStatus::Running);
    moved.finish();
    moved.finish();
    EXPECT_EQ(status("a"), RunStatus::NotRunning);
}

} // namespace

} // namespace mustardpond
