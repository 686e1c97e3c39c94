#include "memberactor.h"

#include "platformroles.h"

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

constexpr Millis LEAST_SLEEP{2};
constexpr Millis LONGEST_SLEEP{5000};
constexpr Millis FORGET_AFTER{10000}; ///< a dead daemon's record in the store is removed then
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

/// The state of the actor.
class MemberDriver
{
public:
    MemberDriver(const DaemonSettings &settings, Incarnation incarnation, MemberActorOutput output)
        : m_needsBundle(settings.dialect == Dialect::Platform)
        , m_seeds(seedsFrom(settings))
        , m_membership(selfFrom(settings, incarnation), {}, m_random)
        , m_output(std::move(output))
        , m_builder([](const StoredObject &object, const std::string &cause) {
            logEvent(Event::ObjectInvalid,
                     {{"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"cause", cause}});
        })
    {
        m_membership.setSeeds(m_seeds);
    }

    void tick()
    {
        send(m_membership.tick(m_clock.now()));
        removeDead();
        publishChanges();
    }

    /// Time until tick() has something to do.
    Millis untilDue() const
    {
        const Millis left = m_membership.nextDue() - m_clock.now();
        return Millis(std::max(LEAST_SLEEP.value, std::min(LONGEST_SLEEP.value, left.value)));
    }

    void setSeesPlatform(bool sees)
    {
        m_membership.setSeesPlatform(sees);
        m_changed = true;
        publishChanges();
    }

    /// The change of the duty to watch since the last call, if any.
    std::optional<bool> takeDutyChange()
    {
        const bool now = watches();
        if (m_lastDuty == now) {
            return std::nullopt;
        }
        m_lastDuty = now;
        logEvent(Event::WatchChanged, {{"watches", now}});
        return now;
    }

    void receive(const wire::GossipT &message)
    {
        try {
            send(m_membership.receive(message, m_clock.now()));
        } catch (const BadFrame &error) {
            // What came before the bad part holds; comparisons of digests mend the rest.
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

    void takeObjects(const std::vector<StoredObject> &objects)
    {
        for (const StoredObject &object : objects) {
            if (object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Node)) {
                addSeed(object);
            } else {
                m_membership.publishObject(object);
            }
        }
        m_membership.setSeeds(m_seeds);
        m_configured = true;
        m_changed = true;
        publishChanges(FROM_STORE);
    }

    bool watches() const
    {
        return watchesPlatform(m_view->members, m_view->self);
    }

private:
    void removeDead()
    {
        const Millis now = m_clock.now();
        for (const Member &member : m_view->members) {
            if (acceptsRequests(member)) {
                continue;
            }
            const std::uint64_t start = member.incarnation.low;
            const Millis since = m_deadSince.emplace(start, now).first->second;
            const bool due = now - since > FORGET_AFTER && m_removed.count(start) == 0;
            if (due && removesRecordOf(member, m_view->members, m_view->self)) {
                m_removed.insert(start);
                m_output.removeRecord(member.node, member.incarnation);
            }
        }
    }

    void addSeed(const StoredObject &object)
    {
        try {
            const NodeObject node = parseNode(object);
            const bool known = std::any_of(m_seeds.begin(), m_seeds.end(),
                                           [&node](const Seed &seed) { return seed.address == node.inner; });
            if (!known) {
                m_seeds.push_back({node.inner, node.dataCentre});
            }
        } catch (const Exception &) {
            // A node of another version; it can still find this one.
        }
    }

    void takeCrash(const StoredObject &object)
    {
        if (m_ownCrashes.count(object.name) > 0) {
            return;
        }
        try {
            m_output.noteCrash(parseCrash(object).fingerprint);
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

    /// @param from who told of the objects that have changed
    void publishChanges(const std::string &from = {})
    {
        for (const MemberChange &change : m_membership.takeMemberChanges()) {
            logEvent(eventOf(change.state), {{"member", change.node}});
            m_changed = true;
        }
        for (const StoredObject &object : m_membership.takeObjectChanges()) {
            if (object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Crash)) {
                takeCrash(object);
                continue;
            }
            m_builder.apply(object);
            logEvent(Event::ObjectApplied,
                     {{"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"from", from}});
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
        view->upstreams = listUpstreams(view->members, m_membership.self());
        view->configured = m_configured && (!m_needsBundle || m_config->routeCount() > 0);
        m_view = view;
        m_output.publish(m_view);
    }

    bool m_needsBundle;
    SteadyClock m_clock;
    SystemRandom m_random;
    std::map<std::uint64_t, Millis> m_deadSince; ///< by the low half of the incarnation
    std::set<std::uint64_t> m_removed;
    std::optional<bool> m_lastDuty;
    std::vector<Seed> m_seeds;
    Membership m_membership;
    MemberActorOutput m_output;
    ConfigBuilder m_builder;
    std::shared_ptr<const ConfigSnapshot> m_config; ///< null when objects have changed since it was built
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>(); ///< the newest that was published
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
    // After each step, the actor sleeps until its next due time; an earlier wake-up that is left over does no harm.
    const auto settle = [driver, store, wakeAt, self] {
        const Millis now = SteadyClock().now();
        const Millis due = now + driver->untilDue();
        if (*wakeAt <= now || due + LEAST_SLEEP < *wakeAt) {
            *wakeAt = due;
            self->delayed_send(self, std::chrono::microseconds(static_cast<std::int64_t>((due - now).value * 1000)),
                               TickDue{});
        }
        if (*store) {
            if (const auto duty = driver->takeDutyChange()) {
                self->send(*store, WatchDuty{*duty});
            }
        }
    };
    self->send(self, TickDue{});
    return {
        [driver, settle](TickDue) {
            driver->tick();
            settle();
        },
        [store, settle](const caf::actor &handle) {
            *store = handle;
            settle();
        },
        [driver, settle](const GossipReceived &received) {
            driver->receive(*received.message);
            settle();
        },
        [driver, settle](const UpstreamsChanged &change) {
            driver->setUpstreams(change.upstreams);
            settle();
        },
        [driver, settle](const CrashSeen &crash) {
            driver->reportCrash(crash.fingerprint);
            settle();
        },
        [driver, settle](LeaveRequested) {
            driver->leave();
            settle();
        },
        [driver, settle](const StoreSeen &seen) {
            driver->setSeesPlatform(seen.sees);
            settle();
        },
        [driver, settle](const StoreChanged &change) {
            driver->takeObjects(change.objects);
            settle();
        },
    };
}

} // namespace mustardpond
