/// Bounds retries to a share of recent first tries.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

struct RetryLimits {
    double share = 0.09; ///< retries allowed per first try; with the burst, under a tenth
    double burst = 3; ///< retries that may be saved up
};

/// A token bucket that first tries fill and retries empty.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits = {})
        : m_limits(limits)
        , m_tokens(limits.burst)
    {
    }

    void onFirstAttempt();
    /// Takes one retry from the budget; false when there is none.
    bool takeRetry();
    bool hasRetry() const
    {
        return m_tokens >= 1;
    }
    void setLimits(RetryLimits limits);

private:
    RetryLimits m_limits;
    double m_tokens;
};

} // namespace mustardpond
