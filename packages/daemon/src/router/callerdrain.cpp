#include "callerdrain.h"

#include "foundation/bytes.h"

#include <array>

namespace mustardpond {

namespace {

constexpr std::size_t DRAIN_READ_BYTES = 16 * KIB;
constexpr Millis DRAIN_TIMEOUT{10000}; ///< for a caller to send the rest of a body that was answered early
constexpr Millis DRAIN_IDLE_TIMEOUT{2000}; ///< without data from the caller

} // namespace

void drainCaller(beast::tcp_stream &stream, const Clock &clock, const Yield &yield)
{
    // All connections share it, since nobody looks at the bytes.
    static std::array<char, DRAIN_READ_BYTES> scratch;
    ErrorCode error;
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    const Millis deadline = clock.now() + DRAIN_TIMEOUT;
    while (!error && clock.now() < deadline) {
        stream.expires_after(toDuration(DRAIN_IDLE_TIMEOUT));
        stream.async_read_some(asio::buffer(scratch), yield[error]);
    }
}

} // namespace mustardpond
