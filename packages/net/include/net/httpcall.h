/// A single blocking HTTP call with a time limit.
#pragma once

#include "config/daemonsettings.h"

#include <string>

namespace mustardpond {

struct HttpReply {
    unsigned status = 0;
    std::string body;
};

struct HttpCall {
    Endpoint endpoint;
    std::string method;
    std::string target;
    std::string body;
};

/// Throws boost::system::system_error when no whole reply arrives within the time.
HttpReply callHttp(const HttpCall &call, Millis timeout);

} // namespace mustardpond
