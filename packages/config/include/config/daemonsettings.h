/// The daemon's settings, read from its JSON file.
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
/// Parses "address:port". Throws InvalidField for the field.
Endpoint parseEndpoint(const std::string &text, const std::string &field);

struct DaemonLimits {
    std::size_t callerConnections = 4000;
    std::size_t bufferedBodyBytes = MIB; ///< larger bodies are streamed
    std::size_t headBytes = 16 * KIB;
    std::size_t waitingPerSlot = 4; ///< requests that may wait at a gate, per slot of the upstream
    std::size_t operations = 100000; ///< open or finished operations that a gate retains
    Millis operationLifetime{600000};
    Millis callerIdleTimeout{30000};
    Millis shutdownTimeout{30000}; ///< for requests in flight when the daemon is stopped
    std::size_t memoryMb = 256; ///< of the host
    std::size_t bodyBudgetBytes = 0; ///< for bodies, their buffers and responses; 0 for a quarter of the memory
    double bodyMinBytesPerSecond = 1024; ///< of a streamed body, while the caller is waited for
    Millis bodyStallTime{10000}; ///< over which a streamed body must keep to that

    std::size_t bodyBudget() const
    {
        return bodyBudgetBytes > 0 ? bodyBudgetBytes : memoryMb * MIB / 4;
    }
};

/// Which protocol is used with callers, upstreams and the platform: this project's own or the platform's.
enum class Dialect : std::uint8_t { Own, Platform };

constexpr EnumTable<Dialect, 2> DIALECT_NAMES = {{{Dialect::Own, "own"}, {Dialect::Platform, "platform"}}};

/// How failing upstreams are detected, and by which component.
enum class Detection : std::uint8_t {
    Statistical, ///< by routers and gates with sequential tests; suits tens of requests per second at each upstream
    Gates, ///< by gates from the latest few requests; suits a few requests per second at each upstream
};

constexpr EnumTable<Detection, 2> DETECTION_NAMES = {
    {{Detection::Statistical, "statistical"}, {Detection::Gates, "gates"}}};

/// Who decides that a request is refused.
enum class RefusalPolicy : std::uint8_t {
    Director, ///< a named director, in advance; requests are held until there is an approval
    Prompt ///< the router, immediately, if the request cannot be served in time
};

constexpr EnumTable<RefusalPolicy, 2> REFUSAL_POLICY_NAMES = {
    {{RefusalPolicy::Director, "director"}, {RefusalPolicy::Prompt, "prompt"}}};

/// Limits on a service's retries by all daemons together, in any window of the given length.
struct FleetRetryLimits {
    double share = 0.12; ///< retries per request of the service
    double extra = 0; ///< further retries, shared by all daemons
    Millis window{10000};
};

/// How requests with keys of organisations are admitted. Takes effect if the configuration has organisations.
struct KeySettings {
    bool strict = false; ///< whether keys are accepted only with a recent proof that the configuration is the newest
    Millis maxProofAge{5000};
};

/// Tolerance with which quotas of organisations hold over all daemons, in any window of the given length.
struct QuotaSettings {
    Millis window{5000};
    double overage = 0; ///< share of the limit by which it may be exceeded
    double slack = 0; ///< requests by which it may be exceeded in addition
    std::vector<std::string> dataCentres; ///< each has an equal share; empty for the data centre of this daemon alone
};

struct DaemonSettings {
    std::string node;
    std::string region;
    std::string dataCentre;
    Dialect dialect = Dialect::Own;
    RefusalPolicy refusal = RefusalPolicy::Director;
    Detection detection = Detection::Statistical;
    std::string service; ///< of the upstream on this daemon's host; empty if not set
    std::optional<Endpoint> upstream; ///< the only address that an upstream may announce, if set
    std::optional<Endpoint> ready; ///< serves readiness in addition to the local address
    std::optional<Endpoint> metrics; ///< serves metrics in addition to the local address
    FleetRetryLimits retries;
    KeySettings keys;
    QuotaSettings quota;
    Endpoint caller; ///< where callers connect
    Endpoint inner; ///< where other daemons connect
    Endpoint advertisedInner; ///< announced to other daemons; differs from `inner` if the host is behind a relay
    Endpoint local; ///< for announcements of this host's backend servers, and for operators
    std::string bindAddress; ///< source address of connections to other daemons; empty for any
    Endpoint platform;
    std::vector<Endpoint> seeds; ///< inner addresses of other daemons, for starting while the platform is unavailable
    double lateDetectionCost = 1; ///< cost of detecting a failure one second later, in false ejections
    LogFormat logFormat = LogFormat::Text;
    DaemonLimits limits;
};

/// Throws InvalidDocument or InvalidField.
DaemonSettings readDaemonSettings(const std::string &path);
DaemonSettings parseDaemonSettings(const std::string &text, const std::string &source);

} // namespace mustardpond
