#include "memberactor.h"

#include "bundleinforce.h"
#include "platformroles.h"
#include "proofreport.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace mustardpond {

namespace {

constexpr Millis MIN_SLEEP{2};
constexpr Millis MAX_SLEEP{5000};
/// How long a standby goes on to watch after it was last needed. Each start of a watch lists all objects.
constexpr Millis STANDBY_DUTY{5000};
constexpr Millis DEAD_RECORD_RETENTION{10000}; ///< of a dead daemon's record in the store
constexpr const char FROM_STORE[] = "store";

Event eventOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return Event::MemberJoined;
    case MemberState::Suspect:
        return Event::MemberSuspected;
    case MemberState::Left:
        return Event::MemberLeft;
    case MemberState::Dead:
        return Event::MemberDead;
    }
    return Event::MemberJoined;
}

Member selfFrom(const DaemonSettings &settings, Incarnation incarnation)
{
    Member self;
    self.node = settings.node;
    self.incarnation = incarnation;
    self.region = settings.region;
    self.dataCentre = settings.dataCentre;
    self.inner = toString(settings.advertisedInner);
    self.caller = toString(settings.caller);
    return self;
}

std::vector<Seed> seedsFrom(const DaemonSettings &settings)
{
    std::vector<Seed> seeds;
    for (const Endpoint &seed : settings.seeds) {
        seeds.push_back({toString(seed), ""});
    }
    return seeds;
}

void logLeftOut(const LeftOutOrganisation &leftOut)
{
    nlohmann::json fields = {{"organisation", leftOut.name}, {"reason", leftOut.reason}};
    if (leftOut.keys > 0) {
        fields["keys"] = leftOut.keys;
    }
    logEvent(leftOut.keys > 0 ? Event::KeysLeftOut : Event::OrganisationLeftOut, fields);
}

/// The state of the actor.
class MemberDriver
{
public:
    MemberDriver(const DaemonSettings &settings, Incarnation incarnation, MemberActorOutput output)
        : m_needsBundle(settings.dialect == Dialect::Platform)
        , m_proofReport(settings.keys.maxProofAge, output.notifyProof)
        , m_seeds(seedsFrom(settings))
        , m_membership(selfFrom(settings, incarnation), {}, m_random)
        , m_output(std::move(output))
        , m_builder(
              [](const StoredObject &object, const std::string &cause) {
                  logEvent(Event::ObjectInvalid,
                           {{"kind", object.kind},
                            {"name", object.name},
                            {"version", object.version.revision},
                            {"cause", cause}});
              },
              logLeftOut)
    {
        m_membership.setSeeds(m_seeds);
        if (settings.keys.strict) {
            m_membership.useProofs(settings.keys.maxProofAge);
        }
    }

    void tick()
    {
        send(m_membership.tick(m_clock.now()));
        updateStandby();
        removeDeadRecords();
        publishChanges();
    }

    /// Returns the time until the next tick is due.
    Millis untilDue() const
    {
        const Millis left = std::min(m_membership.nextDue(), m_proofReport.nextDue()) - m_clock.now();
        return Millis(std::max(MIN_SLEEP.value, std::min(MAX_SLEEP.value, left.value)));
    }

    void setSeesPlatform(bool seesPlatform)
    {
        m_membership.setSeesPlatform(seesPlatform);
        m_changed = true;
        publishChanges();
    }

    /// Returns whether this daemon is to watch the platform, if that has changed since the last call.
    std::optional<bool> takeWatchRoleChange()
    {
        const bool watching = watches();
        if (m_lastWatchRole == watching) {
            return std::nullopt;
        }
        m_lastWatchRole = watching;
        logEvent(Event::WatchChanged, {{"watches", watching}, {"standby", m_replacesWatchers}});
        return watching;
    }

    void receive(const wire::GossipT &message)
    {
        try {
            send(m_membership.receive(message, m_clock.now()));
        } catch (const BadFrame &error) {
            // The message has been applied up to the invalid part. The next comparison of digests repairs the rest.
            logEvent(Event::PeerRejected, {{"peer", message.from}, {"cause", error.what()}});
        }
        publishChanges(message.from);
    }

    void setUpstreams(std::vector<UpstreamInfo> upstreams)
    {
        m_membership.setUpstreams(std::move(upstreams));
        m_changed = true;
        publishChanges();
    }

    void leave()
    {
        m_membership.leave();
        m_changed = true;
        publishChanges();
    }

