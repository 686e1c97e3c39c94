/// The request that an operation is opened for.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

struct IntendedRequest {
    std::string path;
    std::string method;
};

/// Parses the body of a request that opens an operation. Returns nothing if it is malformed.
std::optional<IntendedRequest> parseIntendedRequest(const std::vector<std::uint8_t> &body);

} // namespace mustardpond
