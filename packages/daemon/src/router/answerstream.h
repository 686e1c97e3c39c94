/// Forwards a streamed answer from a gate to the caller.
#pragma once

#include "framechannel.h"

namespace mustardpond {

/// For one write to a caller, which may read slowly.
constexpr Millis CALLER_WRITE_TIMEOUT{30000};

/// The parts of an answer that is too large for one frame.
struct StreamedAnswer {
    std::uint64_t request = 0;
    std::vector<std::uint8_t> start; ///< first bytes of the body
    FrameChannel *rest = nullptr; ///< source of the remaining bytes
    Millis deadline; ///< on the clock below; an answer that is incomplete by then is aborted
    const Clock &clock;
};

/// Sends head and body. Throws boost::system::system_error or BadFrame when either side fails; the connection to the
/// caller must then be reset, so that a truncated answer cannot pass for a complete one.
void streamAnswer(beast::tcp_stream &caller, http::response<http::buffer_body> &head, StreamedAnswer answer,
                  const Yield &yield);

} // namespace mustardpond
