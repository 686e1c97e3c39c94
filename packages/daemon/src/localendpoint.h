/// The address where backend servers of this host announce themselves and operators ask.
#pragma once

#include "gate.h"
#include "net/listener.h"
#include "router.h"

#include "foundation/kernel.h"

#include <memory>

namespace mustardpond {

/// Serves POST /announce, GET /metrics, /status, /config, /burn and /ready.
class LocalEndpoint : public Service
{
public:
    LocalEndpoint(asio::io_context &context, const Clock &clock, const DaemonSettings &settings, Router &router,
                  Gate &gate);
    void start() override;
    void stop() override;

private:
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;

    void serve(tcp::socket socket, const Yield &yield);
    Response answer(const Request &request);
    Response announce(const Request &request);
    std::string statusText() const;
    std::string configText() const;
    std::string burnText() const;
    void expire(const Yield &yield);

    asio::io_context &m_context;
    const Clock &m_clock;
    const DaemonSettings &m_settings;
    Router &m_router;
    Gate &m_gate;
    std::shared_ptr<Listener> m_listener;
    bool m_stopped = false;
};

} // namespace mustardpond
