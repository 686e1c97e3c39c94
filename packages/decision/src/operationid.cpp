#include "decision/operationid.h"

#include <fmt/format.h>

#include <charconv>
#include <tuple>

namespace mustardpond {

namespace {

constexpr std::size_t HEX_DIGITS = 16;
constexpr std::size_t TEXT_LENGTH = 3 * HEX_DIGITS + 2;
constexpr int HEX_BASE = 16;

std::optional<std::uint64_t> parseHex(const std::string &text, std::size_t start)
{
    std::uint64_t value = 0;
    const char *first = text.data() + start;
    const auto result = std::from_chars(first, first + HEX_DIGITS, value, HEX_BASE);
    if (result.ec != std::errc() || result.ptr != first + HEX_DIGITS) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string toString(const Incarnation &incarnation)
{
    return fmt::format("{:016x}{:016x}", incarnation.high, incarnation.low);
}

bool operator==(const Incarnation &a, const Incarnation &b)
{
    return a.high == b.high && a.low == b.low;
}

bool operator!=(const Incarnation &a, const Incarnation &b)
{
    return !(a == b);
}

bool operator<(const Incarnation &a, const Incarnation &b)
{
    return std::tie(a.high, a.low) < std::tie(b.high, b.low);
}

Incarnation newIncarnation(Random &random)
{
    Incarnation incarnation;
    incarnation.high = random.next();
    incarnation.low = random.next();
    return incarnation;
}

bool operator==(const OperationId &a, const OperationId &b)
{
    return a.gate == b.gate && a.number == b.number;
}

std::string toString(const OperationId &id)
{
    return fmt::format("{:016x}-{:016x}-{:016x}", id.gate.high, id.gate.low, id.number);
}

std::optional<OperationId> parseOperationId(const std::string &text)
{
    if (text.size() != TEXT_LENGTH || text[HEX_DIGITS] != '-' || text[2 * HEX_DIGITS + 1] != '-') {
        return std::nullopt;
    }
    const auto high = parseHex(text, 0);
    const auto low = parseHex(text, HEX_DIGITS + 1);
    const auto number = parseHex(text, 2 * HEX_DIGITS + 2);
    if (!high || !low || !number) {
        return std::nullopt;
    }
    return OperationId{{*high, *low}, *number};
}

} // namespace mustardpond
