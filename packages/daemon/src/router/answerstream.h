/// Passes a streamed answer from a gate on to the caller.
#pragma once

#include "framechannel.h"

namespace mustardpond {

/// The parts of an answer that is too large for one frame.
struct StreamedAnswer {
    std::uint64_t request = 0;
    std::vector<std::uint8_t> start; ///< the first bytes of the body
    FrameChannel *rest = nullptr; ///< where the following bytes come from
    Millis deadline; ///< on the clock below; an answer that is not whole then is broken off
    const Clock &clock;
};

/// Sends head and body. Throws boost::system::system_error or BadFrame when either side fails; the caller must then
/// not be left with an answer that looks whole.
void streamAnswer(beast::tcp_stream &caller, http::response<http::buffer_body> &head, StreamedAnswer answer,
                  const Yield &yield);

} // namespace mustardpond
