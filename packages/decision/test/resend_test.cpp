#include "decision/resend.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

TEST(ResendTest, ResendsARequestAfterItsConnectionHasGoneSilent)
{
    EXPECT_TRUE(mayResend({false, false, true}));
}

TEST(ResendTest, DoesNotResendToAnUpstreamThatIsNotReady)
{
    EXPECT_FALSE(mayResend({false, false, false}));
}

TEST(ResendTest, DoesNotResendOnceTheAnswerHasStartedOrTheCallerHasDisconnected)
{
    EXPECT_FALSE(mayResend({true, false, true}));
    EXPECT_FALSE(mayResend({false, true, true}));
}

} // namespace

} // namespace mustardpond
