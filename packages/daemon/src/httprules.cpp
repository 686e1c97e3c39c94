#include "httprules.h"

namespace mustardpond {

namespace {

constexpr unsigned SERVER_ERROR = 500;
constexpr unsigned SERVICE_UNAVAILABLE = 503;
constexpr unsigned GATEWAY_TIMEOUT = 504; ///< the deadline passed, perhaps because of a long wait before the run

} // namespace

bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

AttemptResult resultOfStatus(unsigned status)
{
    if (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT) {
        return AttemptResult::Unjudged;
    }
    return isServerError(status) ? AttemptResult::Failed : AttemptResult::Answered;
}

bool isServerError(unsigned status)
{
    return status >= SERVER_ERROR;
}

} // namespace mustardpond
