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
    OperationId open()
    {
        return *m_ledger.open("muhur", "inspectors", NOW);
    }

    Ledger m_ledger{GATE, {3, Millis(500)}};
};

TEST_F(LedgerTest, AdmitsOneRunOnly)
{
    const OperationId id = open();
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::Run);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::AlreadyRunning);
    m_ledger.finish(id, {200, "", "done"});
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::AlreadyRan);
    EXPECT_EQ(m_ledger.answer(id)->body, "done");
}

TEST_F(LedgerTest, ClosedOperationNeverRuns)
{
    const OperationId id = open();
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Closed);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::Closed);
}

TEST_F(LedgerTest, CloseDoesNotReportARunningOperationAsNotRun)
{
    const OperationId id = open();
    m_ledger.begin(id, BINDING, NOW);
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Running);
    m_ledger.markAnswerLost(id);
    EXPECT_EQ(m_ledger.close(id, "inspectors", NOW), OperationState::Lost);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::Lost);
}

TEST_F(LedgerTest, RejectsOtherOrganisationsAndRequests)
{
    const OperationId id = open();
    EXPECT_EQ(m_ledger.begin(id, {"muhur", "strangers", 7}, NOW), OperationAdmission::Mismatch);
    EXPECT_FALSE(m_ledger.close(id, "strangers", NOW));
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::Run);
    EXPECT_EQ(m_ledger.begin(id, {"muhur", "inspectors", 8}, NOW), OperationAdmission::Mismatch);
}

TEST_F(LedgerTest, ExpiredAndForeignOperationsNeverRun)
{
    const OperationId id = open();
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW + Millis(500)), OperationAdmission::Foreign);
    EXPECT_EQ(m_ledger.begin({{9, 9}, id.number}, BINDING, NOW), OperationAdmission::Foreign);
}

TEST_F(LedgerTest, FullLedgerOpensNoOperationAndKeepsThoseOpened)
{
    const OperationId first = open();
    open();
    open();
    EXPECT_FALSE(m_ledger.open("muhur", "inspectors", NOW));
    EXPECT_EQ(m_ledger.begin(first, BINDING, NOW), OperationAdmission::Run);
    EXPECT_TRUE(m_ledger.open("muhur", "inspectors", NOW + Millis(500)));
}

TEST_F(LedgerTest, OperationMayRunAfterItsStartIsCancelled)
{
    const OperationId id = open();
    m_ledger.begin(id, BINDING, NOW);
    m_ledger.cancelStart(id);
    EXPECT_EQ(m_ledger.begin(id, BINDING, NOW), OperationAdmission::Run);
}

TEST(OperationIdTest, ParsesOnlyTheExactTextForm)
{
    const OperationId id{{0x0123456789abcdef, 42}, 7};
    EXPECT_EQ(parseOperationId(toString(id)), id);
    EXPECT_FALSE(parseOperationId(toString(id) + "0"));
    EXPECT_FALSE(parseOperationId("00000000000000zz-0000000000000000-0000000000000000"));
    EXPECT_FALSE(parseOperationId(""));
}

} // namespace

} // namespace mustardpond
