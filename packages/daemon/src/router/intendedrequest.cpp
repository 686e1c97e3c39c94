#include "intendedrequest.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

std::optional<IntendedRequest> parseIntendedRequest(const std::vector<std::uint8_t> &body)
{
    try {
        const auto document = nlohmann::json::parse(body.begin(), body.end());
        return IntendedRequest{document.at("path").get<std::string>(), document.value("method", "POST")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace mustardpond
