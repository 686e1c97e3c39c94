/// Lets coroutines wait for a slot of an upstream.
#pragma once

#include "decision/slotqueue.h"
#include "net/net.h"

#include <memory>
#include <unordered_map>

namespace mustardpond {

/// Order in which waiting requests get a slot.
struct SlotPriority {
    int rank = INNER_CALL_RANK; ///< lower ranks go first
    Millis deadline;
    FairShare share; ///< disregarded for inner calls
};

enum class SlotResult : std::uint8_t { Taken, Full, Expired };

/// Not thread-safe; the waiting coroutines run on one context.
class SlotScheduler
{
public:
    explicit SlotScheduler(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Acquires a slot. If none is free and the queue has room, waits until the timeout has passed.
    SlotResult acquire(const std::shared_ptr<SlotQueue> &queue, const SlotPriority &priority, Millis timeout,
                       const Yield &yield);
    /// Ends the wait of a ticket with SlotResult::Expired.
    void cancel(std::uint64_t ticket);
    std::uint64_t nextTicket() const
    {
        return m_nextTicket;
    }
    /// Releases an acquired slot.
    /// @param rank of the request that held it
    void release(const std::shared_ptr<SlotQueue> &queue, int rank);

private:
    struct Waiter {
        explicit Waiter(asio::io_context &context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        bool granted = false;
        bool displaced = false; ///< by a request that goes before it, as the queue was full
    };

    asio::io_context &m_context;
    std::uint64_t m_nextTicket = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

/// Releases an acquired slot at the end of its scope.
class SlotGuard
{
public:
    SlotGuard(SlotScheduler &scheduler, std::shared_ptr<SlotQueue> queue, int rank)
        : m_scheduler(scheduler)
        , m_queue(std::move(queue))
        , m_rank(rank)
    {
    }
    ~SlotGuard()
    {
        m_scheduler.release(m_queue, m_rank);
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    SlotScheduler &m_scheduler;
    std::shared_ptr<SlotQueue> m_queue;
    int m_rank;
};

} // namespace mustardpond
