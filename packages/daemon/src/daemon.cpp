#include "daemon.h"

#include "foundation/errors.h"
#include "foundation/events.h"
#include "foundation/fieldreader.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <set>

namespace mustardpond {

namespace {

constexpr const char GATE[] = "gate";
constexpr const char ROUTER[] = "router";
constexpr const char CONTROL[] = "control";
constexpr const char LOCAL[] = "local";
constexpr Millis STOP_ACCEPTING_DELAY{2500}; ///< from the start of the stop, for the leave to reach every router
constexpr Millis STOP_CHECK_INTERVAL{20};
/// From the start of the stop. Until then, other routers can use the upstreams while callers are told to leave.
constexpr Millis GATE_LEAVE_DELAY{1500};
constexpr double GRACE_RATIO = 0.92; ///< of the grace period; the rest is for stopping the services
constexpr Millis FINAL_ANSWER_TIME{150}; ///< at the end of the grace period, for the answers to aborted requests
constexpr Millis SETTINGS_CHECK_INTERVAL{1000};
constexpr Millis REFUSAL_LIFETIME{600000};
constexpr Millis REFUSAL_REQUEST_INTERVAL{10000};
constexpr double REFUSED_RATIO = 0.1;

RefusalObject refusalFor(const ConfigSnapshot &config, const std::string &region, const std::string &service,
                         const std::string &workClass)
{
    RefusalObject refusal;
    const ServiceObject *serviceObject = config.service(service);
    const auto period = static_cast<std::int64_t>(wallClockNow() / REFUSAL_LIFETIME);
    refusal.terms.id = service + "." + workClass + "." + region + "." + std::to_string(period);
    refusal.terms.director = serviceObject ? serviceObject->director : "";
    refusal.terms.service = service;
    refusal.terms.workClass = workClass;
    refusal.terms.region = region;
    refusal.terms.share = REFUSED_RATIO;
    refusal.terms.expires = wallClockNow() + REFUSAL_LIFETIME;
    refusal.reason = "callers were held because all upstreams were full";
    return refusal;
}

/// Restores the upstream states that other members still hold from an earlier process of this daemon.
void restoreFromPeers(const FleetView &view, UpstreamRegistry &registry)
{
    for (const Member &member : view.members) {
        if (member.node != view.self.node || member.incarnation == view.self.incarnation) {
            continue;
        }
        for (const UpstreamInfo &info : member.upstreams) {
            registry.restore(info);
        }
    }
}

} // namespace

Daemon::Daemon(DaemonSettings settings, std::string path, const Dialects &dialects)
    : m_settings(std::move(settings))
    , m_path(std::move(path))
    , m_settingsText(readTextFile(m_path))
    , m_incarnation(newIncarnation(m_random))
    , m_signals(m_context)
    , m_hangup(m_context, SIGHUP)
{
    auto gate = std::make_shared<Gate>(m_context, m_clock, m_incarnation, m_settings, dialects.upstream);
    auto router = std::make_shared<Router>(m_context, m_clock, m_random, m_settings, dialects.caller);
    auto control = std::make_shared<ControlPlane>(m_context, m_settings, m_incarnation, dialects.openStore);
    auto quotaLender = std::make_shared<QuotaLender>(m_context, m_clock, m_settings);
    quotaLender->setOrganisations([router = router.get()](const std::string &name) {
        const auto config = router->view().config;
        return config && config->organisations() ? config->organisations()->findByName(name) : nullptr;
    });
    quotaLender->setProofCheck([router = router.get()] { return router->acceptsKeys(); });
    gate->setQuotaLender(quotaLender);
    router->setQuota(std::make_unique<QuotaClient>(m_context, m_clock, m_random, m_settings, *quotaLender));
    auto local = std::make_shared<LocalEndpoint>(m_context, m_clock, m_settings, *router, *gate, dialects.announcement);
    gate->context().byteBudget = &router->bodyBudget().bytes();
    control->onView([router = router.get(), gate = gate.get(),
                     quotaLender = quotaLender.get()](std::shared_ptr<const FleetView> view) {
        restoreFromPeers(*view, gate->context().registry);
        quotaLender->update(*view);
        router->update(std::move(view));
    });
    control->onProof([router = router.get()](const FreshnessProof &proof) { router->keyAdmission().setProof(proof); });
    control->onRestore([gate = gate.get()](const std::vector<UpstreamInfo> &upstreams) {
        for (const UpstreamInfo &info : upstreams) {
            gate->context().registry.restore(info);
        }
    });
    local->onRecord([control = control.get()](std::vector<UpstreamInfo> upstreams, const std::function<void()> &done) {
        control->recordUpstreams(std::move(upstreams), done);
    });
    gate->onGossip([control = control.get()](std::shared_ptr<const wire::GossipT> message) {
        control->receiveGossip(std::move(message));
    });
    gate->context().registry.onChange(
        [control = control.get()](const std::vector<UpstreamInfo> &upstreams) { control->setUpstreams(upstreams); });
    gate->context().reportCrash = [control = control.get()](std::uint64_t fingerprint) {
        control->reportCrash(fingerprint);
    };
    control->onCrash([this, gate = gate.get()](std::uint64_t fingerprint) {
        gate->context().quarantine.onCrash(fingerprint, m_clock.now());
    });
    router->dispatchContext().quarantineStatus = [this, gate = gate.get()](std::uint64_t fingerprint) {
        return gate->context().quarantine.status(fingerprint, m_clock.now());
    };
    router->dispatchContext().running = &gate->context().runningRequests;
    auto lastRequested = std::make_shared<std::map<std::string, Millis>>();
    router->onSaturation([this, lastRequested, router = router.get(),
                          control = control.get()](const std::string &service, const std::string &workClass) {
        Millis &last =
            lastRequested->emplace(service + "/" + workClass, Millis(-REFUSAL_REQUEST_INTERVAL.value)).first->second;
        if (!router->table().isSaturated(service) || m_clock.now() - last < REFUSAL_REQUEST_INTERVAL) {
            return;
        }
        last = m_clock.now();
        control->requestRefusal(refusalFor(*router->view().config, m_settings.region, service, workClass));
    });
    // The control plane announces this process to others, so it starts when all addresses are bound.
    m_kernel.add(GATE, gate);
    m_kernel.add(ROUTER, router);
    m_kernel.add(LOCAL, local);
    m_kernel.add(CONTROL, control);
}

void Daemon::run()
{
    m_kernel.start(); // until it returns, nothing has been accepted, and a SIGTERM may end the process at once
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    logEvent(Event::Started,
             {{"node", m_settings.node},
              {"caller", toString(m_settings.caller)},
              {"inner", toString(m_settings.inner)},
              {"local", toString(m_settings.local)}});
    m_signals.async_wait([this](ErrorCode error, int) {
        if (!error) {
            asio::spawn(m_context, [this](const Yield &yield) { stopGracefully(yield); });
        }
    });
    waitForReloadSignal();
    asio::spawn(m_context, [this](const Yield &yield) { watchSettings(yield); });
    m_context.run();
}

void Daemon::waitForReloadSignal()
{
    m_hangup.async_wait([this](ErrorCode error, int) {
        if (!error) {
            reload();
            waitForReloadSignal();
        }
    });
}

void Daemon::watchSettings(const Yield &yield)
{
    // Polls, since the file may change without a signal.
    asio::steady_timer timer(m_context);
    ErrorCode error;
    while (!error) {
        timer.expires_after(toDuration(SETTINGS_CHECK_INTERVAL));
        timer.async_wait(yield[error]);
        reload();
    }
}

void Daemon::reload()
{
    try {
        const std::string text = readTextFile(m_path);
        if (text == m_settingsText) {
            return;
        }
        m_settingsText = text;
        const DaemonSettings settings = parseDaemonSettings(text, m_path);
        m_settings.limits = settings.limits;
        m_kernel.find<Router>(ROUTER)->reload(settings);
        logEvent(Event::SettingsReloaded, {{"path", m_path}});
    } catch (const Exception &error) {
        logEvent(Event::SettingsInvalid, {{"cause", error.what()}});
    }
}

void Daemon::stopGracefully(const Yield &yield)
{
    const auto router = m_kernel.find<Router>(ROUTER);
    const auto gate = m_kernel.find<Gate>(GATE);
    logEvent(Event::Stopping, {{"graceMs", m_settings.limits.shutdownTimeout.value}});
    const Millis startedAt = m_clock.now();
    const Millis grace = m_settings.limits.shutdownTimeout * GRACE_RATIO;
    const Millis drainTime = grace - FINAL_ANSWER_TIME;
    router->leave(startedAt + drainTime);
    const auto waitWhile = [&](const std::function<bool()> &condition, Millis limit) {
        asio::steady_timer timer(m_context);
        while (condition() && m_clock.now() - startedAt < limit) {
            timer.expires_after(toDuration(STOP_CHECK_INTERVAL));
            ErrorCode ignored;
            timer.async_wait(yield[ignored]);
        }
    };
    const auto always = [] { return true; };
    waitWhile(always, std::min(GATE_LEAVE_DELAY, drainTime));
    m_kernel.find<ControlPlane>(CONTROL)->leave();
    gate->leave();
    waitWhile(always, std::min(STOP_ACCEPTING_DELAY, drainTime));
    router->limitToStop();
    waitWhile([&] { return gate->isBusy(); }, drainTime); // upstreams still make calls for the requests that they run
    router->stopAccepting(yield);
    waitWhile([&] { return gate->isBusy() || !router->isIdle(); }, drainTime);
    router->abortPending();
    waitWhile([&] { return gate->isBusy() || router->isBusy(); }, grace);
    m_kernel.stop();
    logEvent(Event::Stopped, {{"node", m_settings.node}});
    m_context.stop();
}

} // namespace mustardpond
