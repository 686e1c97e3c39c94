/// The actor that runs the gossip protocol and publishes the fleet's view.
#pragma once

#include "config/daemonsettings.h"
#include "controlmessages.h"
#include "membership/membership.h"

#include <functional>

namespace mustardpond {

/// Where the actor's results go; called on the actor's thread.
struct MemberActorOutput {
    std::function<void(std::vector<OutgoingGossip>)> sendGossip;
    std::function<void(std::shared_ptr<const FleetView>)> publish;
    std::function<void(std::uint64_t)> noteCrash;
    std::function<void(const std::string &node, Incarnation incarnation)> removeRecord;
};

/// Behaviour of the actor. Takes GossipReceived, UpstreamsChanged, LeaveRequested, StoreChanged, StoreSeen, CrashSeen
/// and TickDue, and the handle of the store actor, which it tells its duty to watch.
caf::behavior memberActor(caf::event_based_actor *self, const DaemonSettings &settings, Incarnation incarnation,
                          const MemberActorOutput &output);

} // namespace mustardpond
