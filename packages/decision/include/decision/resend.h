/// Decides whether to resend a request to its upstream over a new connection after the old one has gone silent.
#pragma once

namespace mustardpond {

/// State of a request whose connection has been silent for too long.
struct SilentRequest {
    bool answerStarted = false;
    bool callerDisconnected = false;
    bool upstreamReady = false; ///< false for an upstream that is leaving: to it, a resend is new work
};

bool mayResend(const SilentRequest &request);

} // namespace mustardpond
