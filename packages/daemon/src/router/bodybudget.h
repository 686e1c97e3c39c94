/// Shares the process's byte budget among callers' connections, which may wait for room in it.
#pragma once

#include "decision/bytebudget.h"
#include "net/net.h"

#include <deque>
#include <functional>
#include <map>

namespace mustardpond {

class BodyHold;

/// Not thread-safe; the waiting coroutines run on one context.
class BodyBudget
{
public:
    using Report = std::function<void()>;

    BodyBudget(asio::io_context &context, const Clock &clock, std::size_t totalBytes)
        : m_context(context)
        , m_clock(clock)
        , m_bytes(totalBytes)
    {
    }

    ByteBudget &bytes()
    {
        return m_bytes;
    }
    /// @param report called for each caller that is evicted
    void onEviction(Report report)
    {
        m_onEviction = std::move(report);
    }
    /// Wakes the request that has waited longest. To be called when bytes have been returned.
    void notify();

private:
    friend class BodyHold;
    using Waiters = std::deque<asio::steady_timer *>;

    bool waitAndTake(BodyHold &hold, std::size_t bytes, std::size_t expected, const Yield &yield);
    /// Waits until bytes may have been returned, or until the timeout has passed.
    static void waitForRoom(asio::steady_timer &timer, Millis timeout, const Yield &yield);
    bool evictOne();

    asio::io_context &m_context;
    const Clock &m_clock;
    ByteBudget m_bytes;
    Report m_onEviction;
    std::map<ByteBudget::Holder, BodyHold *> m_holds;
    Waiters m_small; ///< apart, so that a small request does not queue behind a large one
    Waiters m_large;
};

/// The bytes of one connection. They are returned at the end of its life.
class BodyHold
{
public:
    /// @param evict interrupts the connection's pending read or write
    BodyHold(BodyBudget &budget, std::function<void()> evict);
    ~BodyHold();
    BodyHold(const BodyHold &) = delete;
    BodyHold &operator=(const BodyHold &) = delete;

    /// Takes bytes. When the budget is full, waits for at most a second; then somebody else is evicted, or it returns
    /// false.
    /// @param expected all that the request needs; 0 while that is unknown
    bool take(std::size_t bytes, std::size_t expected, const Yield &yield);
    /// Takes bytes without asking, for what has been admitted already.
    void charge(std::size_t bytes);
    void giveBack(std::size_t bytes);
    /// Returns all but the given bytes.
    void reduceTo(std::size_t bytes);
    void onProgress(std::size_t bytes);
    /// Sets whether the connection waits for its caller, so that it may be evicted.
    void setEvictable(bool evictable);
    bool isEvicted() const
    {
        return m_evicted;
    }
    /// Returns for how long the caller has made no progress; nothing while the router does not wait for it.
    std::optional<Millis> silence(Millis now) const
    {
        return m_budget.m_bytes.silence(m_holder, now);
    }
    /// Returns the time after which a refused request may find room.
    Millis retryAfter() const;

private:
    friend class BodyBudget;

    BodyBudget &m_budget;
    std::function<void()> m_evict;
    ByteBudget::Holder m_holder;
    bool m_evictable = false;
    bool m_evicted = false;
};

} // namespace mustardpond
