#include "decision/retrybudget.h"

#include <algorithm>

namespace mustardpond {

void RetryBudget::onFirstAttempt()
{
    m_tokens = std::min(m_limits.burst, m_tokens + m_limits.share);
}

void RetryBudget::setLimits(RetryLimits limits)
{
    m_limits = limits;
    m_tokens = std::min(m_tokens, limits.burst);
}

bool RetryBudget::tryConsumeRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace mustardpond
