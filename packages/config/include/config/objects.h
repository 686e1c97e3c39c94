/// The kinds of objects that operators write, with their checks.
#pragma once

#include "config/objectstore.h"
#include "decision/refusal.h"
#include "decision/workclass.h"
#include "foundation/enumtable.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

enum class ObjectKind : std::uint8_t { WorkClass, Service, Route, Director, Refusal, Node, Crash, Bundle };

constexpr EnumTable<ObjectKind, 8> OBJECT_KIND_NAMES = {{
    {ObjectKind::WorkClass, "class"},
    {ObjectKind::Service, "service"},
    {ObjectKind::Route, "route"},
    {ObjectKind::Director, "director"},
    {ObjectKind::Refusal, "refusal"},
    {ObjectKind::Node, "node"},
    {ObjectKind::Crash, "crash"},
    {ObjectKind::Bundle, "bundle"},
}};

/// A service and the share of its capacity that ejections must leave in use.
struct ServiceObject {
    std::string name;
    double floor = 0.5;
    std::string director; ///< who is asked to approve refusals; may be empty
};

/// A service's share of a route's requests, in proportion to the weights of the other parts.
struct RoutePart {
    std::string service;
    double weight = 1;
};

/// Requests whose path starts with the prefix, at a segment boundary, belong to the class at the service.
struct RouteObject {
    std::string name;
    std::string host; ///< empty for all
    std::string prefix;
    std::vector<std::string> methods; ///< empty for all
    std::vector<RoutePart> parts; ///< one, or several that share the requests by weight
    std::string workClass;
};

struct DirectorObject {
    std::string name;
    std::string contact;
};

enum class RefusalState : std::uint8_t { Requested, Approved, Withdrawn };

constexpr EnumTable<RefusalState, 3> REFUSAL_STATE_NAMES = {{
    {RefusalState::Requested, "requested"},
    {RefusalState::Approved, "approved"},
    {RefusalState::Withdrawn, "withdrawn"},
}};

struct RefusalObject {
    ApprovedRefusal terms;
    RefusalState state = RefusalState::Requested;
    std::string reason;
};

/// A node's address, written at its start so that fresh nodes find it.
struct NodeObject {
    std::string name;
    std::string inner;
    std::string dataCentre; ///< empty when it is not told
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    Millis headTime; ///< from the first byte of a head to its last
    Millis idleTime; ///< between requests
};

/// A whole configuration in one object; it replaces all that was in force before. Route prefixes that end with a slash
/// take only paths below them.
struct BundleObject {
    std::vector<WorkClass> workClasses;
    std::vector<ServiceObject> services;
    std::vector<RouteObject> routes;
    std::optional<CallerLimits> callerLimits;
};

/// A request that was running when an upstream crashed. Daemons pass these on; the platform does not hold them.
struct CrashObject {
    std::uint64_t fingerprint = 0;
};

/// Parsing throws InvalidDocument or InvalidField.
WorkClass parseWorkClass(const StoredObject &object);
WorkClass parseWorkClass(const std::string &name, const nlohmann::json &document);
ServiceObject parseService(const StoredObject &object);
ServiceObject parseService(const std::string &name, const nlohmann::json &document);
RouteObject parseRoute(const StoredObject &object);
RouteObject parseRoute(const std::string &name, const nlohmann::json &document);
DirectorObject parseDirector(const StoredObject &object);
RefusalObject parseRefusal(const StoredObject &object);
NodeObject parseNode(const StoredObject &object);
BundleObject parseBundle(const StoredObject &object);
CrashObject parseCrash(const StoredObject &object);
/// A crash as an object whose name nobody else uses.
StoredObject crashObject(std::uint64_t fingerprint, const std::string &uniqueName);

/// The JSON text of a refusal.
std::string toJsonText(const RefusalObject &refusal);

/// Checks an object of any kind before it is accepted. Throws InvalidDocument or InvalidField.
void checkObject(const StoredObject &object);

} // namespace mustardpond
