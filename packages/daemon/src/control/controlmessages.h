/// Messages between the actors of the control plane.
#pragma once

#include "config/objects.h"
#include "config/objectstore.h"
#include "decision/configfreshness.h"
#include "fleetview.h"
#include "membership/member.h"

#include <caf/all.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// Wakes an actor for its next step.
struct TickDue {
};

struct GossipReceived {
    std::shared_ptr<const wire::GossipT> message;
};

struct UpstreamsChanged {
    std::vector<UpstreamInfo> upstreams;
};

struct LeaveRequested {
};

/// Objects read from the platform's store.
struct StoreChanged {
    std::vector<StoredObject> objects;
};

/// By an answer of the platform's store, the configuration was this version at that time.
struct StoreProved {
    FreshnessProof proof;
};

/// Whether the platform's store answers this daemon's requests.
struct StoreReachability {
    bool reachable = true;
};

/// Request to store the last announced states of this host's upstreams.
struct RecordRequested {
    std::vector<UpstreamInfo> upstreams;
    std::function<void()> done; ///< called once the record is stored
    std::uint64_t number = 0; ///< increases with each record
    int attempts = 0;
};

/// Request to remove the record of a dead daemon from the store.
struct RemovalRequested {
    std::string node;
    Incarnation incarnation;
    int attempts = 0;
};

/// Request to store a refusal for a director's approval.
struct RefusalRequested {
    RefusalObject refusal;
};

/// An upstream of this host crashed while running the request with this fingerprint.
struct CrashReported {
    std::uint64_t fingerprint = 0;
};

/// Whether this daemon is to watch the platform.
struct WatchRole {
    bool watches = true;
};

} // namespace mustardpond

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::TickDue)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::GossipReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::UpstreamsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::LeaveRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::StoreChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::StoreProved)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RefusalRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::StoreReachability)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RecordRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RemovalRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::WatchRole)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::CrashReported)
