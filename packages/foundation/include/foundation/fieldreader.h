/// Checked access to the fields of a JSON object; errors name the field, the value found and the remedy.
#pragma once

#include "foundation/enumtable.h"
#include "foundation/errors.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// Limits of a number, both inclusive.
struct NumberRange {
    double min;
    double max;
};

/// Reads one JSON object. Every reading method throws InvalidField when the value cannot be accepted.
class FieldReader
{
public:
    /// @param path the object's own path in its document, empty for the root
    FieldReader(const nlohmann::json &object, std::string path);

    bool has(const std::string &name) const;
    /// A text of at least one character.
    std::string text(const std::string &name);
    std::string text(const std::string &name, const std::string &fallback);
    double number(const std::string &name, NumberRange range);
    double number(const std::string &name, NumberRange range, double fallback);
    bool flag(const std::string &name, bool fallback);
    std::vector<std::string> texts(const std::string &name);
    FieldReader object(const std::string &name);
    /// A list of any values.
    const nlohmann::json &list(const std::string &name);
    /// The entries of an object whose field names are free.
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

    /// Throws InvalidField for the first field that no reading method has asked for.
    void rejectUnknownFields() const;

    /// Throws InvalidField for the named field.
    [[noreturn]] void fail(const std::string &name, const std::string &remedy) const;

private:
    std::string pathOf(const std::string &name) const;
    const nlohmann::json &require(const std::string &name, const std::string &remedy);

    const nlohmann::json &m_object;
    std::string m_path;
    std::set<std::string> m_known;
};

/// Parses text; throws InvalidDocument naming the source.
nlohmann::json parseJson(const std::string &text, const std::string &source);
/// Throws InvalidDocument.
std::string readTextFile(const std::string &path);
/// Reads and parses a file; throws InvalidDocument.
nlohmann::json readJsonFile(const std::string &path);

} // namespace mustardpond
