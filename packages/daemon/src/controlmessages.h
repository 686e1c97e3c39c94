/// Messages between the actors of the control side.
#pragma once

#include "config/objects.h"
#include "config/objectstore.h"
#include "fleetview.h"
#include "membership/member.h"

#include <caf/all.hpp>

#include <memory>
#include <vector>

namespace mustardpond {

/// A periodic wake-up of an actor.
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::WatchDuty)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(mustardpond::CrashSeen)
