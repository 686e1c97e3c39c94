/// Limits retries to a share of recent first attempts.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

struct RetryLimits {
    double share = 0.09; ///< retries allowed per first attempt; with the burst, under a tenth
    double burst = 3; ///< retries that can accumulate
};

/// Token bucket that first attempts fill and retries drain.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits = {})
        : m_limits(limits)
        , m_tokens(limits.burst)
    {
    }

    void onFirstAttempt();
    /// Consumes one retry of the budget. Returns false when none is left.
    bool tryConsumeRetry();
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
