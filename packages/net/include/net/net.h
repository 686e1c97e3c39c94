/// Namespace and type aliases for the networking libraries.
#pragma once

#include "foundation/clock.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <limits>

namespace mustardpond {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Yield = asio::yield_context;
using ErrorCode = boost::system::error_code;

/// For parsers whose users limit the body themselves. Beast in Boost 1.74 rejects every body if the limit is empty.
constexpr std::uint64_t UNLIMITED_BYTES = std::numeric_limits<std::uint64_t>::max();

inline std::chrono::steady_clock::duration toDuration(Millis time)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(time.value));
}

} // namespace mustardpond
