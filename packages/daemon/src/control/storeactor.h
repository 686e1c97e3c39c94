/// The actor that registers this daemon with the platform's store, lists it and watches it.
#pragma once

#include "config/daemonsettings.h"
#include "controlmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace mustardpond {

/// Receives what an earlier start of this daemon kept of its upstreams; called on the actor's thread.
using RestoreHandler = std::function<void(const std::vector<UpstreamInfo> &)>;

struct StoreActorInput {
    DaemonSettings settings;
    Incarnation incarnation;
    std::function<std::unique_ptr<ObjectStore>()> openStore;
    caf::actor members;
    RestoreHandler restore;
};

/// Behaviour of the actor, which blocks its thread while it waits. Takes WatchDuty, RefusalWanted and TickDue.
caf::behavior storeActor(caf::event_based_actor *self, const StoreActorInput &input);

/// Behaviour of the actor that keeps records in the store beside the watch. Takes RecordWanted and RemovalWanted.
caf::behavior recordActor(caf::event_based_actor *self, const StoreActorInput &input);

} // namespace mustardpond
