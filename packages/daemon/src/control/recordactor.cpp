#include "noderecord.h"
#include "storeactor.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace mustardpond {

namespace {

constexpr Millis RETRY_DELAY{400};
constexpr int MAX_ATTEMPTS = 25;
constexpr int MAX_REMOVAL_ATTEMPTS = 8; ///< the delay doubles after each

class NodeRecordWriter
{
public:
    explicit NodeRecordWriter(const StoreActorInput &input)
        : m_settings(input.settings)
        , m_incarnation(input.incarnation)
        , m_store(input.openStore())
    {
    }

    /// Returns false if the write must be retried.
    bool write(const std::vector<UpstreamInfo> &upstreams)
    {
        return attempt([&] {
            StoredObject object = readRecord(m_settings.node);
            object.value = nodeRecord(m_settings, m_incarnation, upstreams);
            m_store->write(object, object.version.revision);
        });
    }

    /// Removes the record if the dead incarnation wrote it. Returns false if the removal must be retried.
    bool remove(const std::string &node, Incarnation incarnation)
    {
        return attempt([&] {
            StoredObject object = readRecord(node);
            if (!object.version.isKnown() || incarnationOf(object) != toString(incarnation)) {
                return;
            }
            object.deleted = true;
            m_store->write(object, object.version.revision);
        });
    }

private:
    StoredObject readRecord(const std::string &node)
    {
        StoredObject object;
        object.kind = nameOf(OBJECT_KIND_NAMES, ObjectKind::Node);
        object.name = node;
        try {
            return m_store->read(object.kind, object.name);
        } catch (const StoreOutage &) {
            throw;
        } catch (const Exception &) {
            return object; // no such record
        }
    }

    template <typename Step>
    bool attempt(Step step)
    {
        try {
            step();
            return true;
        } catch (const Conflict &) {
            return false; // another writer changed the record in the meantime
        } catch (const StoreOutage &error) {
            logEvent(Event::StoreUnreachable, {{"cause", error.what()}});
            return false;
        } catch (const std::exception &error) {
            // The answer is not as the platform documents it. An exception would end the actor, and with it all
            // records.
            logEvent(Event::StoreUnreachable, {{"cause", error.what()}});
            return false;
        }
    }

    DaemonSettings m_settings;
    Incarnation m_incarnation;
    std::unique_ptr<ObjectStore> m_store;
};

std::chrono::milliseconds retryDelay(double factor = 1)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(RETRY_DELAY.value * factor));
}

} // namespace

caf::behavior recordActor(caf::event_based_actor *self, const StoreActorInput &input)
{
    auto writer = std::make_shared<NodeRecordWriter>(input);
    auto newestNumber = std::make_shared<std::uint64_t>(0);
    return {
        [writer, newestNumber, self](RecordRequested request) {
            if (request.number < *newestNumber) {
                return; // superseded by a newer record
            }
            *newestNumber = request.number;
            if (writer->write(request.upstreams)) {
                return request.done();
            }
            if (++request.attempts < MAX_ATTEMPTS) {
                self->delayed_send(self, retryDelay(), request);
            }
        },
        [writer, self](RemovalRequested request) {
            if (writer->remove(request.node, request.incarnation)) {
                return;
            }
            const auto delay = retryDelay(std::pow(2, request.attempts));
            if (++request.attempts < MAX_REMOVAL_ATTEMPTS) {
                self->delayed_send(self, delay, request);
            }
        },
    };
}

} // namespace mustardpond
