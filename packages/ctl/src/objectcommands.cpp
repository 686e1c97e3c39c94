#include "objectcommands.h"

#include "foundation/clock.h"
#include "foundation/errors.h"
#include "foundation/fieldreader.h"

#include <fmt/format.h>

#include <iostream>

namespace mustardpond {

namespace {

constexpr double MS_PER_MINUTE = 60000;

nlohmann::json parseValue(const std::string &text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json(text) : parsed;
}

void setField(nlohmann::json &document, const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0) {
        throw InvalidField("assignment", '"' + assignment + '"', "write field=value");
    }
    document[assignment.substr(0, equals)] = parseValue(assignment.substr(equals + 1));
}

std::uint64_t currentVersion(ObjectStore &store, const StoredObject &object)
{
    try {
        return store.read(object.kind, object.name).version.revision;
    } catch (const Exception &error) {
        if (error.kind() == ErrorKind::NotFound) {
            return 0;
        }
        throw;
    }
}

/// Returns the version of the stored object if it has exactly this value; 0 if not, or if the store does not answer.
std::uint64_t findWrittenVersion(ObjectStore &store, const StoredObject &object)
{
    try {
        const StoredObject stored = store.read(object.kind, object.name);
        return stored.value == object.value ? stored.version.revision : 0;
    } catch (const Exception &) {
        return 0;
    }
}

/// Writes the object. If no answer arrives, reads the object back to find out whether the write has taken effect.
std::uint64_t writeAndVerify(ObjectStore &store, const StoredObject &object, std::uint64_t expected)
{
    try {
        return store.write(object, expected);
    } catch (const StoreOutage &) {
        const std::uint64_t writtenVersion = findWrittenVersion(store, object);
        if (writtenVersion <= expected) {
            throw;
        }
        return writtenVersion;
    }
}

void printObject(const StoredObject &object, bool json)
{
    if (json) {
        std::cout << nlohmann::json({{"kind", object.kind},
                                     {"name", object.name},
                                     {"version", object.version.revision},
                                     {"value", nlohmann::json::parse(object.value, nullptr, false)}})
                         .dump()
                  << "\n";
        return;
    }
    std::cout << fmt::format("{:<10} {:<28} v{:<6} {}\n", object.kind, object.name, object.version.revision,
                             object.value);
}

} // namespace

std::string validateKind(const std::string &text)
{
    if (valueOf(OBJECT_KIND_NAMES, text)) {
        return text;
    }
    std::string matches;
    for (const auto &entry : OBJECT_KIND_NAMES) {
        if (entry.name.substr(0, text.size()) == text) {
            matches += matches.empty() ? "" : ", ";
            matches += entry.name;
        }
    }
    const std::string list = matches.empty() ? listNames(OBJECT_KIND_NAMES) : matches;
    throw InvalidField("kind", '"' + text + '"', "write one of " + list);
}

void printObjects(ObjectStore &store, const std::string &kind, const std::string &name, bool json)
{
    if (!name.empty()) {
        return printObject(store.read(kind, name), json);
    }
    for (const StoredObject &object : store.list().objects) {
        if (object.kind == kind && !object.deleted) {
            printObject(object, json);
        }
    }
}

void changeObject(ObjectStore &store, const FieldChange &change)
{
    StoredObject object{change.kind, change.name, 0, false, "{}"};
    try {
        object = store.read(change.kind, change.name);
    } catch (const Exception &error) {
        if (error.kind() != ErrorKind::NotFound) {
            throw;
        }
    }
    auto document = parseJson(object.value, change.kind + "/" + change.name);
    for (const std::string &assignment : change.assignments) {
        setField(document, assignment);
    }
    object.value = document.dump();
    checkObject(object);
    const auto version = writeAndVerify(store, object, object.version.revision);
    std::cout << fmt::format("{}/{} is at version {}\n", object.kind, object.name, version);
}

void applyFile(ObjectStore &store, const std::string &path)
{
    std::vector<StoredObject> objects;
    for (const auto &entry : readJsonFile(path)) {
        FieldReader reader(entry, "");
        StoredObject object;
        object.kind = reader.text("kind");
        object.name = reader.text("name");
        object.value = entry.at("value").dump();
        checkObject(object);
        objects.push_back(object);
    }
    for (const StoredObject &object : objects) {
        writeAndVerify(store, object, currentVersion(store, object));
    }
    std::cout << fmt::format("{} objects written\n", objects.size());
}

void updateRefusal(ObjectStore &store, const RefusalDecision &decision)
{
    const std::string kind(nameOf(OBJECT_KIND_NAMES, ObjectKind::Refusal));
    StoredObject object = store.read(kind, decision.id);
    RefusalObject refusal = parseRefusal(object);
    if (refusal.terms.director != decision.director) {
        throw InvalidField("director", '"' + decision.director + '"',
                           "only " + refusal.terms.director + " can decide on this refusal");
    }
    refusal.state = decision.state;
    if (decision.state == RefusalState::Approved) {
        refusal.terms.expires = wallClockNow() + Millis(decision.minutes * MS_PER_MINUTE);
    }
    object.value = toJsonText(refusal);
    const auto version = writeAndVerify(store, object, object.version.revision);
    std::cout << fmt::format("{} is {} (version {})\n", decision.id, nameOf(REFUSAL_STATE_NAMES, decision.state),
                             version);
}

} // namespace mustardpond
