#include "decision/placement.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class PlacementTest : public ::testing::Test
{
protected:
    PlacementTest()
    {
        m_constraints.serviceTime = Millis(400);
        m_candidates = {at(Distance::SameDataCentre), at(Distance::SameDataCentre), at(Distance::SameRegion),
                        at(Distance::OtherRegion)};
    }
    static PlacementCandidate at(Distance distance)
    {
        PlacementCandidate candidate;
        candidate.distance = distance;
        candidate.slots = 5;
        return candidate;
    }
    std::optional<std::size_t> place()
    {
        return placeRequest(m_candidates, m_constraints, m_random);
    }

    SeededRandom m_random{3};
    PlacementConstraints m_constraints;
    std::vector<PlacementCandidate> m_candidates;
};

TEST_F(PlacementTest, PrefersTheDataCentre)
{
    for (int i = 0; i < 50; ++i) {
        EXPECT_LT(*place(), 2U);
    }
}

TEST_F(PlacementTest, SpreadsRequestsWhileNoServiceTimeIsKnown)
{
    m_constraints.serviceTime = Millis();
    std::vector<double> placed(2, 0);
    for (int request = 0; request < 4; ++request) {
        const std::size_t chosen = *place();
        ASSERT_LT(chosen, 2U);
        placed[chosen] += 1;
        m_candidates[chosen].load += 1;
    }
    EXPECT_GE(placed[0], 1);
    EXPECT_GE(placed[1], 1);
}

TEST_F(PlacementTest, LeavesTheDataCentreForAFreeSlot)
{
    m_candidates[0].load = 5;
    m_candidates[1].load = 6;
    EXPECT_EQ(place(), 2U);
    m_candidates[2].load = 5;
    EXPECT_EQ(place(), 3U);
    m_candidates[3].load = 5;
    EXPECT_EQ(place(), std::nullopt);
}

TEST_F(PlacementTest, WaitsAtTheUpstreamWithTheShortestExpectedWait)
{
    m_constraints.mayWait = true;
    m_candidates[0].load = 15;
    m_candidates[1].load = 6;
    m_candidates[2].load = 15;
    m_candidates[3].load = 15;
    EXPECT_EQ(place(), 1U);
}

TEST_F(PlacementTest, AvoidsUpstreamsThatHaveBecomeSlow)
{
    m_candidates[0].serviceTime = Millis(4000);
    m_candidates[1].serviceTime = Millis(4000);
    EXPECT_EQ(place(), 2U);
}

TEST_F(PlacementTest, KeepsLargeBodiesInTheDataCentre)
{
    m_constraints.largeBody = true;
    m_constraints.mayWait = true;
    m_candidates[0].load = 7;
    m_candidates[1].load = 7;
    m_candidates[2].load = 7;
    EXPECT_LT(*place(), 2U);
}

TEST_F(PlacementTest, ChoosesAvoidedUpstreamsOnlyWhenUntrustedOnesAreIncluded)
{
    for (auto &candidate : m_candidates) {
        candidate.avoided = true;
    }
    EXPECT_EQ(place(), std::nullopt);
    m_constraints.includeUntrusted = true;
    EXPECT_LT(*place(), 2U);
}

TEST_F(PlacementTest, DoesNotLeaveTheRegionUnlessAllowed)
{
    m_constraints.allowOtherRegions = false;
    m_candidates.erase(m_candidates.begin(), m_candidates.begin() + 3);
    EXPECT_EQ(place(), std::nullopt);
}

} // namespace

} // namespace mustardpond
