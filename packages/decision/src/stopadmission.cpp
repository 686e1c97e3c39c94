#include "decision/stopadmission.h"

namespace mustardpond {

namespace {

constexpr double LONG_RUN_FACTOR = 8; ///< times the typical service time, within which nearly every run ends

} // namespace

bool endsBeforeStop(const LateRequest &request)
{
    if (request.timeLeft <= request.untilStop) {
        return true;
    }
    const bool isServiceTimeKnown = request.serviceTime > Millis();
    const Millis longRun = isServiceTimeKnown ? request.serviceTime * LONG_RUN_FACTOR : request.latencyTarget;
    return request.inner && longRun <= request.untilStop;
}

} // namespace mustardpond
