#include "localendpoint.h"

#include "config/burnjson.h"
#include "foundation/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis IDLE_TIMEOUT{30000};
constexpr Millis EXPIRY_PERIOD{500};

std::string dataCentreOf(const FleetView &view, const std::string &upstream)
{
    for (const Member &member : view.members) {
        const bool serves = std::any_of(member.upstreams.begin(), member.upstreams.end(),
                                        [&upstream](const UpstreamInfo &info) { return info.id == upstream; });
        if (serves) {
            return member.dataCentre;
        }
    }
    return {};
}

nlohmann::json windowJson(const BurnWindow &window, Millis length, double successTarget, const FleetView &view)
{
    nlohmann::json badBy = nlohmann::json::array();
    for (const auto &[upstream, bad] : window.badBy) {
        badBy.push_back({{"upstream", upstream}, {"dataCentre", dataCentreOf(view, upstream)}, {"bad", bad}});
    }
    nlohmann::json document = toJson(window.counts, length, successTarget);
    document["badBy"] = badBy;
    return document;
}

} // namespace

LocalEndpoint::LocalEndpoint(asio::io_context &context, const Clock &clock, const DaemonSettings &settings,
                             Router &router, Gate &gate)
    : m_context(context)
    , m_clock(clock)
    , m_settings(settings)
    , m_router(router)
    , m_gate(gate)
    , m_listener(std::make_shared<Listener>(
          context, settings.local, [this](tcp::socket socket, const Yield &yield) { serve(std::move(socket), yield); }))
{
}

void LocalEndpoint::start()
{
    m_listener->start();
    asio::spawn(m_context, [this](const Yield &yield) { expire(yield); });
}

void LocalEndpoint::stop()
{
    m_stopped = true;
    m_listener->stop();
}

void LocalEndpoint::expire(const Yield &yield)
{
    asio::steady_timer timer(m_context);
    while (!m_stopped) {
        timer.expires_after(toDuration(EXPIRY_PERIOD));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
        m_gate.context().registry.expire(m_clock.now());
    }
}

void LocalEndpoint::serve(tcp::socket socket, const Yield &yield)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        stream.expires_after(toDuration(IDLE_TIMEOUT));
        http::async_read(stream, buffer, parser, yield);
        const Request request = parser.release();
        Response response = answer(request);
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        http::async_write(stream, response, yield);
        if (!response.keep_alive()) {
            return;
        }
    }
}

LocalEndpoint::Response LocalEndpoint::answer(const Request &request)
{
    if (request.method() == http::verb::post && request.target() == "/announce") {
        return announce(request);
    }
    Response response(http::status::ok, request.version());
    response.set(http::field::content_type, "application/json");
    if (request.target() == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = m_router.metrics().exposition();
    } else if (request.target() == "/status") {
        response.body() = statusText();
    } else if (request.target() == "/config") {
        response.body() = configText();
    } else if (request.target() == "/burn") {
        response.body() = burnText();
    } else if (request.target() == "/ready") {
        response.result(m_router.view().configured ? http::status::ok : http::status::service_unavailable);
    } else {
        response.result(http::status::not_found);
        response.body() = R"({"error":"ask for /announce, /metrics, /status, /config, /burn or /ready"})";
    }
    return response;
}

LocalEndpoint::Response LocalEndpoint::announce(const Request &request)
{
    Response response(http::status::ok, request.version());
    response.set(http::field::content_type, "application/json");
    try {
        m_gate.context().registry.announce(parseAnnouncement(request.body()), m_clock.now());
        response.body() = "{}";
    } catch (const Exception &error) {
        response.result(http::status::bad_request);
        response.body() = nlohmann::json({{"error", error.what()}}).dump();
    }
    return response;
}

std::string LocalEndpoint::statusText() const
{
    const FleetView &view = m_router.view();
    nlohmann::json document = {
        {"node", m_settings.node},       {"region", m_settings.region},     {"dataCentre", m_settings.dataCentre},
        {"configured", view.configured}, {"leaving", m_router.isLeaving()}, {"members", nlohmann::json::array()}};
    for (const Member &member : view.members) {
        nlohmann::json upstreams = nlohmann::json::array();
        for (const UpstreamInfo &upstream : member.upstreams) {
            nlohmann::json weights = nlohmann::json::object();
            for (const auto &[name, workClass] : view.config->workClasses()) {
                const double weight = m_router.table().weight(upstream.service, upstream.id, name, m_clock.now());
                if (weight < 1) {
                    weights[name] = weight;
                }
            }
            upstreams.push_back({{"id", upstream.id},
                                 {"service", upstream.service},
                                 {"state", nameOf(UPSTREAM_STATE_NAMES, upstream.state)},
                                 {"slots", upstream.slots},
                                 {"weights", weights}});
        }
        document["members"].push_back({{"node", member.node},
                                       {"state", nameOf(MEMBER_STATE_NAMES, member.state)},
                                       {"region", member.region},
                                       {"dataCentre", member.dataCentre},
                                       {"inner", member.inner},
                                       {"upstreams", upstreams}});
    }
    return document.dump();
}

std::string LocalEndpoint::configText() const
{
    nlohmann::json versions = nlohmann::json::object();
    const FleetView &view = m_router.view();
    if (view.config) {
        for (const auto &[key, version] : view.config->versions()) {
            versions[key] = version;
        }
    }
    return versions.dump();
}

std::string LocalEndpoint::burnText() const
{
    const FleetView &view = m_router.view();
    nlohmann::json list = nlohmann::json::array();
    for (const BurnReport &report : m_router.burn().report(m_clock.now())) {
        const WorkClass *workClass = view.config ? view.config->workClass(report.workClass) : nullptr;
        const double target = workClass ? workClass->successTarget : 0;
        nlohmann::json windows = nlohmann::json::array();
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            windows.push_back(windowJson(report.windows.at(index), BURN_WINDOWS.at(index), target, view));
        }
        list.push_back({{"service", report.service},
                        {"class", report.workClass},
                        {"successTarget", target},
                        {"windows", windows}});
    }
    return nlohmann::json({{"node", m_settings.node}, {"burn", list}}).dump();
}

} // namespace mustardpond
