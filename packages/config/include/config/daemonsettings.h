/// A daemon's own settings, from its JSON file.
#pragma once

#include "foundation/bytes.h"
#include "foundation/clock.h"
#include "foundation/enumtable.h"
#include "foundation/events.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

std::string toString(const Endpoint &endpoint);
/// Reads "address:port"; throws InvalidField naming the field.
Endpoint parseEndpoint(const std::string &text, const std::string &field);

struct DaemonLimits {
    std::size_t callerConnections = 4000;
    std::size_t bufferedBodyBytes = MIB; ///< larger bodies are streamed
    std::size_t headBytes = 16 * KIB;
    std::size_t waitingPerSlot = 4; ///< requests that may wait at a gate, per slot of the upstream
    std::size_t operations = 100000; ///< open or remembered operations of a gate
    Millis operationLifetime{600000};
    Millis callerIdleTimeout{30000};
    Millis stopGrace{30000}; ///< longest wait for requests in flight at a planned stop
};

/// Whose words callers, upstreams and the platform speak.
enum class Dialect : std::uint8_t { Own, Platform };

constexpr EnumTable<Dialect, 2> DIALECT_NAMES = {{{Dialect::Own, "own"}, {Dialect::Platform, "platform"}}};

/// Who finds failing upstreams.
enum class Detection : std::uint8_t {
    Statistical, ///< routers and gates, by sequential tests; for some tens of requests a second at each upstream
    Gates, ///< the gates, by the newest few requests; for a few requests a second at each upstream
};

constexpr EnumTable<Detection, 2> DETECTION_NAMES = {
    {{Detection::Statistical, "statistical"}, {Detection::Gates, "gates"}}};

/// Who decides that a request is turned away.
enum class RefusalPolicy : std::uint8_t {
    Director, ///< a named director, beforehand; requests are held until then
    Prompt ///< the router, at once, when the request cannot be served in time
};

constexpr EnumTable<RefusalPolicy, 2> REFUSAL_POLICY_NAMES = {
    {{RefusalPolicy::Director, "director"}, {RefusalPolicy::Prompt, "prompt"}}};

/// Bounds of the retries of the whole fleet for a service, in any window of the given length.
struct FleetRetryLimits {
    double share = 0.12; ///< of the service's requests
    double extra = 0; ///< retries besides, shared by all daemons
    Millis window{10000};
};

struct DaemonSettings {
    std::string node;
    std::string region;
    std::string dataCentre;
    Dialect dialect = Dialect::Own;
    RefusalPolicy refusal = RefusalPolicy::Director;
    Detection detection = Detection::Statistical;
    std::string service; ///< of the upstream beside this daemon; empty when it is not told
    std::optional<Endpoint> upstream; ///< the only address that an upstream may announce, if told
    std::optional<Endpoint> ready; ///< where readiness is asked for, besides the local address
    std::optional<Endpoint> metrics; ///< where metrics are asked for, besides the local address
    FleetRetryLimits retries;
    Endpoint caller; ///< where callers connect
    Endpoint inner; ///< where other daemons connect
    Endpoint advertisedInner; ///< what other daemons are told; the same unless the host is behind a relay
    Endpoint local; ///< where backend servers of this host announce themselves, and operators ask
    std::string bindAddress; ///< source address of connections to other daemons; empty for any
    Endpoint platform;
    std::vector<Endpoint> seeds; ///< inner addresses of other daemons, for starts while the platform is out
    double lateDetectionCost = 1; ///< cost of a second of late detection, in false ejections
    LogFormat logFormat = LogFormat::Text;
    DaemonLimits limits;
};

/// Throws InvalidDocument or InvalidField.
DaemonSettings readDaemonSettings(const std::string &path);
DaemonSettings parseDaemonSettings(const std::string &text, const std::string &source);

} // namespace mustardpond
