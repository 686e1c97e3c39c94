/// Shows operators how organisations share the slots of this host's upstreams.
#pragma once

#include "upstreamregistry.h"

#include <nlohmann/json_fwd.hpp>

namespace mustardpond {

/// Returns, by upstream, the organisations with waiting requests: weight, waiting, and what was granted since they
/// began to wait. Empty when no request of an organisation waits.
nlohmann::json slotSharesJson(const UpstreamRegistry &registry);

} // namespace mustardpond
