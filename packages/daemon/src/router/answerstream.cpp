#include "answerstream.h"

#include "bodydigest.h"

#include "foundation/errors.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis CHUNK_TIMEOUT{30000};

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

void writePiece(beast::tcp_stream &caller, http::response<http::buffer_body> &head, Serializer &serializer,
                std::vector<std::uint8_t> &piece, bool last, const Yield &yield)
{
    head.body().data = piece.data();
    head.body().size = piece.size();
    head.body().more = !last;
    caller.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
    ErrorCode error;
    http::async_write(caller, serializer, yield[error]);
    if (error && error != http::error::need_buffer) {
        throw boost::system::system_error(error);
    }
}

} // namespace

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
    writePiece(caller, head, serializer, answer.start, false, yield);
    for (bool last = false; !last;) {
        const Millis timeout = std::min(CHUNK_TIMEOUT, timeLeft(answer));
        auto chunk = answer.rest->receiveFor<wire::BodyChunkT>(answer.request, timeout, yield);
        digest.add(chunk.body.data(), chunk.body.size());
        last = chunk.last;
        if (last && digest.value() != chunk.digest) {
            throw BadFrame("a streamed answer does not match its digest: check the link between the daemons");
        }
        writePiece(caller, head, serializer, chunk.body, last, yield);
    }
}

} // namespace mustardpond
