#include "decision/stopadmission.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

LateRequest lateRequest()
{
    LateRequest request;
    request.timeLeft = Millis(4000);
    request.untilStop = Millis(2400);
    request.serviceTime = Millis(300);
    request.latencyTarget = Millis(1500);
    return request;
}

// Requests whose typical run fitted were taken and broken off at the end of the stop, when a run took longer.
TEST(StopAdmissionTest, ATypicalRunThatFitsIsNotEnough)
{
    EXPECT_FALSE(endsBeforeStop(lateRequest()));
}

TEST(StopAdmissionTest, ARequestWhoseDeadlineComesFirstIsTaken)
{
    LateRequest request = lateRequest();
    request.timeLeft = Millis(2400);
    EXPECT_TRUE(endsBeforeStop(request));
}

TEST(StopAdmissionTest, AnInnerCallIsTakenIfALongRunFits)
{
    LateRequest request = lateRequest();
    request.inner = true;
    EXPECT_TRUE(endsBeforeStop(request));
    request.untilStop = Millis(2399);
    EXPECT_FALSE(endsBeforeStop(request));
}

TEST(StopAdmissionTest, AnInnerCallOfUnknownServiceTimeNeedsItsLatencyTarget)
{
    LateRequest request = lateRequest();
    request.inner = true;
    request.serviceTime = Millis();
    EXPECT_TRUE(endsBeforeStop(request));
    request.untilStop = Millis(1499);
    EXPECT_FALSE(endsBeforeStop(request));
}

// Plays a stop with a grace period of 6 s under load: one request in four takes five times the mean, as backend servers
// do, and callers allow 4 s. None that is taken after the router has stopped accepting may last beyond the stop.
TEST(StopAdmissionTest, NoTakenRequestOutlastsTheStopUnderLoad)
{
    const Millis stopAt(5370);
    for (Millis arrival(2500); arrival < stopAt; arrival = arrival + Millis(10)) {
        for (const Millis run : {Millis(300), Millis(1500), Millis(4000)}) {
            LateRequest request = lateRequest();
            request.untilStop = stopAt - arrival;
            for (const Millis timeLeft : {Millis(500), Millis(1200), Millis(4000)}) {
                request.timeLeft = timeLeft;
                const Millis end = arrival + std::min(run, timeLeft);
                EXPECT_TRUE(!endsBeforeStop(request) || end <= stopAt) << "arrival at " << arrival.value << " ms";
            }
        }
    }
}

} // namespace

} // namespace mustardpond
