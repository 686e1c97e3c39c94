#include "decision/retrybudget.h"

#include <algorithm>

namespace mustardpond {

void RetryBudget::onFirstTry()
{
    m_tokens = std::min(m_limits.burst, m_tokens + m_limits.share);
}

bool RetryBudget::takeRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace mustardpond
