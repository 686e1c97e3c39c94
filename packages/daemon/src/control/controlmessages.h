/// Messages between the actors of the control side.
#pragma once

#include "config/objects.h"
#include "config/objectstore.h"
#include "fleetview.h"
#include "membership/member.h"

#include <caf/all.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// A wake-up of an actor.
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

/// Objects as the platform holds them.
struct StoreChanged {
    std::vector<StoredObject> objects;
};

/// Whether the platform's store answers this daemon.
struct StoreSeen {
    bool sees = true;
};

/// What upstreams of this host last said is to be kept in the store.
struct RecordWanted {
    std::vector<UpstreamInfo> upstreams;
    std::function<void()> done; ///< called when the store has it
    std::uint64_t number = 0; ///< grows with each record
    int tries = 0;
};

/// The record of a daemon that is dead is to be removed from the store.
struct RemovalWanted {
    std::string node;
    Incarnation incarnation;
    int tries = 0;
};

struct RefusalWanted {
    RefusalObject refusal;
};

/// A request was running when an upstream of this host crashed.
struct CrashSeen {
    std::uint64_t fingerprint = 0;
};

/// Which members share the work of watching the platform.
struct WatchDuty {
    bool watches = true;
};

} // namespace mustardpond

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::TickDue)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::GossipReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::UpstreamsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::LeaveRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::StoreChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RefusalWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::StoreSeen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RecordWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::RemovalWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::WatchDuty)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::CrashSeen)
