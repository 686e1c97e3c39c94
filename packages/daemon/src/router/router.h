/// Accepts callers' connections and forwards each request to an upstream.
#pragma once

#include "bodybudget.h"
#include "decision/burn.h"
#include "decision/weightedroundrobin.h"
#include "dialects.h"
#include "dispatch.h"
#include "keyadmission.h"
#include "limitreport.h"
#include "net/listener.h"
#include "quotaclient.h"
#include "refusedkeys.h"
#include "runreporter.h"

#include "foundation/kernel.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace mustardpond {

class CallerSession;

class Router : public Service
{
public:
    /// Called when a request was held because its class of work exceeds its capacity, so that a director can be asked
    /// for a refusal.
    using SaturationHandler = std::function<void(const std::string &service, const std::string &workClass)>;

    Router(asio::io_context &context, const Clock &clock, Random &random, const DaemonSettings &settings,
           std::shared_ptr<const CallerDialect> dialect);

    void start() override;
    void stop() override;

    void update(std::shared_ptr<const FleetView> view)
    {
        m_runReporter.update(*view);
        m_table.update(std::move(view), m_clock.now());
    }
    /// Limits the requests of organisations from now on.
    void setQuota(std::unique_ptr<QuotaClient> quota)
    {
        m_quota = std::move(quota);
    }
    /// Returns null if requests are not limited.
    QuotaClient *quota() const
    {
        return m_quota.get();
    }
    void onSaturation(SaturationHandler handler)
    {
        m_onSaturation = std::move(handler);
    }
    /// Closes callers' connections after their current answer; requests in flight continue.
    /// @param stopAt time on the router's clock by which all requests must be finished
    void leave(Millis stopAt);
    /// Interrupts all requests that are still waiting, so that they are answered. To be called at the time passed to
    /// leave().
    void abortPending();
    /// Whether a request is being read or served.
    bool isBusy() const;
    /// From now on, serves only requests that end before the stop.
    void limitToStop()
    {
        m_limitedToStop = true;
    }
    bool isLimitedToStop() const
    {
        return m_limitedToStop;
    }
    /// Accepts the connections in the backlog and stops listening.
    void stopAccepting(const Yield &yield)
    {
        m_listener->drain(yield);
    }
    bool isLeaving() const
    {
        return m_leaving;
    }
    /// Whether no request is being read or served and no caller has sent anything for a while.
    bool isIdle() const;
    void addSession(CallerSession *session)
    {
        m_sessions.insert(session);
    }
    void removeSession(CallerSession *session)
    {
        m_sessions.erase(session);
    }

    const DaemonSettings &settings() const
    {
        return m_settings;
    }
    const CallerDialect &dialect() const
    {
        return *m_dialect;
    }
    /// Applies the settings that may change while the daemon runs.
    void reload(const DaemonSettings &settings)
    {
        m_settings.service = settings.service;
        m_settings.limits = settings.limits;
        applyLimits();
    }
    /// Returns the service for the next request of a route, which may split its requests by weight.
    const std::string &nextServiceOf(const RouteObject &route);
    asio::io_context &context()
    {
        return m_context;
    }
    const Clock &clock() const
    {
        return m_clock;
    }
    Random &random()
    {
        return m_random;
    }
    const FleetView &view() const
    {
        return *m_table.view();
    }
    RoutingTable &table()
    {
        return m_table;
    }
    GatePool &pool()
    {
        return m_pool;
    }
    Metrics &metrics()
    {
        return m_metrics;
    }
    RefusedKeys &refusedKeys()
    {
        return m_refusedKeys;
    }
    BurnMeter &burn()
    {
        return m_burn;
    }
    DispatchContext &dispatchContext()
    {
        return m_dispatch;
    }
    /// Whether requests with keys may be served: always unless the settings ask for a proof that the configuration is
    /// the newest, and it has organisations. To be asked when the head has been read and again before dispatch, after
    /// the key has been looked up in the view of that moment. keyAdmission().refuse() gives the answer otherwise.
    bool acceptsKeys() const;
    /// Returns the age of the proof that the configuration in force is the newest; nothing without one.
    std::optional<Millis> proofAge() const;
    KeyAdmission &keyAdmission()
    {
        return m_keyAdmission;
    }
    const KeyAdmission &keyAdmission() const
    {
        return m_keyAdmission;
    }
    BodyBudget &bodyBudget()
    {
        return m_bodyBudget;
    }
    /// Counts and logs that a limit has cost a caller its request or its connection.
    void reportLimit(LimitCause cause)
    {
        m_metrics.addLimit(cause);
        m_limitReport.report(cause, m_clock.now());
    }
    /// Waits until a configuration has been received. Returns false when the timeout has passed without one, or when
    /// the router is leaving.
    bool waitForConfiguration(Millis timeout, const Yield &yield);
    /// Reports that a request was held because all upstreams were full.
    void reportHeld(const std::string &service, const std::string &workClass);

private:
    void tick(const Yield &yield);
    void applyLimits();
    /// Returns how many callers' connections may be open.
    std::size_t maxConnections() const;
    /// Makes room for a new connection, if need be by closing the one that has been idle longest. Returns false if none
    /// is idle.
    bool makeRoom();

    asio::io_context &m_context;
    const Clock &m_clock;
    Random &m_random;
    DaemonSettings m_settings;
    std::shared_ptr<const CallerDialect> m_dialect;
    std::map<std::string, WeightedRoundRobin> m_roundRobins; ///< by route
    RoutingTable m_table;
    KeyAdmission m_keyAdmission;
    GatePool m_pool;
    Metrics m_metrics;
    RefusedKeys m_refusedKeys{m_metrics};
    BurnMeter m_burn;
    std::uint64_t m_lastRequestNumber = 0;
    RunReporter m_runReporter;
    DispatchContext m_dispatch;
    std::shared_ptr<Listener> m_listener;
    BodyBudget m_bodyBudget;
    LimitReport m_limitReport;
    SaturationHandler m_onSaturation;
    std::unique_ptr<QuotaClient> m_quota;
    std::set<CallerSession *> m_sessions;
    bool m_leaving = false;
    bool m_limitedToStop = false;
    bool m_stopped = false;
};

} // namespace mustardpond
