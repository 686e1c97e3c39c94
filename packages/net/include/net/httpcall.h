/// A blocking HTTP client for single requests.
#pragma once

#include "config/daemonsettings.h"
#include "net/net.h"

#include <string>

namespace mustardpond {

struct HttpReply {
    unsigned status = 0;
    std::string body;
    http::fields fields = {};
};

struct HttpCall {
    Endpoint endpoint;
    std::string method;
    std::string target;
    std::string body;
};

/// Sends a request on a new connection. Throws boost::system::system_error if no complete reply arrives within the
/// timeout, or if it is larger than 32 MiB.
HttpReply callHttp(const HttpCall &call, Millis timeout);

} // namespace mustardpond
