/// Whether a request goes to its upstream again, over a new connection, since the old one has gone silent.
#pragma once

namespace mustardpond {

/// What is known of a request when its connection has been silent for too long.
struct SilentRequest {
    bool answerBegan = false;
    bool callerLeft = false;
    bool upstreamTakesWork = false; ///< it is ready; to one that leaves, a second sending is new work
};

bool mayResend(const SilentRequest &request);

} // namespace mustardpond