    void reportCrash(std::uint64_t fingerprint)
    {
        const std::string name = m_membership.self().node + "." + std::to_string(m_random.next());
        m_membership.applyObject(crashObject(fingerprint, name));
        m_ownCrashes.insert(name);
    }

    void applyObjects(const std::vector<StoredObject> &objects)
    {
        const bool first = m_registered == nullptr;
        RegisteredHosts registered;
        for (const StoredObject &object : objects) {
            if (object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Node)) {
                addSeed(object, registered);
            } else {
                m_membership.publishObject(object);
            }
        }
        if (first) {
            m_registered = std::make_shared<const RegisteredHosts>(std::move(registered));
        }
        m_membership.setSeeds(m_seeds);
        m_configured = true;
        m_changed = true;
        publishChanges(FROM_STORE);
    }

    void addProof(const FreshnessProof &proof)
    {
        if (m_membership.proofs()) {
            m_membership.proofs()->freshness().add(proof, m_clock.now());
        }
    }

    /// To be called after each step.
    void reportProof()
    {
        if (const ProofExchange *proofs = m_membership.proofs()) {
            m_proofReport.update(proofs->freshness(), m_view->config && hasOrganisations(*m_view->config),
                                 m_clock.now());
        }
    }

    bool watches() const
    {
        return m_replacesWatchers || watchesPlatform(m_view->members, m_view->self);
    }

private:
    void updateStandby()
    {
        const Millis now = m_clock.now();
        const WatcherMonitor &monitor = m_membership.watcherMonitor();
        if (m_standbyPlace && replacesWatchers(*m_standbyPlace, monitor.count(), monitor.countSilent(now))) {
            m_replacesUntil = now + STANDBY_DUTY;
        }
        const bool replaces = m_standbyPlace && now < m_replacesUntil;
        m_changed = m_changed || replaces != m_replacesWatchers;
        m_replacesWatchers = replaces;
    }

    void updateStandbyPlace()
    {
        m_standbyPlace = standbyPlaceOf(m_view->members, m_view->self);
        m_membership.watcherMonitor().setWatchers(m_standbyPlace ? watcherKeys() : std::vector<std::string>(),
                                                  m_clock.now());
    }

    std::vector<std::string> watcherKeys() const
    {
        std::vector<std::string> keys;
        for (const Incarnation &incarnation : watchersOf(m_view->members, m_view->self.dataCentre)) {
            keys.push_back(toString(incarnation));
        }
        return keys;
    }

    void removeDeadRecords()
    {
        const Millis now = m_clock.now();
        for (const Member &member : m_view->members) {
            if (acceptsRequests(member)) {
                continue;
            }
            const std::uint64_t incarnationKey = member.incarnation.low;
            const Millis deadSince = m_deadSince.emplace(incarnationKey, now).first->second;
            const bool due = now - deadSince > DEAD_RECORD_RETENTION && m_removedRecords.count(incarnationKey) == 0;
            if (due && removesRecordOf(member, m_view->members, m_view->self)) {
                m_removedRecords.insert(incarnationKey);
                m_output.removeRecord(member.node, member.incarnation);
            }
        }
    }

    void addSeed(const StoredObject &object, RegisteredHosts &registered)
    {
        if (object.deleted) {
            return;
        }
        try {
            const NodeObject node = parseNode(object);
            ++registered.count;
            if (node.dataCentre == m_membership.self().dataCentre) {
                registered.neighbours.insert(object.name);
            }
            const bool known = std::any_of(m_seeds.begin(), m_seeds.end(),
                                           [&node](const Seed &seed) { return seed.address == node.inner; });
            if (!known) {
                m_seeds.push_back({node.inner, node.dataCentre});
            }
        } catch (const Exception &error) {
            // The record of another writer, or of a daemon of another version, which can still contact this one.
            logEvent(Event::ObjectInvalid, {{"kind", object.kind}, {"name", object.name}, {"cause", error.what()}});
        }
    }

    void handleCrash(const StoredObject &object)
    {
        if (m_ownCrashes.count(object.name) > 0) {
            return;
        }
        try {
            m_output.notifyCrash(parseCrash(object).fingerprint);
        } catch (const Exception &error) {
            logEvent(Event::ObjectInvalid, {{"kind", object.kind}, {"name", object.name}, {"cause", error.what()}});
        }
    }

    void send(std::vector<OutgoingGossip> messages)
    {
        if (!messages.empty()) {
            m_output.sendGossip(std::move(messages));
        }
    }

    /// @param from the peer that sent the changed objects, or FROM_STORE
    void publishChanges(const std::string &from = {})
    {
        for (const MemberChange &change : m_membership.takeMemberChanges()) {
            logEvent(eventOf(change.state), {{"member", change.node}});
            m_changed = true;
        }
        for (const StoredObject &object : m_membership.takeObjectChanges()) {
            if (object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Crash)) {
                handleCrash(object);
                continue;
            }
            m_builder.apply(object);
            logEvent(
                Event::ObjectApplied,
                {{"kind", object.kind}, {"name", object.name}, {"version", object.version.revision}, {"from", from}});
            m_changed = true;
            m_configured = true;
            m_config = nullptr;
        }
        if (!m_changed) {
            return;
        }
        m_changed = false;
        auto view = std::make_shared<FleetView>();
        if (!m_config) {
            m_config = m_builder.build();
        }
        view->config = m_config;
        view->self = m_membership.self();
        view->members = m_membership.members();
        view->registered = m_registered;
        view->upstreams = listUpstreams(view->members, m_membership.self());
        view->configured = m_configured && (!m_needsBundle || m_config->routeCount() > 0);
        m_view = view;
        m_output.publish(m_view);
        updateStandbyPlace();
        updateProofs();
    }

    void updateProofs()
    {
        ProofExchange *proofs = m_membership.proofs();
        if (!proofs) {
            return;
        }
        proofs->setWatchers(watcherKeys());
        proofs->setNeeded(hasOrganisations(*m_view->config));
        proofs->freshness().setWatcher(watches());
        proofs->freshness().setApplied(bundleVersion(*m_view->config));
    }

    bool m_needsBundle;
    ProofReport m_proofReport;
    SteadyClock m_clock;
    SystemRandom m_random;
    std::map<std::uint64_t, Millis> m_deadSince; ///< by the low half of the incarnation
    std::set<std::uint64_t> m_removedRecords;
    std::optional<bool> m_lastWatchRole;
    std::optional<std::size_t> m_standbyPlace;
    Millis m_replacesUntil;
    bool m_replacesWatchers = false; ///< whether this node watches as a standby
    std::vector<Seed> m_seeds;
    std::shared_ptr<const RegisteredHosts> m_registered;
    Membership m_membership;
    MemberActorOutput m_output;
    ConfigBuilder m_builder;
    std::shared_ptr<const ConfigSnapshot> m_config; ///< null when objects have changed since it was built
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>(); ///< the last published one
    std::set<std::string> m_ownCrashes;
    bool m_changed = true;
    bool m_configured = false;
};

} // namespace

