#include "decision/resend.h"

namespace mustardpond {

bool mayResend(const SilentRequest &request)
{
    return !request.answerStarted && !request.callerDisconnected && request.upstreamReady;
}

} // namespace mustardpond
