#include "storeactor.h"

#include "noderecord.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace mustardpond {

namespace {

constexpr Millis WATCH_TIMEOUT{2500}; ///< short, since a watch on a connection gone silent never answers
constexpr std::chrono::milliseconds SOON{1};
constexpr std::chrono::milliseconds OUTAGE_PAUSE{500};

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

    /// Does one blocking step. Returns the time until the next, or nothing when there is nothing to do.
    std::optional<std::chrono::milliseconds> step()
    {
        try {
            registerNode();
            if (!m_listed) {
                takeOver(m_store->list());
                m_listed = true;
            } else if (m_watches) {
                takeOver(m_store->watch(m_revision, WATCH_TIMEOUT));
            }
            note(true, "");
            if (m_listed && !m_watches) {
                return std::nullopt;
            }
            return SOON;
        } catch (const StoreOutage &error) {
            note(false, error.what());
        } catch (const std::exception &error) {
            // What came is not what the platform's pages say; it says so again, or mends itself.
            note(false, error.what());
        }
        return OUTAGE_PAUSE;
    }

    void setWatches(bool watches)
    {
        // A node that takes up the watch again has missed changes and lists them all.
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
            // Somebody asked already.
        } catch (const StoreOutage &error) {
            note(false, error.what());
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
        std::vector<UpstreamInfo> kept;
        try {
            const StoredObject known = m_store->read(object.kind, object.name);
            version = known.version;
            kept = upstreamsOf(known);
            restore(kept);
        } catch (const StoreOutage &) {
            throw;
        } catch (const Exception &) {
            version = 0;
        }
        try {
            object.value = nodeRecord(m_settings, m_incarnation, kept);
            m_store->write(object, version);
            m_registered = true;
        } catch (const Conflict &) {
            // A write whose answer was lost, or a twin; the next step reads again.
        }
    }

    /// An earlier start of this daemon may have kept what upstreams said.
    void restore(const std::vector<UpstreamInfo> &upstreams) const
    {
        if (!upstreams.empty() && m_restore) {
            m_restore(upstreams);
        }
    }

    void takeOver(const Listing &listing)
    {
        m_revision = listing.revision;
        if (!listing.objects.empty() || !m_listed) {
            caf::anon_send(m_members, StoreChanged{listing.objects});
        }
    }

    void note(bool reachable, const std::string &cause)
    {
        if (reachable == m_reachable) {
            return;
        }
        m_reachable = reachable;
        caf::anon_send(m_members, StoreSeen{reachable});
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
    std::uint64_t m_revision = 0;
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
    auto sleeps = std::make_shared<bool>(false);
    self->send(self, TickDue{});
    return {
        [driver, sleeps, self](TickDue) {
            const auto wait = driver->step();
            *sleeps = !wait;
            if (wait) {
                self->delayed_send(self, *wait, TickDue{});
            }
        },
        [driver, sleeps, self](const WatchDuty &duty) {
            driver->setWatches(duty.watches);
            if (*sleeps && duty.watches) {
                *sleeps = false;
                self->send(self, TickDue{});
            }
        },
        [driver](const RefusalWanted &wanted) { driver->requestRefusal(wanted.refusal); },
    };
}

} // namespace mustardpond
