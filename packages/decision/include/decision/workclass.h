/// Classes of work and their service-level objectives.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"

#include <cstdint>
#include <string>

namespace mustardpond {

enum class WorkKind : std::uint8_t {
    Idempotent, ///< may be run again without further effect
    Irreversible, ///< must run at most once
    Upload, ///< a large body that must arrive complete; running it again is harmless
};

constexpr EnumTable<WorkKind, 3> WORK_KIND_NAMES = {
    {{WorkKind::Idempotent, "idempotent"}, {WorkKind::Irreversible, "irreversible"}, {WorkKind::Upload, "upload"}}};

/// Service-level objectives and limits that operators set for a class of work.
struct WorkClass {
    std::string name;
    WorkKind kind = WorkKind::Idempotent;
    Millis latencyTarget; ///< within which an answer counts as good
    double successTarget = 0; ///< share of requests that must be good, in [0, 1)
    Millis deadline; ///< time after which the caller gets an answer in any case
    int priority = 1; ///< 0 is the most urgent
    int maxAttempts = 0; ///< upstreams that one request may be sent to; 0 for no limit
};

} // namespace mustardpond
