#include "localendpoint.h"

#include "config/burnjson.h"
#include "foundation/errors.h"
#include "foundation/events.h"
#include "net/bodybuffer.h"
#include "quotareport.h"
#include "slotshares.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis IDLE_TIMEOUT{30000};
constexpr Millis EXPIRY_PERIOD{500};
constexpr Millis RECORD_TIMEOUT{700}; ///< an upstream waits 1 s for the acknowledgement of its announcement

std::string dataCentreOf(const FleetView &view, const std::string &upstream)
{
    for (const Member &member : view.members) {
        const bool hasUpstream = std::any_of(member.upstreams.begin(), member.upstreams.end(),
                                             [&upstream](const UpstreamInfo &info) { return info.id == upstream; });
        if (hasUpstream) {
            return member.dataCentre;
        }
    }
    return {};
}

nlohmann::json windowJson(const BurnWindow &window, Millis length, double successTarget, const FleetView &view)
{
    nlohmann::json failuresByUpstream = nlohmann::json::array();
    for (const auto &[upstream, bad] : window.failuresByUpstream) {
        failuresByUpstream.push_back(
            {{"upstream", upstream}, {"dataCentre", dataCentreOf(view, upstream)}, {"bad", bad}});
    }
    nlohmann::json document = toJson(window.counts, length, successTarget);
    document["badBy"] = failuresByUpstream;
    return document;
}

} // namespace

LocalEndpoint::LocalEndpoint(asio::io_context &context, const Clock &clock, const DaemonSettings &settings,
                             Router &router, Gate &gate, std::shared_ptr<const AnnouncementDialect> dialect)
    : m_context(context)
    , m_clock(clock)
    , m_settings(settings)
    , m_router(router)
    , m_gate(gate)
    , m_dialect(std::move(dialect))
{
    listenAt(settings.local);
    for (const auto &address : {settings.ready, settings.metrics}) {
        if (address) {
            listenAt(*address);
        }
    }
}

void LocalEndpoint::listenAt(const Endpoint &address)
{
    m_listeners.push_back(std::make_shared<Listener>(
        m_context, address, [this](tcp::socket socket, const Yield &yield) { serve(std::move(socket), yield); }));
}

void LocalEndpoint::start()
{
    for (const auto &listener : m_listeners) {
        listener->start();
    }
    if (m_settings.dialect != Dialect::Own) {
        return; // in the platform's dialect, a lack of announcements does not mean that an upstream is gone
    }
    asio::spawn(m_context, [this](const Yield &yield) { expire(yield); });
}

void LocalEndpoint::stop()
{
    m_stopped = true;
    for (const auto &listener : m_listeners) {
        listener->stop();
    }
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
    beast::flat_buffer buffer(MAX_READ_BUFFER_BYTES);
    while (true) {
        http::request_parser<http::string_body> parser;
        stream.expires_after(toDuration(IDLE_TIMEOUT));
        http::async_read(stream, buffer, parser, yield);
        const Request request = parser.release();
        Response response = answer(request, yield);
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        if (request.method() == http::verb::head) {
            response.body().clear(); // the length of what a GET would get stays in the head
        }
        http::async_write(stream, response, yield);
        if (!response.keep_alive()) {
            return;
        }
    }
}

LocalEndpoint::Response LocalEndpoint::answer(const Request &request, const Yield &yield)
{
    if (request.method() != http::verb::get) {
        return announce(request, yield);
    }
    Response response(http::status::ok, request.version());
    response.set(http::field::content_type, "application/json");
    if (request.target() == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = m_router.metrics().exposition() + m_router.keyAdmission().exposition(m_clock.now());
        if (m_router.quota()) {
            response.body() += quotaExposition(*m_router.quota());
        }
    } else if (request.target() == "/status") {
        response.body() = statusText();
    } else if (request.target() == "/config") {
        response.body() = configText();
    } else if (request.target() == "/burn") {
        response.body() = burnText();
    } else if (request.target() == "/ready") {
        response.result(isReady() ? http::status::ok : http::status::service_unavailable);
    } else {
        response.result(http::status::not_found);
        response.body() = R"({"error":"unknown path: use /announce, /metrics, /status, /config, /burn or /ready"})";
    }
    return response;
}

