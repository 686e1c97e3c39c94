/// Validated access to the fields of a JSON object. Errors name the field, its value and the remedy.
#pragma once

#include "foundation/enumtable.h"
#include "foundation/errors.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// Bounds of a number, both inclusive.
struct NumberRange {
    double min;
    double max;
};

/// Reads one JSON object. Reading methods throw InvalidField for an invalid value, or a missing one without fallback.
class FieldReader
{
public:
    /// @param path the object's path in its document; empty for the root
    FieldReader(const nlohmann::json &object, std::string path);

    bool has(const std::string &name) const;
    /// Returns a string of at least one character.
    std::string text(const std::string &name);
    std::string text(const std::string &name, const std::string &fallback);
    double number(const std::string &name, NumberRange range);
    double number(const std::string &name, NumberRange range, double fallback);
    bool flag(const std::string &name, bool fallback);
    std::vector<std::string> texts(const std::string &name);
    FieldReader object(const std::string &name);
    /// Returns a list with values of any type.
    const nlohmann::json &list(const std::string &name);
    /// Returns the entries of an object whose field names are not fixed.
    nlohmann::json::object_t entries(const std::string &name);

    template <typename Enum, std::size_t Size>
    Enum choice(const std::string &name, const EnumTable<Enum, Size> &table)
    {
        const std::string found = text(name);
        if (auto value = valueOf(table, found)) {
            return *value;
        }
        fail(name, "write one of " + listNames(table));
    }

    /// Throws InvalidField for the first field that no reading method was called for.
    void rejectUnknownFields() const;

    /// Throws InvalidField for the field.
    [[noreturn]] void fail(const std::string &name, const std::string &remedy) const;

private:
    std::string pathOf(const std::string &name) const;
    const nlohmann::json &require(const std::string &name, const std::string &remedy);

    const nlohmann::json &m_object;
    std::string m_path;
    std::set<std::string> m_knownFields;
};

/// Parses JSON text. Throws InvalidDocument with the name of the source.
nlohmann::json parseJson(const std::string &text, const std::string &source);
/// Throws InvalidDocument if the file cannot be read.
std::string readTextFile(const std::string &path);
/// Reads and parses a file. Throws InvalidDocument.
nlohmann::json readJsonFile(const std::string &path);

} // namespace mustardpond
