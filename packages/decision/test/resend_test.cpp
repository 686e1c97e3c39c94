#include "decision/resend.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(ResendTest, ASilentConnectionIsReplaced)
{
    EXPECT_TRUE(mayResend({false, false, true}));
}

TEST(ResendTest, AnUpstreamThatLeavesGetsNothingAgain)
{
    EXPECT_FALSE(mayResend({false, false, false}));
}

TEST(ResendTest, NothingIsSentAgainOnceTheAnswerHasBegunOrTheCallerHasLeft)
{
    EXPECT_FALSE(mayResend({true, false, true}));
    EXPECT_FALSE(mayResend({false, true, true}));
}

} // namespace

} // namespace mustardpond
