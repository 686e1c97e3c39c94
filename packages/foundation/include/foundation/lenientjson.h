/// Parsing of JSON documents that hold entries of several writers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <exception>
#include <string>

namespace mustardpond {

/// Depth of nesting up to which JSON text is read. Code that walks a document recursively, as dump() does, needs a
/// bound, since coroutines have small stacks.
constexpr int MAX_JSON_DEPTH = 64;

/// Returns the message of an error in parsing JSON without text of the parsed document, which might be secret.
std::string messageWithoutText(const std::exception &error);

/// Parses JSON text so that one odd entry costs only itself: values that are nested deeper than MAX_JSON_DEPTH are left
/// out, numbers too large for a double become null, and invalid UTF-8 becomes replacement characters. Throws
/// InvalidDocument with the name of the source if the text is not JSON.
nlohmann::json parseJsonLeniently(const std::string &text, const std::string &source);

} // namespace mustardpond
