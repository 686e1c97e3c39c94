/// What a lender keeps of one organisation: its bucket, its demand and the callers that were told when to retry.
#pragma once

#include "decision/quotabucket.h"

namespace mustardpond {

/// Measures the rate of requests, weighted towards the last half second, so that a demand that moves to another data
/// centre is seen there within that time.
class DemandMeter
{
public:
    void add(double requests, Millis now);
    /// Returns the requests that are expected within a time.
    double expected(Millis time, Millis now) const;

private:
    double m_weight = 0;
    Millis m_updatedAt;
};

/// Decides what the lender of a data centre grants, borrows and lends. It answers a demand that sits in one data centre
/// while the limit is divided among all: a hot data centre borrows the other shares, and each of the others keeps what
/// its own callers need in the next 250 ms. Not thread-safe.
class QuotaAccount
{
public:
    QuotaAccount(QuotaShare share, Millis emptySince, Millis now)
        : m_bucket(share, emptySince, now)
        , m_usedAt(now)
    {
    }

    void setShare(QuotaShare share, Millis now)
    {
        m_bucket.setShare(share, now);
    }
    /// Counts requests as demand of this data centre.
    void addDemand(unsigned count, Millis now);
    unsigned take(unsigned count, Millis now);
    void giveBack(unsigned count, Millis now)
    {
        m_bucket.giveBack(count, now);
    }

    /// Returns the tokens to ask other data centres for: the demand of the next 250 ms, and at least what is missing
    /// for the waiting requests.
    double wantedLoan(unsigned waiting, Millis now) const;
    /// Adds a loan of another data centre.
    void deposit(double tokens, unsigned waiting, Millis now);
    /// Takes tokens for another data centre, beyond the own demand of the next 250 ms.
    double lend(double wanted, Millis now);

    /// Returns the time until there will be credit for a request that is refused now, counting those that were refused
    /// before it; callers that all retry at the same time would be refused again.
    /// @param longest upper limit of the time
    Millis creditAfter(Millis longest, Millis now);
    /// Whether a new account of the same lender would be equal, as the bucket is full and has not been used for a
    /// while.
    bool isForgettable(Millis now) const;
    double level(Millis now) const
    {
        return m_bucket.level(now);
    }

private:
    QuotaBucket m_bucket;
    DemandMeter m_demand;
    DemandMeter m_loans; ///< tokens that other data centres lend
    Millis m_creditUntil; ///< when there will be credit for the last request that was refused
    Millis m_usedAt;
};

} // namespace mustardpond
