#include "inputproblem.h"

namespace mustardpond {

namespace {

constexpr Millis RETRY_AFTER{1000};

std::optional<InputProblem> problemOfMemory(ErrorCode error, const BodyHold &hold)
{
    if (hold.isEvicted()) {
        return InputProblem{http::status::request_timeout,
                            "the request did not arrive in time, and others need its room: send it faster",
                            RETRY_AFTER};
    }
    if (error == asio::error::no_buffer_space) {
        return InputProblem{http::status::service_unavailable,
                            "the router has no memory for the request: send it again", hold.retryAfter()};
    }
    return std::nullopt;
}

} // namespace

std::optional<InputProblem> problemOfHead(ErrorCode error, const BodyHold &hold, bool hasBegun)
{
    if (auto problem = problemOfMemory(error, hold)) {
        return problem;
    }
    if (error == http::error::end_of_stream) {
        return std::nullopt;
    }
    if (error == http::error::header_limit) {
        return InputProblem{http::status::request_header_fields_too_large,
                            "the head of the request is too large: send fewer or shorter header fields", RETRY_AFTER};
    }
    if (error == beast::error::timeout) {
        if (!hasBegun) {
            return std::nullopt;
        }
        return InputProblem{http::status::request_timeout, "the request did not arrive in time: send it faster",
                            RETRY_AFTER};
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        return InputProblem{http::status::bad_request,
                            "not a valid HTTP/1.1 request (" + error.message() + "): correct it", RETRY_AFTER};
    }
    return std::nullopt;
}

InputProblem problemOfBody(ErrorCode error, const BodyHold &hold)
{
    if (const auto problem = problemOfMemory(error, hold)) {
        return *problem;
    }
    if (error == http::error::body_limit) {
        return {http::status::payload_too_large, "the body is too large: send a smaller one", RETRY_AFTER};
    }
    if (error == beast::error::timeout) {
        return {http::status::request_timeout, "the body did not arrive in time: send it faster", RETRY_AFTER};
    }
    return {http::status::bad_request, "the body is incomplete (" + error.message() + "): send it whole", RETRY_AFTER};
}

} // namespace mustardpond
