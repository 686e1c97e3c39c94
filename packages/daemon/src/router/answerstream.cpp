#include "answerstream.h"

#include "bodydigest.h"

#include "foundation/bytes.h"
#include "foundation/errors.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis CHUNK_TIMEOUT{30000};
constexpr std::size_t PIECE_BYTES = 64 * KIB; ///< written at a time; a caller that takes none is noticed

Millis timeLeft(const StreamedAnswer &answer)
{
    const Millis left = answer.deadline - answer.clock.now();
    // The timeout per chunk restarts with each chunk and does not bound the whole answer.
    if (left <= Millis()) {
        throw boost::system::system_error(beast::error::timeout);
    }
    return left;
}

using Serializer = http::response_serializer<http::buffer_body>;

/// Writes a part of a body.
/// @param last whether nothing more comes from the upstream: the caller may be evicted from the byte budget then
/// while it does not take the part, but not while an upstream is at work for it
void writePart(beast::tcp_stream &caller, BodyHold &hold, http::response<http::buffer_body> &head,
               Serializer &serializer, std::vector<std::uint8_t> &part, bool last, const Yield &yield)
{
    hold.charge(part.size());
    hold.setEvictable(last);
    std::size_t written = 0;
    do {
        const std::size_t size = std::min(PIECE_BYTES, part.size() - written);
        head.body().data = part.data() + written;
        head.body().size = size;
        written += size;
        head.body().more = !last || written < part.size();
        caller.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
        ErrorCode error;
        http::async_write(caller, serializer, yield[error]);
        if (error && error != http::error::need_buffer) {
            throw boost::system::system_error(error);
        }
        hold.onProgress(size);
    } while (written < part.size());
    hold.setEvictable(false);
    hold.giveBack(part.size());
}

} // namespace

void writeAnswer(beast::tcp_stream &caller, BodyHold &hold, http::response<http::buffer_body> &head,
                 std::vector<std::uint8_t> &body, const Yield &yield)
{
    Serializer serializer(head);
    writePart(caller, hold, head, serializer, body, true, yield);
}

void streamAnswer(beast::tcp_stream &caller, http::response<http::buffer_body> &head, StreamedAnswer answer,
                  const Yield &yield)
{
    head.body().data = nullptr;
    head.body().more = true;
    Serializer serializer(head);
    caller.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
    http::async_write_header(caller, serializer, yield);
    StreamDigest digest;
    digest.add(answer.start.data(), answer.start.size());
    writePart(caller, answer.hold, head, serializer, answer.start, false, yield);
    answer.start = {};
    for (bool last = false; !last;) {
        const Millis timeout = std::min(CHUNK_TIMEOUT, timeLeft(answer));
        auto chunk = answer.rest->receiveFor<wire::BodyChunkT>(answer.request, timeout, yield);
        digest.add(chunk.body.data(), chunk.body.size());
        last = chunk.last;
        if (last && digest.value() != chunk.digest) {
            throw BadFrame("a streamed answer does not match its digest: check the link between the daemons");
        }
        writePart(caller, answer.hold, head, serializer, chunk.body, last, yield);
    }
}

void resetConnection(beast::tcp_stream &caller)
{
    ErrorCode ignored;
    caller.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    caller.socket().close(ignored);
}

} // namespace mustardpond
