#include "bodybudget.h"
#include "streamedslots.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr std::size_t TOTAL = 4 * MIB;

class BodyBudgetTest : public ::testing::Test
{
protected:
    /// Takes bytes for a new request. Returns whether it got them.
    bool take(std::size_t bytes)
    {
        bool taken = false;
        BodyHold hold(m_budget, [] {});
        asio::spawn(m_context, [&](const Yield &yield) { taken = hold.take(bytes, bytes, yield); });
        m_context.restart();
        m_context.run();
        return taken;
    }

    asio::io_context m_context;
    SteadyClock m_clock;
    BodyBudget m_budget{m_context, m_clock, TOTAL};
};

// Callers that sent nothing more kept the memory of all others.
TEST_F(BodyBudgetTest, EvictsAStalledCallerForAWaitingOne)
{
    int interrupted = 0;
    int reported = 0;
    m_budget.onEviction([&reported] { ++reported; });
    std::unique_ptr<BodyHold> stalled;
    stalled = std::make_unique<BodyHold>(m_budget, [&] {
        ++interrupted;
        asio::post(m_context, [&stalled] { stalled->reduceTo(0); });
    });
    stalled->charge(3 * MIB);
    stalled->setEvictable(true);
    EXPECT_TRUE(take(MIB));
    EXPECT_EQ(interrupted, 1);
    EXPECT_EQ(reported, 1);
    EXPECT_TRUE(stalled->isEvicted());
}

// A request whose upstream is at work must keep its room; the new one is told when to come again.
TEST_F(BodyBudgetTest, RefusesIfNobodyMayBeEvicted)
{
    BodyHold working(m_budget, [] {});
    working.charge(3 * MIB);
    EXPECT_FALSE(take(MIB));
    EXPECT_FALSE(working.isEvicted());
    EXPECT_GT(working.retryAfter(), Millis());
    EXPECT_TRUE(take(ByteBudget::SMALL_BYTES)); // has room of its own
    EXPECT_EQ(m_budget.bytes().used(), 3 * MIB);
}

// Bodies that were still arriving held all slots of an upstream.
TEST(StreamedSlotsTest, LeavesHalfOfTheSlotsAndServesInOrder)
{
    asio::io_context context;
    StreamedSlots slots(context);
    EXPECT_EQ(StreamedSlots::limitOf(1), 1U);
    auto first = slots.tryAcquire("u", 4);
    auto second = slots.tryAcquire("u", 4);
    ASSERT_TRUE(first && second);
    EXPECT_FALSE(slots.tryAcquire("u", 4));
    EXPECT_TRUE(slots.tryAcquire("other", 4));
    std::vector<int> order;
    for (int waiter = 0; waiter < 2; ++waiter) {
        asio::spawn(context, [&, waiter](const Yield &yield) {
            const auto place = slots.acquire("u", 4, Millis(5000), yield);
            EXPECT_TRUE(place);
            order.push_back(waiter);
        });
    }
    asio::spawn(context, [&](const Yield &yield) {
        EXPECT_FALSE(slots.acquire("u", 4, Millis(10), yield));
        first.reset();
    });
    context.run();
    EXPECT_EQ(order, (std::vector<int>{0, 1}));
    EXPECT_TRUE(slots.tryAcquire("u", 4));
}

} // namespace

} // namespace mustardpond
