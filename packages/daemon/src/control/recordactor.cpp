#include "noderecord.h"
#include "storeactor.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace mustardpond {

namespace {

constexpr Millis RETRY_PAUSE{400};
constexpr int MOST_TRIES = 25;
constexpr int MOST_REMOVAL_TRIES = 8; ///< each after twice the pause of the one before

class RecordKeeper
{
public:
    explicit RecordKeeper(const StoreActorInput &input)
        : m_settings(input.settings)
        , m_incarnation(input.incarnation)
        , m_store(input.openStore())
    {
    }

    /// False when it has to be tried again.
    bool keep(const std::vector<UpstreamInfo> &upstreams)
    {
        return attempt([&] {
            StoredObject object = recordOf(m_settings.node);
            object.value = nodeRecord(m_settings, m_incarnation, upstreams);
            m_store->write(object, object.version);
        });
    }

    /// Removes the record if it still is that of the dead incarnation. False when it has to be tried again.
    bool remove(const std::string &node, Incarnation incarnation)
    {
        return attempt([&] {
            StoredObject object = recordOf(node);
            if (object.version == 0 || incarnationOf(object) != toString(incarnation)) {
                return;
            }
            object.deleted = true;
            m_store->write(object, object.version);
        });
    }

private:
    StoredObject recordOf(const std::string &node)
    {
        StoredObject object;
        object.kind = nameOf(OBJECT_KIND_NAMES, ObjectKind::Node);
        object.name = node;
        try {
            return m_store->read(object.kind, object.name);
        } catch (const StoreOutage &) {
            throw;
        } catch (const Exception &) {
            return object; // there is none
        }
    }

    template <typename Step>
    bool attempt(Step step)
    {
        try {
            step();
            return true;
        } catch (const Conflict &) {
            return false; // somebody else wrote meanwhile
        } catch (const StoreOutage &error) {
            logEvent(Event::StoreUnreachable, {{"cause", error.what()}});
            return false;
        }
    }

    DaemonSettings m_settings;
    Incarnation m_incarnation;
    std::unique_ptr<ObjectStore> m_store;
};

std::chrono::milliseconds retryPause(double factor = 1)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(RETRY_PAUSE.value * factor));
}

} // namespace

caf::behavior recordActor(caf::event_based_actor *self, const StoreActorInput &input)
{
    auto keeper = std::make_shared<RecordKeeper>(input);
    auto newest = std::make_shared<std::uint64_t>(0);
    return {
        [keeper, newest, self](RecordWanted wanted) {
            if (wanted.number < *newest) {
                return; // a later record has been asked for
            }
            *newest = wanted.number;
            if (keeper->keep(wanted.upstreams)) {
                return wanted.done();
            }
            if (++wanted.tries < MOST_TRIES) {
                self->delayed_send(self, retryPause(), wanted);
            }
        },
        [keeper, self](RemovalWanted wanted) {
            if (keeper->remove(wanted.node, wanted.incarnation)) {
                return;
            }
            const auto pause = retryPause(std::pow(2, wanted.tries));
            if (++wanted.tries < MOST_REMOVAL_TRIES) {
                self->delayed_send(self, pause, wanted);
            }
        },
    };
}

} // namespace mustardpond
