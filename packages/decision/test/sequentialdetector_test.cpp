#include "decision/sequentialdetector.h"

#include "foundation/random.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis TARGET{100};
constexpr Millis USUAL_SERVICE_TIME{10};
constexpr Millis STEP{20};

class SequentialDetectorTest : public ::testing::Test
{
protected:
    SequentialDetectorTest()
    {
        m_detector.setFloor(0.5);
        for (int index = 0; index < 6; ++index) {
            m_detector.setUpstream("u" + std::to_string(index), 5);
        }
        for (int round = 0; round < 50; ++round) {
            serveAll();
        }
    }

    void serve(const std::string &upstream, AttemptResult result, Millis time, const std::string &workClass = "lookup")
    {
        m_detector.onStart({++m_attempt, upstream, workClass, TARGET}, m_now);
        m_detector.onFinish(m_attempt, result, time, m_now);
    }

    void serveAll()
    {
        for (int index = 0; index < 6; ++index) {
            serve("u" + std::to_string(index), AttemptResult::Answered, USUAL_SERVICE_TIME);
        }
        tick();
    }

    void tick()
    {
        m_now = m_now + STEP;
        const auto changes = m_detector.tick(m_now);
        m_changes.insert(m_changes.end(), changes.begin(), changes.end());
    }

    bool hasChange(HealthChangeKind kind) const
    {
        return std::any_of(m_changes.begin(), m_changes.end(), [kind](const auto &c) { return c.kind == kind; });
    }

    double weight(const std::string &upstream, const std::string &workClass = "lookup") const
    {
        return m_detector.weight(upstream, workClass, m_now);
    }

    SequentialDetector m_detector{DetectionProfile()};
    Millis m_now{1000};
    std::uint64_t m_attempt = 0;
    std::vector<HealthChange> m_changes;
};

TEST_F(SequentialDetectorTest, FailingUpstreamIsEjectedAndItsPeersAreNot)
{
    for (int round = 0; round < 5; ++round) {
        serve("u0", AttemptResult::Failed, Millis(1));
        serveAll();
    }
    for (int round = 0; round < 5; ++round) {
        serve("u0", AttemptResult::Failed, Millis(1));
        tick();
    }
    EXPECT_EQ(weight("u0"), 0);
    EXPECT_EQ(weight("u1"), 1);
}

TEST_F(SequentialDetectorTest, AnswersSlowComparedToTheMedianEjectEvenWithinTheTarget)
{
    for (int round = 0; round < 8; ++round) {
        serve("u0", AttemptResult::Answered, Millis(80));
        tick();
    }
    EXPECT_EQ(weight("u0"), 0);
}

TEST_F(SequentialDetectorTest, FailingClassIsEjectedWithoutTheOtherClasses)
{
    for (int round = 0; round < 8; ++round) {
        serve("u0", AttemptResult::Failed, USUAL_SERVICE_TIME, "report");
        serve("u0", AttemptResult::Answered, USUAL_SERVICE_TIME);
        tick();
    }
    EXPECT_EQ(weight("u0", "report"), 0);
    EXPECT_EQ(weight("u0"), 1);
}

TEST_F(SequentialDetectorTest, RunningRequestsOverTheTargetCountAsBad)
{
    for (int request = 0; request < 5; ++request) {
        m_detector.onStart({++m_attempt, "u0", "lookup", TARGET}, m_now);
    }
    for (int round = 0; round < 8; ++round) {
        tick();
    }
    EXPECT_EQ(weight("u0"), 0);
}

TEST_F(SequentialDetectorTest, PathFailuresEjectForAllClasses)
{
    for (int round = 0; round < 6; ++round) {
        serve("u0", AttemptResult::PathFailed, Millis());
        tick();
    }
    EXPECT_EQ(weight("u0", "lookup"), 0);
    EXPECT_EQ(weight("u0", "never seen"), 0);
}

TEST_F(SequentialDetectorTest, GateSuspicionEjectsTheUpstream)
{
    m_detector.onGateSuspicion("u0", "lookup", m_now);
    tick();
    EXPECT_EQ(weight("u0"), 0);
}

TEST_F(SequentialDetectorTest, EjectedUpstreamReturnsGraduallyAndEjectionTimesGrow)
{
    m_detector.onGateSuspicion("u0", "lookup", m_now);
    tick();
    const Millis initialEjectionTime = m_changes.back().ejectionTime;
    m_now = m_now + initialEjectionTime;
    tick();
    EXPECT_TRUE(hasChange(HealthChangeKind::Returned));
    EXPECT_GT(weight("u0"), 0);
    EXPECT_LT(weight("u0"), 0.5);
    m_detector.onGateSuspicion("u0", "lookup", m_now);
    tick();
    EXPECT_EQ(m_changes.back().ejectionTime, initialEjectionTime * 2);
}

TEST_F(SequentialDetectorTest, SuspicionOfAllUpstreamsIsASharedCauseAndEjectsNone)
{
    for (int index = 0; index < 6; ++index) {
        m_detector.onGateSuspicion("u" + std::to_string(index), "lookup", m_now);
    }
    tick();
    EXPECT_TRUE(hasChange(HealthChangeKind::SharedCause));
    EXPECT_EQ(weight("u0"), 1);
    EXPECT_TRUE(m_detector.mustServe("u0", "lookup"));
}

TEST(SequentialDetectorFloorTest, CapacityNeverFallsBelowTheFloorForAnySeed)
{
    constexpr std::uint64_t SEEDS = 200;
    constexpr int ROUNDS = 300;
    constexpr int UPSTREAMS = 9;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SeededRandom random(seed);
        SequentialDetector detector{DetectionProfile()};
        const double floor = 0.3 + 0.6 * random.uniform();
        detector.setFloor(floor);
        double total = 0;
        std::vector<double> slots;
        for (int index = 0; index < UPSTREAMS; ++index) {
            slots.push_back(1 + static_cast<double>(random.below(9)));
            total += slots.back();
            detector.setUpstream(std::to_string(index), slots.back());
        }
        Millis now{1000};
        for (int round = 0; round < ROUNDS; ++round) {
            const auto upstream = std::to_string(random.below(UPSTREAMS));
            const auto kind = static_cast<AttemptResult>(random.below(4));
            const auto attempt = static_cast<std::uint64_t>(round) + 1;
            detector.onStart({attempt, upstream, "lookup", TARGET}, now);
            detector.onFinish(attempt, kind, Millis(200 * random.uniform()), now);
            if (random.below(5) == 0) {
                detector.onGateSuspicion(upstream, "lookup", now);
            }
            now = now + Millis(1000 * random.uniform() * random.uniform());
            detector.tick(now);
            double remaining = 0;
            for (int index = 0; index < UPSTREAMS; ++index) {
                remaining += detector.weight(std::to_string(index), "lookup", now) > 0 ? slots[index] : 0;
            }
            ASSERT_GE(remaining, floor * total) << "seed " << seed << " round " << round;
        }
    }
}

} // namespace

} // namespace mustardpond
