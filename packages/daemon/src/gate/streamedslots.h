/// Bounds how many slots of an upstream serve streamed bodies that are still arriving.
#pragma once

#include "net/net.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace mustardpond {

/// Answers the load of callers that send large bodies slowly or not to their end: they held all slots of a service. A
/// body that has arrived no longer counts. Not thread-safe; the waiting coroutines run on one context.
class StreamedSlots
{
public:
    /// Returns its place at the end of its life.
    class Place
    {
    public:
        Place(StreamedSlots &slots, std::string upstream)
            : m_slots(slots)
            , m_upstream(std::move(upstream))
        {
        }
        ~Place()
        {
            m_slots.release(m_upstream);
        }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        StreamedSlots &m_slots;
        std::string m_upstream;
    };

    explicit StreamedSlots(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Returns half of an upstream's slots, at least one.
    static std::size_t limitOf(std::size_t slots)
    {
        return slots < 2 ? 1 : slots / 2;
    }
    /// Returns null if all places are taken or others wait for one.
    std::unique_ptr<Place> tryAcquire(const std::string &upstream, std::size_t slots);
    /// Waits for a place, in the order of arrival. Returns null when the timeout has passed.
    std::unique_ptr<Place> acquire(const std::string &upstream, std::size_t slots, Millis timeout, const Yield &yield);

private:
    struct Waiter {
        explicit Waiter(asio::io_context &context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        bool granted = false;
    };
    struct State {
        std::size_t taken = 0;
        std::deque<Waiter *> waiting;
    };

    void release(const std::string &upstream);

    asio::io_context &m_context;
    std::map<std::string, State> m_states; ///< by upstream
};

} // namespace mustardpond
