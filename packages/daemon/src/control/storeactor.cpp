#include "storeactor.h"

#include "noderecord.h"
#include "storeeras.h"
#include "storeproofs.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace mustardpond {

namespace {

constexpr Millis WATCH_TIMEOUT{2500}; ///< short, since a watch on a silent connection never answers
constexpr double STRICT_WATCH_SHARE =
    0.2; ///< of the maximum age of a proof, which an answer proves from its question on
constexpr std::chrono::milliseconds NEXT_STEP_DELAY{1};
constexpr std::chrono::milliseconds OUTAGE_RETRY_DELAY{500};

class StoreDriver
{
public:
    StoreDriver(const DaemonSettings &settings, Incarnation incarnation, std::unique_ptr<ObjectStore> store,
                caf::actor members, RestoreHandler restore)
        : m_settings(settings)
        , m_incarnation(incarnation)
        , m_store(std::move(store))
        , m_members(std::move(members))
        , m_restore(std::move(restore))
    {
    }

    /// Does one blocking step. Returns the delay until the next one, or nothing if none is due.
    std::optional<std::chrono::milliseconds> step()
    {
        try {
            registerNode();
            if (!m_listed) {
                const Millis askedAt = m_clock.now();
                if (!receive(m_store->list(), 0, askedAt)) {
                    return OUTAGE_RETRY_DELAY;
                }
            } else if (m_watches) {
                const Millis askedAt = m_clock.now();
                const std::uint64_t revision = m_eras.revision();
                receive(m_store->watch(revision, watchTimeout()), revision, askedAt);
            }
            setReachable(true, "");
            if (m_listed && !m_watches) {
                return std::nullopt;
            }
            return NEXT_STEP_DELAY;
        } catch (const StoreOutage &error) {
            setReachable(false, error.what());
        } catch (const std::exception &error) {
            // The answer is not as the platform documents it. The step is retried as after an outage.
            setReachable(false, error.what());
        }
        return OUTAGE_RETRY_DELAY;
    }

    void setWatches(bool watches)
    {
        // A node that resumes the watch has missed changes, so it lists all objects again.
        m_listed = m_listed && (m_watches || !watches);
        m_watches = watches;
    }

    void requestRefusal(const RefusalObject &refusal)
    {
        StoredObject object;
        object.kind = nameOf(OBJECT_KIND_NAMES, ObjectKind::Refusal);
        object.name = refusal.terms.id;
        object.value = toJsonText(refusal);
        try {
            m_store->write(object, 0);
            logEvent(Event::RefusalRequested, {{"refusal", object.name}, {"director", refusal.terms.director}});
        } catch (const Conflict &) {
            // The refusal has already been requested.
        } catch (const std::exception &error) {
            setReachable(false, error.what()); // an exception would end the actor, and with it the watch
        }
    }

private:
    void registerNode()
    {
        if (m_registered) {
            return;
        }
        StoredObject object;
        object.kind = nameOf(OBJECT_KIND_NAMES, ObjectKind::Node);
        object.name = m_settings.node;
        std::uint64_t version = 0;
        std::vector<UpstreamInfo> leaving;
        try {
            const StoredObject stored = m_store->read(object.kind, object.name);
            version = stored.version.revision;
            leaving = leavingUpstreams(stored);
            restore(leaving);
        } catch (const StoreOutage &) {
            throw;
        } catch (const Exception &) {
            version = 0;
        }
        try {
            object.value = nodeRecord(m_settings, m_incarnation, leaving);
            m_store->write(object, version);
            m_registered = true;
        } catch (const Conflict &) {
            // An earlier write was applied but its answer was lost, or another daemon has the same node name. The next
            // step reads the record again.
        }
    }

    /// Hands over the upstream states that an earlier process of this daemon stored.
    void restore(const std::vector<UpstreamInfo> &upstreams) const
    {
        if (!upstreams.empty() && m_restore) {
            m_restore(upstreams);
        }
    }

    /// Returns false if the answer was discarded and all objects must be listed again.
    bool receive(Listing listing, std::uint64_t askedRevision, Millis askedAt)
    {
        const std::uint64_t era = m_eras.era();
        if (!m_eras.accept(listing)) {
            m_listed = false;
            return false;
        }
        if (era != 0 && m_eras.era() != era) {
            logEvent(Event::StoreReturned, {{"era", m_eras.era()}, {"revision", m_eras.revision()}});
        }
        if (!listing.objects.empty() || !m_listed) {
            caf::anon_send(m_members, StoreChanged{listing.objects});
        }
        m_listed = true;
        // The revision that was asked for belongs to the era before.
        prove(listing, m_eras.era() == era ? askedRevision : 0, askedAt);
        return true;
    }

    Millis watchTimeout() const
    {
        const KeySettings &keys = m_settings.keys;
        return keys.strict ? std::min(WATCH_TIMEOUT, keys.maxProofAge * STRICT_WATCH_SHARE) : WATCH_TIMEOUT;
    }

    /// Reports the proof in an answer, after the objects in it.
    void prove(const Listing &listing, std::uint64_t askedRevision, Millis askedAt)
    {
        if (!m_settings.keys.strict) {
            return;
        }
        if (const auto proof = m_proofs.onAnswer(listing, askedRevision, askedAt)) {
            caf::anon_send(m_members, StoreProved{*proof});
        }
    }

    void setReachable(bool reachable, const std::string &cause)
    {
        if (reachable == m_reachable) {
            return;
        }
        m_reachable = reachable;
        caf::anon_send(m_members, StoreReachability{reachable});
        if (reachable) {
            logEvent(Event::StoreReachable, {{"platform", toString(m_settings.platform)}});
        } else {
            logEvent(Event::StoreUnreachable, {{"cause", cause}});
        }
    }

    DaemonSettings m_settings;
    Incarnation m_incarnation;
    std::unique_ptr<ObjectStore> m_store;
    caf::actor m_members;
    RestoreHandler m_restore;
    SteadyClock m_clock;
    StoreProofs m_proofs;
    StoreEras m_eras;
    bool m_listed = false;
    bool m_watches = true;
    bool m_registered = false;
    bool m_reachable = true;
};

} // namespace

caf::behavior storeActor(caf::event_based_actor *self, const StoreActorInput &input)
{
    auto driver = std::make_shared<StoreDriver>(input.settings, input.incarnation, input.openStore(), input.members,
                                                input.restore);
    auto idle = std::make_shared<bool>(false);
    self->send(self, TickDue{});
    return {
        [driver, idle, self](TickDue) {
            const auto delay = driver->step();
            *idle = !delay;
            if (delay) {
                self->delayed_send(self, *delay, TickDue{});
            }
        },
        [driver, idle, self](const WatchRole &role) {
            driver->setWatches(role.watches);
            if (*idle && role.watches) {
                *idle = false;
                self->send(self, TickDue{});
            }
        },
        [driver](const RefusalRequested &request) { driver->requestRefusal(request.refusal); },
    };
}

} // namespace mustardpond
