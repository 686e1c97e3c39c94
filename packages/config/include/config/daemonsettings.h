/// A daemon's own settings, from its JSON file.
#pragma once

#include "foundation/bytes.h"
#include "foundation/clock.h"
#include "foundation/events.h"

#include <cstdint>
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
    Millis callerIdle{30000};
    Millis stopGrace{30000}; ///< longest wait for requests in flight at a planned stop
};

struct DaemonSettings {
    std::string node;
    std::string region;
    std::string dataCentre;
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
