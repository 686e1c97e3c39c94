#include "membership/watchermonitor.h"

#include "fakefleet.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Millis DETECTION_TIME{1300};

class WatcherMonitorTest : public ::testing::Test
{
protected:
    /// Runs the checks for some time; the members named answer them after the delay.
    void run(Millis time, const std::vector<std::string> &answering, Millis delay = Millis(1))
    {
        for (const Millis end = m_now + time; m_now < end; m_now = m_now + Millis(10)) {
            for (const std::string &key : m_monitor.takeDue(m_now)) {
                ++m_asked;
                m_monitor.onAsked(++m_number, key, m_now);
                if (std::find(answering.begin(), answering.end(), key) != answering.end()) {
                    m_answers.emplace(m_now + delay, std::make_pair(m_number, key));
                }
            }
            while (!m_answers.empty() && m_answers.begin()->first <= m_now) {
                wire::AckT ack;
                ack.number = m_answers.begin()->second.first;
                ack.from = ack.target = m_answers.begin()->second.second;
                m_monitor.onAnswer(ack);
                m_answers.erase(m_answers.begin());
            }
        }
    }

    WatcherMonitor m_monitor;
    Millis m_now{5000};
    std::uint64_t m_number = 0;
    int m_asked = 0;
    std::multimap<Millis, std::pair<std::uint64_t, std::string>> m_answers;
};

TEST_F(WatcherMonitorTest, AsksNobodyUnlessTheNodeIsAStandby)
{
    run(Millis(3000), {});
    EXPECT_EQ(m_asked, 0);
    m_monitor.setWatchers({"a", "b"}, m_now);
    run(Millis(3000), {"a", "b"});
    EXPECT_EQ(m_asked, 16);
    EXPECT_EQ(m_monitor.countSilent(m_now), 0U);
}

// Of the 2 s in which a change has to be in force, some are left for reading the store and telling the others.
TEST_F(WatcherMonitorTest, SilentMembersAreFoundInTime)
{
    m_monitor.setWatchers({"a", "b"}, m_now);
    run(Millis(3250), {"a", "b"});
    run(DETECTION_TIME, {"b"});
    EXPECT_EQ(m_monitor.countSilent(m_now), 1U);
    run(DETECTION_TIME, {});
    EXPECT_EQ(m_monitor.countSilent(m_now), 2U);
    run(Millis(500), {"a", "b"});
    EXPECT_EQ(m_monitor.countSilent(m_now), 0U);
}

TEST_F(WatcherMonitorTest, AMemberThatAnswersTooLateIsSilent)
{
    m_monitor.setWatchers({"a", "b"}, m_now);
    run(Millis(5000), {"a", "b"}, Millis(300));
    EXPECT_EQ(m_monitor.countSilent(m_now), 0U);
    run(Millis(5000), {"a", "b"}, Millis(1500));
    EXPECT_EQ(m_monitor.countSilent(m_now), 2U);
}

TEST_F(WatcherMonitorTest, OneLostAnswerDoesNotMakeAMemberSilent)
{
    m_monitor.setWatchers({"a"}, m_now);
    for (int round = 0; round < 100; ++round) {
        run(Millis(3010), {"a"});
        run(Millis(400), {});
        for (int step = 0; step < 50; ++step) {
            run(Millis(10), {"a"});
            ASSERT_EQ(m_monitor.countSilent(m_now), 0U) << "round " << round << ", step " << step;
        }
    }
}

// A process that took over the address of a watcher does not read the store in its place.
TEST_F(WatcherMonitorTest, AnswersOfAnotherProcessDoNotCount)
{
    m_monitor.setWatchers({"a"}, m_now);
    run(Millis(2000), {});
    m_monitor.onAsked(77, "a", m_now);
    wire::AckT ack;
    ack.number = 77;
    ack.target = "a";
    ack.from = "b";
    m_monitor.onAnswer(ack);
    EXPECT_EQ(m_monitor.countSilent(m_now), 1U);
}

// Guards against a standby that waits for the failure detector.
TEST(WatcherMonitorFleetTest, AStandbyFindsWatchersThatAreCutOffFromAllInTime)
{
    testing::FakeFleet fleet(2, 6, 11);
    ASSERT_TRUE(fleet.runUntil([](Membership &m) { return testing::aliveAt(m) == 12; }, Millis(60000)));
    Membership &standby = fleet.at("a2");
    standby.watcherMonitor().setWatchers(
        {toString(fleet.at("a0").self().incarnation), toString(fleet.at("a1").self().incarnation)}, fleet.now());
    fleet.run(Millis(5000));
    EXPECT_EQ(standby.watcherMonitor().countSilent(fleet.now()), 0U);
    const auto isCut = [](const std::string &address) { return address == "a0" || address == "a1"; };
    fleet.setLinks([isCut](const std::string &from, const std::string &to) { return !isCut(from) && !isCut(to); });
    fleet.run(DETECTION_TIME);
    EXPECT_EQ(standby.watcherMonitor().countSilent(fleet.now()), 2U);
}

} // namespace

} // namespace mustardpond
