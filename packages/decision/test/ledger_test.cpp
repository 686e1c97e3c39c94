#include "decision/ledger.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr Incarnation GATE{1, 2};
constexpr Millis NOW{1000};
const OperationBinding BINDING{"muhur", "inspectors", 7}; // NOLINT(cert-err58-cpp)

class LedgerTest : public ::testing::Test
{
protected:
    OperationId mint()
    {
        return *m_ledger.mint("muhur", "inspectors", NOW);
    }

    Ledger m_ledger{GATE, {3, Millis(500)}};
};

TEST_F(LedgerTest, AdmitsOneRunOnly)
{
    const OperationId id = mint();
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::Run);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::AlreadyRunning);
    m_ledger.finish(id, {200, "", "done"});
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::AlreadyRan);
    EXPECT_EQ(m_ledger.answer(id)->body, "done");
}

TEST_F(LedgerTest, ClosedOperationNeverRuns)
{
    const OperationId id = mint();
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Closed);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::Closed);
}

TEST_F(LedgerTest, CloseDoesNotCallARunningOperationNotRun)
{
    const OperationId id = mint();
    m_ledger.begin(id, BINDING, NOW);
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Running);
    m_ledger.lose(id);
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Lost);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::Lost);
}

TEST_F(LedgerTest, OtherOrganisationsAndRequestsDoNotMatch)
{
    const OperationId id = mint();
    EXPECT_EQ(m_ledger.begin(id, {"muhur", "strangers", 7}, NOW), Admission::Mismatch);
    EXPECT_FALSE(m_ledger.close(id, "strangers", NOW));
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::Run);
    EXPECT_EQ(m_ledger.begin(id, {"muhur", "inspectors", 8}, NOW), Admission::Mismatch);
}

TEST_F(LedgerTest, ExpiredAndForeignOperationsNeverRun)
{
    const OperationId id = mint();
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW + Millis(500)), Admission::Foreign);
    EXPECT_EQ(m_ledger.begin({{9, 9}, id.number}, BINDING, NOW), Admission::Foreign);
}

TEST_F(LedgerTest, FullLedgerMintsNothingAndForgetsNothing)
{
    const OperationId first = mint();
    mint();
    mint();
    EXPECT_FALSE(m_ledger.mint("muhur", "inspectors", NOW));
    EXPECT_EQ(m_ledger.begin(first, BINDING, NOW), Admission::Run);
    EXPECT_TRUE(m_ledger.mint("muhur", "inspectors", NOW + Millis(500)));
}

TEST_F(LedgerTest, ReleasedOperationMayRunLater)
{
    const OperationId id = mint();
    m_ledger.begin(id, BINDING, NOW);
    m_ledger.release(id);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), Admission::Run);
}

TEST(OperationIdTest, TextIsReadBackExactly)
{
    const OperationId id{{0x0123456789abcdef, 42}, 7};
    EXPECT_EQ(parseOperationId(toString(id)), id);
    EXPECT_FALSE(parseOperationId(toString(id) + "0"));
    EXPECT_FALSE(parseOperationId("00000000000000zz-0000000000000000-0000000000000000"));
    EXPECT_FALSE(parseOperationId(""));
}

} // namespace

} // namespace mustardpond