caf::behavior memberActor(caf::event_based_actor *self, const DaemonSettings &settings, Incarnation incarnation,
                          const MemberActorOutput &output)
{
    auto driver = std::make_shared<MemberDriver>(settings, incarnation, output);
    auto store = std::make_shared<caf::actor>();
    auto wakeAt = std::make_shared<Millis>(-1);
    // Schedules the next tick after each step. A tick left over from an earlier schedule is harmless.
    const auto finishStep = [driver, store, wakeAt, self] {
        driver->reportProof();
        const Millis now = SteadyClock().now();
        const Millis due = now + driver->untilDue();
        if (*wakeAt <= now || due + MIN_SLEEP < *wakeAt) {
            *wakeAt = due;
            self->delayed_send(self, std::chrono::microseconds(static_cast<std::int64_t>((due - now).value * 1000)),
                               TickDue{});
        }
        if (*store) {
            if (const auto watches = driver->takeWatchRoleChange()) {
                self->send(*store, WatchRole{*watches});
            }
        }
    };
    self->send(self, TickDue{});
    return {
        [driver, finishStep](TickDue) {
            driver->tick();
            finishStep();
        },
        [store, finishStep](const caf::actor &handle) {
            *store = handle;
            finishStep();
        },
        [driver, finishStep](const GossipReceived &received) {
            driver->receive(*received.message);
            finishStep();
        },
        [driver, finishStep](const UpstreamsChanged &change) {
            driver->setUpstreams(change.upstreams);
            finishStep();
        },
        [driver, finishStep](const CrashReported &crash) {
            driver->reportCrash(crash.fingerprint);
            finishStep();
        },
        [driver, finishStep](LeaveRequested) {
            driver->leave();
            finishStep();
        },
        [driver, finishStep](const StoreReachability &reachability) {
            driver->setSeesPlatform(reachability.reachable);
            finishStep();
        },
        [driver, finishStep](const StoreProved &proved) {
            driver->addProof(proved.proof);
            finishStep();
        },
        [driver, finishStep](const StoreChanged &change) {
            driver->applyObjects(change.objects);
            finishStep();
        },
    };
}

} // namespace mustardpond
