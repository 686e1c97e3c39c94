/// Lets resends of an operation wait for the run that is in progress.
#pragma once

#include "decision/operationid.h"
#include "net/net.h"

#include <memory>
#include <unordered_map>

namespace mustardpond {

/// Not thread-safe; the waiting coroutines run on one context.
class OperationWaits
{
public:
    explicit OperationWaits(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Waits until the operation's run has ended or the timeout has passed.
    void wait(const OperationId &id, Millis timeout, const Yield &yield);
    /// Wakes all coroutines that wait for the operation.
    void notifyEnded(const OperationId &id);

private:
    using Timers = std::vector<std::shared_ptr<asio::steady_timer>>;

    asio::io_context &m_context;
    std::unordered_map<std::uint64_t, Timers> m_timers;
};

} // namespace mustardpond
