#include "foundation/fieldreader.h"

#include "foundation/lenientjson.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace mustardpond {

namespace {

constexpr std::size_t MAX_QUOTED_BYTES = 200; ///< of a value in an error message

bool isUtf8Continuation(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

std::string quoted(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() <= MAX_QUOTED_BYTES) {
        return text;
    }
    std::size_t end = MAX_QUOTED_BYTES;
    while (end > 0 && isUtf8Continuation(text[end])) {
        --end;
    }
    return text.substr(0, end) + "...";
}

} // namespace

FieldReader::FieldReader(const nlohmann::json &object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!m_object.is_object()) {
        throw InvalidField(m_path.empty() ? "(document)" : m_path, quoted(m_object), "write a JSON object here");
    }
}

bool FieldReader::has(const std::string &name) const
{
    return m_object.contains(name);
}

std::string FieldReader::text(const std::string &name)
{
    const std::string remedy = "write a text of at least one character";
    const auto &value = require(name, remedy);
    if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
        fail(name, remedy);
    }
    return value.get<std::string>();
}

std::string FieldReader::text(const std::string &name, const std::string &fallback)
{
    m_knownFields.insert(name);
    return has(name) ? text(name) : fallback;
}

double FieldReader::number(const std::string &name, NumberRange range)
{
    const std::string remedy = fmt::format("write a number from {} to {}", range.min, range.max);
    const auto &value = require(name, remedy);
    if (!value.is_number()) {
        fail(name, remedy);
    }
    const double result = value.get<double>();
    if (result < range.min || result > range.max) {
        fail(name, remedy);
    }
    return result;
}

double FieldReader::number(const std::string &name, NumberRange range, double fallback)
{
    m_knownFields.insert(name);
    return has(name) ? number(name, range) : fallback;
}

bool FieldReader::flag(const std::string &name, bool fallback)
{
    m_knownFields.insert(name);
    if (!has(name)) {
        return fallback;
    }
    if (!m_object[name].is_boolean()) {
        fail(name, "write true or false");
    }
    return m_object[name].get<bool>();
}

std::vector<std::string> FieldReader::texts(const std::string &name)
{
    m_knownFields.insert(name);
    std::vector<std::string> list;
    if (!has(name)) {
        return list;
    }
    if (!m_object[name].is_array()) {
        fail(name, "write a list of texts");
    }
    for (const auto &entry : m_object[name]) {
        if (!entry.is_string() || entry.get_ref<const std::string &>().empty()) {
            fail(name, "write a list of texts, none of them empty");
        }
        list.push_back(entry.get<std::string>());
    }
    return list;
}

FieldReader FieldReader::object(const std::string &name)
{
    const auto &value = require(name, "write a JSON object here");
    return {value, pathOf(name)};
}

const nlohmann::json &FieldReader::list(const std::string &name)
{
    const std::string remedy = "write a list";
    const auto &value = require(name, remedy);
    if (!value.is_array()) {
        fail(name, remedy);
    }
    return value;
}

nlohmann::json::object_t FieldReader::entries(const std::string &name)
{
    const std::string remedy = "write a JSON object here";
    const auto &value = require(name, remedy);
    if (!value.is_object()) {
        fail(name, remedy);
    }
    return value.get<nlohmann::json::object_t>();
}

void FieldReader::rejectUnknownFields() const
{
    for (const auto &[name, value] : m_object.items()) {
        if (m_knownFields.count(name) == 0) {
            std::string knownNames;
            for (const std::string &entry : m_knownFields) {
                knownNames += knownNames.empty() ? entry : ", " + entry;
            }
            fail(name, "remove it; the fields known here are " + knownNames);
        }
    }
}

void FieldReader::fail(const std::string &name, const std::string &remedy) const
{
    throw InvalidField(pathOf(name), has(name) ? quoted(m_object[name]) : "missing", remedy);
}

std::string FieldReader::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

const nlohmann::json &FieldReader::require(const std::string &name, const std::string &remedy)
{
    m_knownFields.insert(name);
    if (!has(name)) {
        fail(name, remedy);
    }
    return m_object[name];
}

nlohmann::json parseJson(const std::string &text, const std::string &source)
{
    const auto checkDepth = [&source](int depth, nlohmann::json::parse_event_t, const nlohmann::json &) {
        if (depth > MAX_JSON_DEPTH) {
            throw InvalidDocument(fmt::format(ErrorMsg::DOCUMENT_TOO_DEEP, source, MAX_JSON_DEPTH));
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text, checkDepth);
    } catch (const nlohmann::json::exception &error) {
        throw InvalidDocument(fmt::format(ErrorMsg::INVALID_DOCUMENT, source, error.what()));
    }
}

std::string readTextFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw InvalidDocument(fmt::format(ErrorMsg::FILE_UNREADABLE, path));
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

nlohmann::json readJsonFile(const std::string &path)
{
    return parseJson(readTextFile(path), path);
}

} // namespace mustardpond
