#include "decision/quotaaccount.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr Millis DEMAND_TIME_CONSTANT{250}; ///< with 500 ms, donors kept the demand that had moved for 3 s
constexpr Millis DEMAND_PERIOD{250}; ///< borrowed for, and reserved for the own callers by a donor
constexpr Millis RETENTION{10000}; ///< of an account that is not used

} // namespace

void DemandMeter::add(double requests, Millis now)
{
    m_weight = m_weight * std::exp(-((now - m_updatedAt) / DEMAND_TIME_CONSTANT)) + requests;
    m_updatedAt = now;
}

double DemandMeter::expected(Millis time, Millis now) const
{
    return m_weight * std::exp(-((now - m_updatedAt) / DEMAND_TIME_CONSTANT)) * (time / DEMAND_TIME_CONSTANT);
}

void QuotaAccount::addDemand(unsigned count, Millis now)
{
    m_demand.add(count, now);
    m_usedAt = now;
}

unsigned QuotaAccount::take(unsigned count, Millis now)
{
    m_usedAt = now;
    return m_bucket.take(count, now);
}

double QuotaAccount::wantedLoan(unsigned waiting, Millis now) const
{
    const double missing = std::max(1.0, static_cast<double>(waiting)) - m_bucket.level(now);
    return std::max(missing, m_demand.expected(DEMAND_PERIOD, now));
}

void QuotaAccount::deposit(double tokens, unsigned waiting, Millis now)
{
    m_loans.add(tokens, now);
    m_bucket.deposit(tokens, waiting, now);
}

double QuotaAccount::lend(double wanted, Millis now)
{
    m_usedAt = now;
    return m_bucket.lend(wanted, m_demand.expected(DEMAND_PERIOD, now), now);
}

Millis QuotaAccount::creditAfter(Millis longest, Millis now)
{
    const double incomePerMs = m_bucket.share().refillPerMs + m_loans.expected(Millis(1), now);
    if (incomePerMs <= 0) {
        return longest;
    }
    const double missing = std::max(0.0, 1 - m_bucket.level(now));
    const Millis first = now + Millis(missing / incomePerMs);
    const Millis next = m_creditUntil + Millis(1 / incomePerMs);
    m_creditUntil = std::min(std::max(first, next), now + longest);
    return m_creditUntil - now;
}

bool QuotaAccount::isForgettable(Millis now) const
{
    const QuotaShare &share = m_bucket.share();
    const bool refilled = share.refillPerMs <= 0 || m_bucket.level(now) >= share.capacity;
    return refilled && now - m_usedAt > RETENTION;
}

} // namespace mustardpond
