/// What a caller is told whose request could not be read.
#pragma once

#include "bodybudget.h"

#include <optional>
#include <string>

namespace mustardpond {

/// Such a request has not run and never will.
struct InputProblem {
    http::status status = http::status::bad_request;
    std::string detail; ///< what is wrong, with a remedy
    Millis retryAfter; ///< sent with 503 only
};

/// Returns nothing if the caller is not to be answered: it has left, or never began a request.
std::optional<InputProblem> problemOfHead(ErrorCode error, const BodyHold &hold, bool hasBegun);
InputProblem problemOfBody(ErrorCode error, const BodyHold &hold);

} // namespace mustardpond
