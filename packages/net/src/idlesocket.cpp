#include "net/idlesocket.h"

namespace mustardpond {

bool isStale(tcp::socket &socket)
{
    ErrorCode error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace mustardpond
