/// Lets coroutines wait for their turn at an upstream.
#pragma once

#include "decision/slotqueue.h"
#include "net/net.h"

#include <memory>
#include <unordered_map>

namespace mustardpond {

/// Who goes first among those that wait.
struct TurnOrder {
    int rank = CALL_RANK; ///< lower ranks go first
    Millis deadline;
};

enum class Turn : std::uint8_t { Taken, Full, Expired };

/// Not thread-safe; the waiting coroutines run on one context.
class SlotTurns
{
public:
    explicit SlotTurns(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Takes a slot, waiting until the deadline if there is room to wait.
    /// @param remaining time until the deadline
    Turn take(const std::shared_ptr<SlotQueue> &queue, const TurnOrder &order, Millis remaining, const Yield &yield);
    /// Ends the wait of a ticket, which then has expired.
    void cancel(std::uint64_t ticket);
    std::uint64_t nextTicket() const
    {
        return m_nextTicket;
    }
    /// Gives a taken slot back.
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
    };

    asio::io_context &m_context;
    std::uint64_t m_nextTicket = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

/// Gives a slot back at the end of its scope.
class SlotHold
{
public:
    SlotHold(SlotTurns &turns, std::shared_ptr<SlotQueue> queue, int rank)
        : m_turns(turns)
        , m_queue(std::move(queue))
        , m_rank(rank)
    {
    }
    ~SlotHold()
    {
        m_turns.release(m_queue, m_rank);
    }
    SlotHold(const SlotHold &) = delete;
    SlotHold &operator=(const SlotHold &) = delete;

private:
    SlotTurns &m_turns;
    std::shared_ptr<SlotQueue> m_queue;
    int m_rank;
};

} // namespace mustardpond
