#include "callerbody.h"

#include "foundation/bytes.h"
#include "net/bodybuffer.h"

namespace mustardpond {

namespace {

constexpr std::size_t PIECE_BYTES = 64 * KIB;

} // namespace

bool CallerBody::next(std::vector<std::uint8_t> &piece, const Yield &yield)
{
    reserveForBody(m_buffer, m_parser, PIECE_BYTES);
    piece.resize(PIECE_BYTES);
    auto &body = m_parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    m_stream.expires_after(toDuration(m_idleTimeout));
    while (body.size == piece.size() && !m_parser.is_done()) {
        ErrorCode error;
        http::async_read_some(m_stream, m_buffer, m_parser, yield[error]);
        if (error && error != http::error::need_buffer) {
            throw boost::system::system_error(error);
        }
    }
    piece.resize(piece.size() - body.size);
    return !m_parser.is_done();
}

} // namespace mustardpond
