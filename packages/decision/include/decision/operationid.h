/// Identity of an operation that may run at most once.
#pragma once

#include "foundation/random.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardpond {

/// One start of a daemon. Random, since hosts keep nothing and addresses are reused.
struct Incarnation {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
};

/// As 32 hexadecimal digits.
std::string toString(const Incarnation &incarnation);

bool operator==(const Incarnation &a, const Incarnation &b);
bool operator!=(const Incarnation &a, const Incarnation &b);
bool operator<(const Incarnation &a, const Incarnation &b);
Incarnation newIncarnation(Random &random);

/// Names the only incarnation that may ever run the operation.
struct OperationId {
    Incarnation gate;
    std::uint64_t number = 0;
};

bool operator==(const OperationId &a, const OperationId &b);
/// Three hexadecimal numbers joined by "-".
std::string toString(const OperationId &id);
/// The id in the text, if the text is one exactly.
std::optional<OperationId> parseOperationId(const std::string &text);

} // namespace mustardpond
