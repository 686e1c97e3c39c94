/// The HTTP endpoint for announcements by the backend servers of this host and for operators' queries.
#pragma once

#include "announcementdialect.h"
#include "gate.h"
#include "net/listener.h"
#include "router.h"

#include "foundation/kernel.h"

#include <functional>
#include <memory>
#include <vector>

namespace mustardpond {

/// Serves announcements, and GET /metrics, /status, /config, /burn and /ready.
class LocalEndpoint : public Service
{
public:
    LocalEndpoint(asio::io_context &context, const Clock &clock, const DaemonSettings &settings, Router &router,
                  Gate &gate, std::shared_ptr<const AnnouncementDialect> dialect);
    /// Stores the last announced states of upstreams that are leaving, and calls back once they are stored.
    using RecordHandler = std::function<void(std::vector<UpstreamInfo>, std::function<void()>)>;
    void onRecord(RecordHandler handler)
    {
        m_recordHandler = std::move(handler);
    }
    void start() override;
    void stop() override;

private:
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;

    void serve(tcp::socket socket, const Yield &yield);
    void listenAt(const Endpoint &address);
    Response answer(const Request &request, const Yield &yield);
    Response announce(const Request &request, const Yield &yield);
    void storeRecord(const Yield &yield);
    bool isReady();
    std::string statusText() const;
    std::string configText() const;
    std::string burnText() const;
    void expire(const Yield &yield);

    asio::io_context &m_context;
    const Clock &m_clock;
    const DaemonSettings &m_settings;
    Router &m_router;
    Gate &m_gate;
    std::shared_ptr<const AnnouncementDialect> m_dialect;
    RecordHandler m_recordHandler;
    std::vector<std::shared_ptr<Listener>> m_listeners;
    bool m_wasReady = false;
    bool m_stopped = false;
};

} // namespace mustardpond
