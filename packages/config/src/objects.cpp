#include "config/objects.h"

#include "config/daemonsettings.h"

#include "foundation/fieldreader.h"

#include <charconv>

namespace mustardpond {

namespace {

constexpr NumberRange LATENCY_TARGET_RANGE_MS{1, 600000};
constexpr NumberRange DEADLINE_RANGE_MS{10, 3600000};
constexpr NumberRange SUCCESS_TARGET_RANGE{0.5, 0.999999};
constexpr NumberRange FRACTION_RANGE{0, 1};
constexpr NumberRange WALL_CLOCK_RANGE_MS{0, 1e15};
constexpr NumberRange PRIORITY_RANGE{0, 100};
constexpr NumberRange ATTEMPTS_RANGE{0, 1000};
constexpr NumberRange WEIGHT_RANGE{0, 1e9};
constexpr NumberRange BYTES_RANGE{1, 1e15};
constexpr NumberRange TIMEOUT_RANGE_MS{1, 86400000};

nlohmann::json documentOf(const StoredObject &object)
{
    return parseJson(object.value, object.kind + "/" + object.name);
}

std::vector<RoutePart> partsFrom(FieldReader &reader)
{
    if (!reader.has("parts")) {
        return {{reader.text("service"), 1}};
    }
    std::vector<RoutePart> parts;
    double total = 0;
    for (const auto &entry : reader.list("parts")) {
        FieldReader part(entry, "parts");
        parts.push_back({part.text("service"), part.number("weight", WEIGHT_RANGE)});
        total += parts.back().weight;
        part.rejectUnknownFields();
    }
    if (total <= 0) {
        reader.fail("parts", "give at least one part a weight above 0");
    }
    return parts;
}

CallerLimits callerLimitsFrom(FieldReader reader)
{
    CallerLimits limits;
    limits.headBytes = static_cast<std::size_t>(reader.number("headBytes", BYTES_RANGE));
    limits.bodyBytes = static_cast<std::uint64_t>(reader.number("bodyBytes", BYTES_RANGE));
    limits.headTimeout = Millis(reader.number("headTimeMs", TIMEOUT_RANGE_MS));
    limits.idleTimeout = Millis(reader.number("idleTimeMs", TIMEOUT_RANGE_MS));
    reader.rejectUnknownFields();
    return limits;
}

} // namespace

WorkClass parseWorkClass(const StoredObject &object)
{
    return parseWorkClass(object.name, documentOf(object));
}

WorkClass parseWorkClass(const std::string &name, const nlohmann::json &document)
{
    FieldReader reader(document, "");
    WorkClass workClass;
    workClass.name = name;
    workClass.kind = reader.choice("kind", WORK_KIND_NAMES);
    workClass.latencyTarget = Millis(reader.number("latencyTargetMs", LATENCY_TARGET_RANGE_MS));
    workClass.successTarget = reader.number("successTarget", SUCCESS_TARGET_RANGE);
    workClass.deadline = Millis(reader.number("deadlineMs", DEADLINE_RANGE_MS));
    if (workClass.deadline < workClass.latencyTarget) {
        reader.fail("deadlineMs", "write at least the value of latencyTargetMs");
    }
    workClass.priority = static_cast<int>(reader.number("priority", PRIORITY_RANGE, workClass.priority));
    workClass.maxAttempts = static_cast<int>(reader.number("maxAttempts", ATTEMPTS_RANGE, workClass.maxAttempts));
    reader.rejectUnknownFields();
    return workClass;
}

ServiceObject parseService(const StoredObject &object)
{
    return parseService(object.name, documentOf(object));
}

ServiceObject parseService(const std::string &name, const nlohmann::json &document)
{
    FieldReader reader(document, "");
    ServiceObject service;
    service.name = name;
    service.floor = reader.number("floor", FRACTION_RANGE);
    service.director = reader.text("director", "");
    reader.rejectUnknownFields();
    return service;
}

RouteObject parseRoute(const StoredObject &object)
{
    RouteObject route = parseRoute(object.name, documentOf(object));
    if (route.prefix.size() > 1 && route.prefix.back() == '/') {
        route.prefix.pop_back();
    }
    return route;
}

RouteObject parseRoute(const std::string &name, const nlohmann::json &document)
{
    FieldReader reader(document, "");
    RouteObject route;
    route.name = name;
    route.host = reader.text("host", "");
    route.prefix = reader.text("prefix");
    if (route.prefix.front() != '/') {
        reader.fail("prefix", "start it with '/'");
    }
    route.methods = reader.texts("methods");
    route.parts = partsFrom(reader);
    route.workClass = reader.text("class");
    route.keyExempt = reader.flag("keyExempt", false);
    reader.rejectUnknownFields();
    return route;
}

DirectorObject parseDirector(const StoredObject &object)
{
    const nlohmann::json document = documentOf(object);
    FieldReader reader(document, "");
    DirectorObject director;
    director.name = object.name;
    director.contact = reader.text("contact");
    reader.rejectUnknownFields();
    return director;
}

RefusalObject parseRefusal(const StoredObject &object)
{
    const nlohmann::json document = documentOf(object);
    FieldReader reader(document, "");
    RefusalObject refusal;
    refusal.terms.id = object.name;
    refusal.terms.service = reader.text("service");
    refusal.terms.workClass = reader.text("class");
    refusal.terms.region = reader.text("region", "");
    refusal.terms.share = reader.number("share", FRACTION_RANGE);
    refusal.terms.expires = Millis(reader.number("expiresMs", WALL_CLOCK_RANGE_MS));
    refusal.terms.director = reader.text("director");
    refusal.state = reader.choice("state", REFUSAL_STATE_NAMES);
    refusal.reason = reader.text("reason", "");
    reader.rejectUnknownFields();
    return refusal;
}

NodeObject parseNode(const StoredObject &object)
{
    const nlohmann::json document = documentOf(object);
    FieldReader reader(document, "");
    NodeObject node;
    node.name = object.name;
    node.inner = toString(parseEndpoint(reader.text("inner"), "inner"));
    node.dataCentre = reader.text("dataCentre", "");
    return node;
}

BundleObject parseBundle(const StoredObject &object)
{
    const nlohmann::json document = documentOf(object);
    FieldReader reader(document, "");
    BundleObject bundle;
    for (const auto &[name, entry] : reader.entries("classes")) {
        bundle.workClasses.push_back(parseWorkClass(name, entry));
    }
    for (const auto &[name, entry] : reader.entries("services")) {
        bundle.services.push_back(parseService(name, entry));
    }
    for (const auto &[name, entry] : reader.entries("routes")) {
        bundle.routes.push_back(parseRoute(name, entry));
    }
    if (reader.has("callerLimits")) {
        bundle.callerLimits = callerLimitsFrom(reader.object("callerLimits"));
    }
    if (reader.has("organisations")) {
        bundle.organisations = organisationListFrom(reader.object("organisations"));
    }
    reader.rejectUnknownFields();
    return bundle;
}

CrashObject parseCrash(const StoredObject &object)
{
    const nlohmann::json document = documentOf(object);
    FieldReader reader(document, "");
    const std::string text = reader.text("fingerprint");
    CrashObject crash;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), crash.fingerprint);
    if (result.ec != std::errc()) {
        reader.fail("fingerprint", "write a decimal number as text");
    }
    return crash;
}

