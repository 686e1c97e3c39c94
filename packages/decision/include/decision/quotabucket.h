/// The token bucket of an organisation's quota in one data centre.
#pragma once

#include "decision/organisation.h"
#include "foundation/clock.h"

namespace mustardpond {

/// How precisely quotas hold, in any window of the given length, and among how many data centres they are divided.
struct QuotaTolerance {
    Millis window{5000};
    double overage = 0; ///< share of the limit by which it may be exceeded
    double slack = 0; ///< requests by which it may be exceeded in addition
    double dataCentres = 1;
};

/// What one data centre may admit of an organisation's requests.
struct QuotaShare {
    double refillPerMs = 0;
    double capacity = 0;
};

/// Returns the share of one data centre. Half of the tolerance is capacity; the other half is left for changes of the
/// lender and for tokens in flight. The capacities of all data centres add up to one token at least, since an
/// organisation without burst could get no request through otherwise.
QuotaShare quotaShareOf(const Organisation &organisation, const QuotaTolerance &tolerance);

/// Admits a bounded number of requests in any window of time: capacity + refill x window. It answers bursts of an
/// organisation's requests at all hosts of a data centre, which the upstreams would get otherwise. Times must not
/// decrease. Not thread-safe.
class QuotaBucket
{
public:
    /// @param emptySince when the bucket counts as empty; it has been refilled since then
    QuotaBucket(QuotaShare share, Millis emptySince, Millis now);

    /// Applies a changed limit. Tokens beyond the new capacity are lost, so that a lowered limit binds at once.
    void setShare(QuotaShare share, Millis now);
    /// Takes whole tokens, as many as there are up to the count. Returns their number.
    unsigned take(unsigned count, Millis now);
    /// Takes tokens and fractions for another data centre, up to the wanted number and without using up the reserve.
    double lend(double wanted, double reserve, Millis now);
    /// Returns tokens of requests that have not run. Capacity still bounds the bucket.
    void giveBack(double tokens, Millis now);
    /// Adds tokens that another data centre has lent. Those that exceed the capacity are lost, except for requests that
    /// wait for them.
    void deposit(double tokens, unsigned waiting, Millis now);

    double level(Millis now) const;
    const QuotaShare &share() const
    {
        return m_share;
    }

private:
    void refill(Millis now);

    QuotaShare m_share;
    double m_level = 0;
    Millis m_updatedAt;
};

} // namespace mustardpond
