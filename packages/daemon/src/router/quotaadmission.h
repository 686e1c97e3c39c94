/// Applies organisations' quotas to the requests of callers.
#pragma once

#include "dispatch.h"
#include "quotaclient.h"

#include <optional>

namespace mustardpond {

/// Takes a token for a request whose organisation has a limit. Returns the result of a request that must not run;
/// nothing if it may.
std::optional<DispatchResult> refuseByQuota(QuotaClient *quota, const CallerRequest &request, const Yield &yield);

/// Returns the token of a request that has not run.
void settleQuota(QuotaClient *quota, const CallerRequest &request, const DispatchResult &result);

} // namespace mustardpond
