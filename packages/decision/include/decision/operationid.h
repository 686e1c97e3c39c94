/// Identity of an operation that may run at most once.
#pragma once

#include "foundation/random.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardpond {

/// Identifies one start of a daemon. It is random, since hosts store nothing and addresses are reused.
struct Incarnation {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

/// Returns 32 hexadecimal digits.
std::string toString(const Incarnation &incarnation);

bool operator==(const Incarnation &a, const Incarnation &b);
bool operator!=(const Incarnation &a, const Incarnation &b);
bool operator<(const Incarnation &a, const Incarnation &b);
Incarnation newIncarnation(Random &random);

/// Identifies an operation and the only incarnation of a gate that may ever run it.
struct OperationId {
    Incarnation gate;
    std::uint64_t number = 0;
};

bool operator==(const OperationId &a, const OperationId &b);
/// Returns three hexadecimal numbers joined by "-".
std::string toString(const OperationId &id);
/// Parses the text form of an id. Returns std::nullopt if the text is anything else or has further characters.
std::optional<OperationId> parseOperationId(const std::string &text);

} // namespace mustardpond
