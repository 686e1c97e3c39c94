/// The check of the key that a caller's request carries.
#pragma once

#include "config/configsnapshot.h"
#include "dispatch.h"
#include "foundation/enumtable.h"
#include "net/net.h"

namespace mustardpond {

/// Why a request is not let through.
enum class KeyProblem : std::uint8_t { None, Missing, Malformed, Repeated, Unknown, ParentUnknown };

constexpr EnumTable<KeyProblem, 6> KEY_PROBLEM_NAMES = {{
    {KeyProblem::None, "none"},
    {KeyProblem::Missing, "missing"},
    {KeyProblem::Malformed, "malformed"},
    {KeyProblem::Repeated, "repeated"},
    {KeyProblem::Unknown, "unknown"},
    {KeyProblem::ParentUnknown, "parent-unknown"},
}};

/// Finds the organisation of a request by its field "Authorization: Bearer KEY" and sets what depends on it: the
/// organisation and the priority. The request's 'inner', 'mayBeInner' and 'workClass' must be set. Without
/// organisations in the configuration, and for inner calls, which have no key, nothing changes. Returns None if the
/// request is let through.
KeyProblem authenticate(const ConfigSnapshot &config, const RouteObject &route, const http::fields &head,
                        CallerRequest &request);

/// Checks the key again, in a configuration that may be newer than that of authenticate().
KeyProblem checkKeyAgain(const ConfigSnapshot &config, const http::fields &head, const CallerRequest &request);

/// Where the configuration has organisations, removes the caller's key and its own value of the field for the
/// organisation, and adds that field if the request has been authenticated.
void replaceKeyFields(const ConfigSnapshot &config, const std::string &organisationField, CallerRequest &request);

/// Returns what the caller is told, with a remedy. It never contains text of the request.
const char *describe(KeyProblem problem);

} // namespace mustardpond
