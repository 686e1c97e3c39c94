/// The kinds of configuration objects, their parsers and validation.
#pragma once

#include "config/objectstore.h"
#include "config/organisationlist.h"
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

/// A service and its ejection floor: the share of its capacity that ejections must leave in use.
struct ServiceObject {
    std::string name;
    double floor = 0.5;
    std::string director; ///< who is asked to approve refusals; may be empty
};

/// A service that receives a share of a route's requests, proportional to its weight.
struct RoutePart {
    std::string service;
    double weight = 1;
};

/// Assigns requests to services and a class of work by a prefix of their path that ends at a segment boundary.
struct RouteObject {
    std::string name;
    std::string host; ///< empty for any
    std::string prefix;
    std::vector<std::string> methods; ///< empty for any
    std::vector<RoutePart> parts; ///< one or several, which share the requests by weight
    std::string workClass;
    bool keyExempt = false; ///< callers need no key, even if the configuration has organisations
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

/// A node's address, written when it starts so that joining nodes can find it.
struct NodeObject {
    std::string name;
    std::string inner;
    std::string dataCentre; ///< empty if unknown
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits {
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    Millis headTimeout; ///< from the first to the last byte of a request's header
    Millis idleTimeout; ///< between requests
};

/// A complete configuration in one object, which replaces the previous one. Route prefixes that end with a slash match
/// only paths below them.
struct BundleObject {
    std::vector<WorkClass> workClasses;
    std::vector<ServiceObject> services;
    std::vector<RouteObject> routes;
    std::optional<CallerLimits> callerLimits;
    std::optional<OrganisationList> organisations; ///< without it, nobody needs a key
};

/// A request that was running when an upstream crashed. Daemons exchange these objects among themselves; they are not
/// stored on the platform.
struct CrashObject {
    std::uint64_t fingerprint = 0;
};

/// The parsers throw InvalidDocument or InvalidField.
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
/// Returns a crash object under a name that must be unique among all daemons.
StoredObject crashObject(std::uint64_t fingerprint, const std::string &uniqueName);

/// Returns a refusal as JSON text.
std::string toJsonText(const RefusalObject &refusal);

/// Validates an object of any kind. Throws InvalidDocument or InvalidField.
void checkObject(const StoredObject &object);

} // namespace mustardpond
