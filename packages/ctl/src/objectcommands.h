/// Commands that read and change objects of the platform.
#pragma once

#include "config/objects.h"
#include "config/objectstore.h"

#include <string>
#include <vector>

namespace mustardpond {

/// A change of one object's fields, as "field=value" texts.
struct FieldChange {
    std::string kind;
    std::string name;
    std::vector<std::string> assignments;
};

/// A director's word on a refusal.
struct RefusalDecision {
    std::string id;
    std::string director;
    RefusalState state = RefusalState::Approved;
    double minutes = 30; ///< how long an approval lasts
};

/// All print to standard output. They throw the exceptions of ObjectStore and of the checks.
void printObjects(ObjectStore &store, const std::string &kind, const std::string &name, bool json);
/// Reads the object, changes fields, checks the result, and writes it if nobody else has meanwhile.
void changeObject(ObjectStore &store, const FieldChange &change);
/// Writes all objects of a file, a JSON list of {kind, name, value}; none when any of them is invalid.
void applyFile(ObjectStore &store, const std::string &path);
void decideRefusal(ObjectStore &store, const RefusalDecision &decision);

/// The kind, or InvalidField that lists the choices which start like the text.
std::string completeKind(const std::string &text);

} // namespace mustardpond
