/// Commands that read and change objects in the platform's store.
#pragma once

#include "config/objects.h"
#include "config/objectstore.h"

#include <string>
#include <vector>

namespace mustardpond {

/// Fields to set in one object, as "field=value" texts.
struct FieldChange {
    std::string kind;
    std::string name;
    std::vector<std::string> assignments;
};

/// A director's decision on a refusal.
struct RefusalDecision {
    std::string id;
    std::string director;
    RefusalState state = RefusalState::Approved;
    double minutes = 30; ///< validity of an approval; ignored for a withdrawal
};

// All commands print to standard output and throw the exceptions of ObjectStore and checkObject().

/// Prints one object, or all objects of the kind if the name is empty.
void printObjects(ObjectStore &store, const std::string &kind, const std::string &name, bool json);
/// Sets fields of an object, which is created if it does not exist. Throws Conflict if the object is changed
/// concurrently.
void changeObject(ObjectStore &store, const FieldChange &change);
/// Writes all objects of a file, a JSON list of {kind, name, value}, or none if any of them is invalid.
void applyFile(ObjectStore &store, const std::string &path);
/// Approves or withdraws a refusal. Throws InvalidField if another director is responsible for it.
void updateRefusal(ObjectStore &store, const RefusalDecision &decision);

/// Returns the kind unchanged. Throws InvalidField if it is unknown, listing the kinds that start with the text or,
/// without any, all kinds.
std::string validateKind(const std::string &text);

} // namespace mustardpond
