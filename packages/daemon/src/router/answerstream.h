/// Forwards a streamed answer from a gate to the caller.
#pragma once

#include "bodybudget.h"
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
    BodyHold &hold;
};

/// Sends head and body of an answer that is complete. Throws boost::system::system_error when the caller fails.
void writeAnswer(beast::tcp_stream &caller, BodyHold &hold, http::response<http::buffer_body> &head,
                 std::vector<std::uint8_t> &body, const Yield &yield);

/// Sends head and body. Throws boost::system::system_error or BadFrame when either side fails; the connection to the
/// caller must then be reset, so that a truncated answer cannot pass for a complete one.
void streamAnswer(beast::tcp_stream &caller, http::response<http::buffer_body> &head, StreamedAnswer answer,
                  const Yield &yield);

/// Closes the connection with a reset, which marks an answer as truncated even if its framing gives no length.
void resetConnection(beast::tcp_stream &caller);

} // namespace mustardpond
