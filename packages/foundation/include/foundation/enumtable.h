/// Tables that give the values of an enumeration their names.
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

/// The name of a value; "unlisted" when the table lacks it.
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

/// The value of a name, if the table has it.
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

/// All names, separated by ", ".
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
