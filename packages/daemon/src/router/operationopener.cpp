#include "operationopener.h"

#include "foundation/errors.h"

namespace mustardpond {

namespace {

constexpr Millis EXCHANGE_TIMEOUT{500};
constexpr Millis RETRY_INTERVAL{20};

} // namespace

std::string OperationOpener::open(const Yield &yield)
{
    std::set<std::string> tried;
    while (m_shared.clock.now() < m_request.deadline) {
        const UpstreamRef *chosen =
            m_shared.table.choose(m_request.service, m_request.workClass, tried, m_shared.clock.now());
        if (!chosen) {
            tried.clear();
            m_mustServe = true;
            pause(yield);
            continue;
        }
        const std::string gate = chosen->gate;
        tried.insert(chosen->id);
        std::string operation = openAt(gate, yield);
        if (!operation.empty()) {
            return operation;
        }
    }
    return {};
}

std::string OperationOpener::openAt(const std::string &gate, const Yield &yield)
{
    try {
        auto channel = m_shared.pool.acquire(gate, EXCHANGE_TIMEOUT, yield);
        wire::OpenOperationT open;
        open.request = ++m_shared.lastRequestNumber;
        open.service = m_request.service;
        open.organisation = m_request.organisation;
        open.workClass = m_request.workClass.name;
        open.mustServe = m_mustServe;
        auto reply = channel->ask<wire::OperationOpenedT>(std::move(open), EXCHANGE_TIMEOUT, yield);
        m_shared.pool.release(gate, std::move(channel));
        return reply.operation;
    } catch (const boost::system::system_error &) {
        m_shared.pool.drop(gate);
    } catch (const Exception &) {
        m_shared.pool.drop(gate);
    }
    return {};
}

void OperationOpener::pause(const Yield &yield)
{
    asio::steady_timer timer(m_shared.context, toDuration(RETRY_INTERVAL));
    timer.async_wait(yield);
}

} // namespace mustardpond
