/// The kinds of objects that operators write, with their checks.
#pragma once

#include "config/objectstore.h"
#include "decision/refusal.h"
#include "decision/workclass.h"
#include "foundation/enumtable.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

enum class ObjectKind : std::uint8_t { WorkClass, Service, Route, Director, Refusal, Node, Crash };

constexpr EnumTable<ObjectKind, 7> OBJECT_KIND_NAMES = {{
    {ObjectKind::WorkClass, "class"},
    {ObjectKind::Service, "service"},
    {ObjectKind::Route, "route"},
    {ObjectKind::Director, "director"},
    {ObjectKind::Refusal, "refusal"},
    {ObjectKind::Node, "node"},
    {ObjectKind::Crash, "crash"},
}};

/// A service and the share of its capacity that ejections must leave in use.
struct ServiceObject {
    std::string name;
    double floor = 0.5;
    std::string director; ///< who is asked to approve refusals
};

/// Requests whose path starts with the prefix, at a segment boundary, belong to the class at the service.
struct RouteObject {
    std::string name;
    std::string prefix;
    std::vector<std::string> methods; ///< empty for all
    std::string service;
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
};

/// A request that was running when an upstream crashed. Daemons pass these on; the platform does not hold them.
struct CrashObject {
    std::uint64_t fingerprint = 0;
};

/// Parsing throws InvalidDocument or InvalidField.
WorkClass parseWorkClass(const StoredObject &object);
ServiceObject parseService(const StoredObject &object);
RouteObject parseRoute(const StoredObject &object);
DirectorObject parseDirector(const StoredObject &object);
RefusalObject parseRefusal(const StoredObject &object);
NodeObject parseNode(const StoredObject &object);
CrashObject parseCrash(const StoredObject &object);
/// A crash as an object whose name nobody else uses.
StoredObject crashObject(std::uint64_t fingerprint, const std::string &uniqueName);

/// The JSON text of a refusal.
std::string toJsonText(const RefusalObject &refusal);

/// Checks an object of any kind before it is accepted. Throws InvalidDocument or InvalidField.
void checkObject(const StoredObject &object);

} // namespace mustardpond
