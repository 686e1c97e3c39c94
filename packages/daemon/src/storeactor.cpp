#include "storeactor.h"

#include "net/httpstore.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace mustardpond {

namespace {

constexpr Millis CALL_TIMEOUT{2000};
constexpr Millis WATCH_TIMEOUT{2000};
constexpr std::chrono::milliseconds SOON{1};
constexpr std::chrono::milliseconds IDLE_PERIOD{500};
constexpr std::chrono::milliseconds OUTAGE_PAUSE{500};

class StoreDriver
{
public:
    StoreDriver(const DaemonSettings &settings, caf::actor members)
        : m_settings(settings)
        , m_store(settings.platform, CALL_TIMEOUT)
        , m_members(std::move(members))
    {
    }

    /// Does one blocking step. Returns the time until the next.
    std::chrono::milliseconds step()
    {
        try {
            registerNode();
            if (!m_listed) {
                takeOver(m_store.list());
                m_listed = true;
            } else if (m_watches) {
                takeOver(m_store.watch(m_revision, WATCH_TIMEOUT));
            }
            note(true, "");
            return m_watches ? SOON : IDLE_PERIOD;
        } catch (const StoreOutage &error) {
            note(false, error.what());
            return OUTAGE_PAUSE;
        }
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
            m_store.write(object, 0);
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
        object.value = nlohmann::json({{"inner", toString(m_settings.advertisedInner)},
                                       {"local", toString(m_settings.local)},
                                       {"dataCentre", m_settings.dataCentre},
                                       {"region", m_settings.region}})
                           .dump();
        std::uint64_t version = 0;
        try {
            version = m_store.read(object.kind, object.name).version;
        } catch (const StoreOutage &) {
            throw;
        } catch (const Exception &) {
            version = 0;
        }
        try {
            m_store.write(object, version);
            m_registered = true;
        } catch (const Conflict &) {
            // A write whose answer was lost, or a twin; the next step reads again.
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
        if (reachable) {
            logEvent(Event::StoreReachable, {{"platform", toString(m_settings.platform)}});
        } else {
            logEvent(Event::StoreUnreachable, {{"cause", cause}});
        }
    }

    DaemonSettings m_settings;
    HttpStore m_store;
    caf::actor m_members;
    std::uint64_t m_revision = 0;
    bool m_listed = false;
    bool m_watches = true;
    bool m_registered = false;
    bool m_reachable = true;
};

} // namespace

caf::behavior storeActor(caf::event_based_actor *self, const DaemonSettings &settings, const caf::actor &members)
{
    auto driver = std::make_shared<StoreDriver>(settings, members);
    self->send(self, TickDue{});
    return {
        [driver, self](TickDue) { self->delayed_send(self, driver->step(), TickDue{}); },
        [driver](const WatchDuty &duty) { driver->setWatches(duty.watches); },
        [driver](const RefusalWanted &wanted) { driver->requestRefusal(wanted.refusal); },
    };
}

} // namespace mustardpond
