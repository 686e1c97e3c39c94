#include "decision/resend.h"

namespace mustardpond {

bool mayResend(const SilentRequest &request)
{
    return !request.answerBegan && !request.callerLeft && request.upstreamTakesWork;
}

} // namespace mustardpond
