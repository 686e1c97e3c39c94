/// Tables that map enumeration values to names.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace mustardpond {

template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using EnumTable = std::array<EnumName<Enum>, Size>;

/// Returns the name of a value, or "unlisted" if the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const EnumTable<Enum, Size> &table, Enum value)
{
    for (const auto &entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unlisted";
}

/// Returns the value with a name, or nothing if the table does not contain it.
template <typename Enum, std::size_t Size>
std::optional<Enum> valueOf(const EnumTable<Enum, Size> &table, std::string_view name)
{
    for (const auto &entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

/// Returns all names, separated by ", ".
template <typename Enum, std::size_t Size>
std::string listNames(const EnumTable<Enum, Size> &table)
{
    std::string list;
    for (const auto &entry : table) {
        list += list.empty() ? "" : ", ";
        list += entry.name;
    }
    return list;
}

} // namespace mustardpond
