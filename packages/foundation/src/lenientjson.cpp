#include "foundation/lenientjson.h"

#include "foundation/errors.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdlib>

namespace mustardpond {

namespace {

constexpr const char NUMBER_CHARACTERS[] = "+-.0123456789Ee";

nlohmann::json parseWithoutDeepValues(const std::string &text)
{
    using Event = nlohmann::json::parse_event_t;
    return nlohmann::json::parse(text, [](int depth, Event event, const nlohmann::json & /*value*/) {
        const bool starts = event == Event::object_start || event == Event::array_start;
        return !starts || depth < MAX_JSON_DEPTH;
    });
}

std::string withoutInvalidUtf8(const std::string &text)
{
    const auto quoted = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return nlohmann::json::parse(quoted).get<std::string>();
}

bool isTooLarge(const std::string &number)
{
    return std::isinf(std::strtod(number.c_str(), nullptr));
}

/// Returns the position after the string that starts at the quote.
std::size_t endOfString(const std::string &text, std::size_t quote)
{
    std::size_t at = quote + 1;
    while (at < text.size() && text[at] != '"') {
        at += text[at] == '\\' ? 2 : 1;
    }
    return std::min(at + 1, text.size());
}

/// Replaces numbers that are too large for a double by null.
std::string withoutLargeNumbers(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size();) {
        std::size_t end = at + 1;
        if (text[at] == '"') {
            end = endOfString(text, at);
        } else if (text[at] == '-' || (text[at] >= '0' && text[at] <= '9')) {
            end = std::min(text.find_first_not_of(NUMBER_CHARACTERS, at), text.size());
        }
        const std::string token = text.substr(at, end - at);
        const bool isNumber = text[at] != '"' && token.size() > 1;
        result += isNumber && isTooLarge(token) ? "null" : token;
        at = end;
    }
    return result;
}

} // namespace

std::string messageWithoutText(const std::exception &error)
{
    // The message of a parse error quotes the text from "; last read" on, and that of an overflow quotes the number.
    const bool isParseError = dynamic_cast<const nlohmann::json::parse_error *>(&error) != nullptr;
    const std::string message = error.what();
    return isParseError ? message.substr(0, message.find("; last read")) : "a value is out of range";
}

nlohmann::json parseJsonLeniently(const std::string &text, const std::string &source)
{
    try {
        return parseWithoutDeepValues(text);
    } catch (const nlohmann::json::exception &) {
        // Either an odd entry, which is repaired below, or no JSON at all.
    }
    try {
        return parseWithoutDeepValues(withoutLargeNumbers(withoutInvalidUtf8(text)));
    } catch (const nlohmann::json::exception &error) {
        throw InvalidDocument(fmt::format(ErrorMsg::INVALID_DOCUMENT, source, messageWithoutText(error)));
    }
}

} // namespace mustardpond