StoredObject crashObject(std::uint64_t fingerprint, const std::string &uniqueName)
{
    const nlohmann::json document = {{"fingerprint", std::to_string(fingerprint)}};
    return {std::string(nameOf(OBJECT_KIND_NAMES, ObjectKind::Crash)), uniqueName, 1, false, document.dump()};
}

std::string toJsonText(const RefusalObject &refusal)
{
    nlohmann::json document = {
        {"service", refusal.terms.service},   {"class", refusal.terms.workClass},
        {"share", refusal.terms.share},       {"expiresMs", refusal.terms.expires.value},
        {"director", refusal.terms.director}, {"state", nameOf(REFUSAL_STATE_NAMES, refusal.state)},
    };
    if (!refusal.terms.region.empty()) {
        document["region"] = refusal.terms.region;
    }
    if (!refusal.reason.empty()) {
        document["reason"] = refusal.reason;
    }
    return document.dump();
}

void checkObject(const StoredObject &object)
{
    const auto kind = valueOf(OBJECT_KIND_NAMES, object.kind);
    if (!kind) {
        throw InvalidField("kind", object.kind, "write one of " + listNames(OBJECT_KIND_NAMES));
    }
    switch (*kind) {
    case ObjectKind::WorkClass:
        parseWorkClass(object);
        break;
    case ObjectKind::Service:
        parseService(object);
        break;
    case ObjectKind::Route:
        parseRoute(object);
        break;
    case ObjectKind::Director:
        parseDirector(object);
        break;
    case ObjectKind::Refusal:
        parseRefusal(object);
        break;
    case ObjectKind::Node:
        parseNode(object);
        break;
    case ObjectKind::Crash:
        parseCrash(object);
        break;
    case ObjectKind::Bundle:
        parseBundle(object);
        break;
    }
}

} // namespace mustardpond
