#include "slotshare.h"

#include "slotshares.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

/// Guards against gates that do not learn whose request waits, and against bytes for requests without an organisation.
TEST(SlotShareTest, ReservationCarriesOrganisationAndWeight)
{
    wire::ReserveT reserve;
    setSlotShare(nullptr, reserve);
    const std::string plain = packMessage(reserve);
    EXPECT_TRUE(reserve.organisation.empty());
    EXPECT_EQ(reserve.weight, 0);
    const Organisation organisation{"o1", 2, 40, 0};
    setSlotShare(&organisation, reserve);
    EXPECT_EQ(reserve.organisation, "o1");
    EXPECT_EQ(reserve.weight, 10) << "the rate is halved for each step of the priority";
    EXPECT_LT(plain.size(), packMessage(reserve).size());
    EXPECT_EQ(slotWeight({"o2", std::nullopt, 0, 0}), 0) << "its gate knows the mean of the others";
}

/// Guards against an operator who cannot see which organisations wait.
TEST(SlotShareTest, StatusShowsWaitingOrganisationsOnly)
{
    UpstreamRegistry registry(4, false);
    Announcement announcement;
    announcement.id = "u";
    announcement.state = UpstreamState::Ready;
    announcement.slots = 1;
    registry.announce(announcement, Millis(1));
    SlotQueue &queue = *registry.find("u")->queue;
    queue.request(1, Millis(), INNER_CALL_RANK + 1);
    queue.request(2, Millis(), INNER_CALL_RANK + 1);
    EXPECT_TRUE(slotSharesJson(registry).empty()) << "the status of a fleet without organisations has changed";
    queue.request(3, Millis(), INNER_CALL_RANK + 1, {"o1", 2, 5});
    const auto shares = slotSharesJson(registry);
    ASSERT_EQ(shares["u"].size(), 2U);
    EXPECT_EQ(shares["u"][1]["organisation"], "o1");
    EXPECT_EQ(shares["u"][1]["waiting"], 1);
}

} // namespace

} // namespace mustardpond
