#include "config/organisationlist.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t MAX_NAME_BYTES = 256;
constexpr std::size_t MAX_KEYS = 200; ///< of an organisation
constexpr NumberRange ORGANISATION_PRIORITY_RANGE{0, 100};
constexpr NumberRange ORGANISATION_RATE_RANGE{0, 1e9};

/// Whether the name arrives unchanged as the value of a header field.
bool isHeaderValue(const std::string &name)
{
    const auto isControl = [](unsigned char character) { return character < 0x20 || character == 0x7f; };
    return !name.empty() && name.size() <= MAX_NAME_BYTES && name.front() != ' ' && name.back() != ' '
        && std::none_of(name.begin(), name.end(), isControl);
}

void readName(const nlohmann::json &document, OrganisationEntry &entry)
{
    const bool hasName = document.contains("name") && document["name"].is_string();
    entry.organisation.name = hasName ? document["name"].get<std::string>() : std::string();
    if (!isHeaderValue(entry.organisation.name)) {
        entry.organisation.name.resize(std::min(entry.organisation.name.size(), MAX_NAME_BYTES));
        entry.problem = "its name cannot stand in a header field: write 1 to 256 bytes without control characters";
    }
}

void readKeys(FieldReader &reader, OrganisationEntry &entry)
{
    if (!reader.has("keys")) {
        return;
    }
    for (const auto &text : reader.list("keys")) {
        const auto hash = text.is_string() ? keyHashFromText(text.get<std::string>()) : std::nullopt;
        if (hash) {
            entry.keys.push_back(*hash);
        } else {
            ++entry.unusableKeys;
        }
    }
    if (entry.keys.size() + entry.unusableKeys > MAX_KEYS) {
        entry.problem = "it has more than 200 keys: remove some";
    }
}

void readLimits(FieldReader &reader, Organisation &organisation)
{
    if (reader.has("priority")) {
        organisation.priority = static_cast<int>(reader.number("priority", ORGANISATION_PRIORITY_RANGE));
    }
    organisation.ratePerSecond = reader.number("ratePerSecond", ORGANISATION_RATE_RANGE, 0);
    organisation.burst = reader.number("burst", ORGANISATION_RATE_RANGE, 0);
}

OrganisationEntry entryFrom(const nlohmann::json &document)
{
    OrganisationEntry entry;
    if (!document.is_object()) {
        entry.problem = "its entry is not a JSON object";
        return entry;
    }
    FieldReader reader(document, "");
    try {
        readName(document, entry);
        readKeys(reader, entry);
        readLimits(reader, entry.organisation);
    } catch (const InvalidField &error) {
        // The message of the error is not used, since it quotes the value, which might contain a key.
        entry.problem = "the value of '" + error.field() + "' is invalid";
    }
    return entry;
}

} // namespace

OrganisationList organisationListFrom(FieldReader reader)
{
    OrganisationList list;
    const auto salt = saltFromText(reader.text("salt"));
    if (!salt) {
        reader.fail("salt", "write 16 bytes in Base64 for URLs, without padding");
    }
    list.salt = *salt;
    for (const auto &document : reader.list("entries")) {
        list.entries.push_back(entryFrom(document));
    }
    reader.rejectUnknownFields();
    return list;
}

} // namespace mustardpond
