/// Outcome of a request, and the reason if it was not run.
#pragma once

#include "foundation/enumtable.h"

#include <cstdint>

namespace mustardpond {

/// Whether a request ran. The three cases are distinguished everywhere.
enum class Outcome : std::uint8_t {
    Ran, ///< the upstream ran the request and its answer is known
    NotRun, ///< no byte of the request was or will be written to an upstream
    Unknown, ///< the request may have run
};

constexpr EnumTable<Outcome, 3> OUTCOME_NAMES = {
    {{Outcome::Ran, "ran"}, {Outcome::NotRun, "not-run"}, {Outcome::Unknown, "unknown"}}};

enum class NotRunReason : std::uint8_t {
    None,
    Busy, ///< the upstream's queue is full
    Leaving, ///< the upstream or its host accepts no new work
    NoUpstream, ///< the gate does not serve this upstream
    Closed, ///< the operation was closed before it ran
    Refused, ///< an approved refusal is in force
    Deadline, ///< the caller's deadline passed before the request was dispatched
    Unreachable, ///< no connection to the gate could be made
    Mismatch, ///< the operation was opened for another organisation, service or body
    Quarantined, ///< the request has crashed upstreams before
    Suspect, ///< the gate suspects that its upstream is failing
};

constexpr EnumTable<NotRunReason, 11> NOT_RUN_REASON_NAMES = {{
    {NotRunReason::None, "none"},
    {NotRunReason::Busy, "busy"},
    {NotRunReason::Leaving, "leaving"},
    {NotRunReason::NoUpstream, "no-upstream"},
    {NotRunReason::Closed, "closed"},
    {NotRunReason::Refused, "refused"},
    {NotRunReason::Deadline, "deadline"},
    {NotRunReason::Unreachable, "unreachable"},
    {NotRunReason::Mismatch, "mismatch"},
    {NotRunReason::Quarantined, "quarantined"},
    {NotRunReason::Suspect, "suspect"},
}};

} // namespace mustardpond
