#include "decision/bytebudget.h"

#include "decision/bodypace.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr std::size_t TOTAL = 4 * MIB;

class ByteBudgetTest : public ::testing::Test
{
protected:
    ByteBudget::Holder holderOf(std::size_t bytes, Millis now)
    {
        const auto holder = m_budget.open(now);
        m_budget.setEvictable(holder, true, now);
        m_budget.charge(holder, bytes);
        return holder;
    }

    ByteBudget m_budget{TOTAL};
};

// Many large bodies filled the memory, and a lookup with a few bytes found none.
TEST_F(ByteBudgetTest, LeavesAQuarterToSmallRequests)
{
    const auto large = m_budget.open(Millis());
    EXPECT_TRUE(m_budget.take(large, 3 * MIB, 0));
    EXPECT_FALSE(m_budget.take(large, 1, 0));
    const auto announced = m_budget.open(Millis());
    EXPECT_FALSE(m_budget.take(announced, KIB, MIB)); // needs more in the end
    const auto small = m_budget.open(Millis());
    EXPECT_TRUE(m_budget.take(small, ByteBudget::SMALL_BYTES, 0));
    EXPECT_FALSE(m_budget.take(small, 1, 0));
    m_budget.close(large);
    EXPECT_TRUE(m_budget.take(small, 1, 0));
    EXPECT_EQ(m_budget.used(), ByteBudget::SMALL_BYTES + 1);
}

// The bytes of a caller that ends in any way must come back, or the budget fills up over time.
TEST_F(ByteBudgetTest, ReturnsAllBytesOfAHolder)
{
    const auto holder = holderOf(MIB, Millis());
    m_budget.giveBack(holder, 2 * MIB); // more than it has
    EXPECT_EQ(m_budget.used(), 0U);
    m_budget.charge(holder, 5 * MIB); // more than the budget: what was admitted counts in any case
    EXPECT_FALSE(m_budget.take(m_budget.open(Millis()), 1, 0));
    m_budget.close(holder);
    m_budget.close(holder);
    EXPECT_EQ(m_budget.used(), 0U);
}

TEST_F(ByteBudgetTest, EvictsByBytesAndTimeWithoutProgress)
{
    const auto early = holderOf(100 * KIB, Millis());
    const auto late = holderOf(MIB, Millis(2000));
    EXPECT_EQ(m_budget.victim(Millis(999)), std::nullopt);
    EXPECT_EQ(m_budget.victim(Millis(2999)), early); // the other one is too new
    EXPECT_EQ(m_budget.victim(Millis(3000)), late); // 1 MB for 1 s is more than 100 KB for 3 s
    EXPECT_EQ(m_budget.timeUntilVictim(Millis(2500)), Millis());
    m_budget.close(early);
    EXPECT_EQ(m_budget.timeUntilVictim(Millis(2600)), Millis(400));
}

// One byte a second must not keep a place, and an honest slow caller must not lose it.
TEST_F(ByteBudgetTest, ProtectsProgressButNotSingleBytes)
{
    const auto honest = holderOf(MIB, Millis());
    const auto trickling = holderOf(KIB, Millis());
    for (double now = 0; now <= 5000; now += 900) {
        m_budget.onProgress(honest, ByteBudget::PROGRESS_BYTES, Millis(now));
        m_budget.onProgress(trickling, 1, Millis(now));
    }
    EXPECT_EQ(m_budget.victim(Millis(5000)), trickling);
}

// A request whose upstream is at work must not be evicted.
TEST_F(ByteBudgetTest, EvictsNobodyThatDoesNotWaitForItsCaller)
{
    const auto holder = holderOf(MIB, Millis());
    m_budget.setEvictable(holder, false, Millis(100));
    EXPECT_EQ(m_budget.victim(Millis(60000)), std::nullopt);
    EXPECT_EQ(m_budget.timeUntilVictim(Millis(60000)), ByteBudget::PROGRESS_TIME);
}

// A body that stalled held a slot until its deadline.
TEST(BodyPaceTest, StallsOnlyBelowTheRateOverAWholeWindow)
{
    BodyPace pace(1024, Millis(10000));
    pace.onWait(Millis(9999), 0);
    EXPECT_FALSE(pace.isStalled());
    EXPECT_EQ(pace.timeLeft(), Millis(1));
    pace.onWait(Millis(1), 10240);
    EXPECT_FALSE(pace.isStalled());
    EXPECT_EQ(pace.timeLeft(), Millis(10000));
    pace.onWait(Millis(10000), 10239);
    EXPECT_TRUE(pace.isStalled());
}

} // namespace

} // namespace mustardpond
