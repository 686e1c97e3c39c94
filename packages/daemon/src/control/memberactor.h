/// The actor that runs the gossip protocol and publishes views of the fleet.
#pragma once

#include "config/daemonsettings.h"
#include "controlmessages.h"
#include "membership/membership.h"

#include <functional>

namespace mustardpond {

/// Callbacks for the actor's results, called on the actor's thread.
struct MemberActorOutput {
    std::function<void(std::vector<OutgoingGossip>)> sendGossip;
    std::function<void(std::shared_ptr<const FleetView>)> publish;
    std::function<void(const FreshnessProof &)> notifyProof;
    std::function<void(std::uint64_t)> notifyCrash;
    std::function<void(const std::string &node, Incarnation incarnation)> removeRecord;
};

/// Returns the actor's behaviour. Handles GossipReceived, UpstreamsChanged, LeaveRequested, StoreChanged, StoreProved,
/// StoreReachability, CrashReported and TickDue. It also takes the handle of the store actor, to which it then sends
/// WatchRole.
caf::behavior memberActor(caf::event_based_actor *self, const DaemonSettings &settings, Incarnation incarnation,
                          const MemberActorOutput &output);

} // namespace mustardpond