bool LocalEndpoint::isReady()
{
    const bool ready = m_router.view().configured && !m_router.isLeaving();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        logEvent(Event::ReadyChanged,
                 {{"ready", ready}, {"configured", m_router.view().configured}, {"leaving", m_router.isLeaving()}});
    }
    return ready;
}

LocalEndpoint::Response LocalEndpoint::announce(const Request &request, const Yield &yield)
{
    Response response(http::status::ok, request.version());
    response.set(http::field::content_type, "application/json");
    response.body() = "{}";
    try {
        auto announcement =
            m_dialect->read({std::string(request.method_string()), std::string(request.target()), request.body()});
        if (!announcement) {
            response.result(http::status::not_found);
            response.body() = R"({"error":"this method and path do not take announcements"})";
            return response;
        }
        if (announcement->state == UpstreamState::Gone && announcement->born == 0) {
            announcement->endedAt = static_cast<std::uint64_t>(wallClockNow().value);
        }
        const AnnounceResult result = m_gate.context().registry.announce(*announcement, m_clock.now());
        const bool leaves =
            announcement->state == UpstreamState::Draining || announcement->state == UpstreamState::Gone;
        if (leaves && result == AnnounceResult::Changed) {
            storeRecord(yield);
        }
        if (leaves && result == AnnounceResult::Late && m_gate.context().registry.isReady(announcement->id)) {
            // An acknowledgement would promise that the upstream gets no more requests.
            response.result(http::status::service_unavailable);
            response.body() = R"({"error":"a later start of this upstream is known: report again"})";
        }
    } catch (const Exception &error) {
        logEvent(Event::AnnouncementInvalid, {{"cause", error.what()}});
        response.result(http::status::bad_request);
        response.body() =
            nlohmann::json({{"error", error.what()}}).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return response;
}

void LocalEndpoint::storeRecord(const Yield &yield)
{
    if (!m_recordHandler) {
        return;
    }
    // An acknowledged deregistration must survive a restart of this process. Peers learn of it by gossip as well.
    auto timer = std::make_shared<asio::steady_timer>(m_context, toDuration(RECORD_TIMEOUT));
    m_recordHandler(m_gate.context().registry.infos(), [timer] { timer->cancel(); });
    ErrorCode ignored;
    timer->async_wait(yield[ignored]);
}

std::string LocalEndpoint::statusText() const
{
    const FleetView &view = m_router.view();
    nlohmann::json document = {
        {"node", m_settings.node},       {"region", m_settings.region},     {"dataCentre", m_settings.dataCentre},
        {"configured", view.configured}, {"leaving", m_router.isLeaving()}, {"members", nlohmann::json::array()}};
    if (m_router.keyAdmission().isStrict()) {
        const auto &proof = m_router.keyAdmission().proof();
        const auto age = m_router.proofAge();
        document["proof"] = {{"ageMs", age ? nlohmann::json(age->value) : nlohmann::json()},
                             {"version", proof ? proof->version.revision : 0},
                             {"acceptsKeys", m_router.acceptsKeys()}};
    }
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
    if (const auto quotas = m_router.quota() ? quotaStatus(*m_router.quota()) : nullptr; !quotas.empty()) {
        document["quotas"] = quotas;
    }
    if (const auto shares = slotSharesJson(m_gate.context().registry); !shares.empty()) {
        document["slotShares"] = shares;
    }
    return document.dump();
}

std::string LocalEndpoint::configText() const
{
    nlohmann::json versions = nlohmann::json::object();
    const FleetView &view = m_router.view();
    if (view.config) {
        for (const auto &[key, version] : view.config->versions()) {
            versions[key] = version.revision;
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
