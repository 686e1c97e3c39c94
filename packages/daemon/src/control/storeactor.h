/// The actors that use the platform's store: one registers this daemon and watches the objects, the other writes node
/// records.
#pragma once

#include "config/daemonsettings.h"
#include "controlmessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace mustardpond {

/// Receives the upstream states that an earlier process of this daemon stored. Called on the actor's thread.
using RestoreHandler = std::function<void(const std::vector<UpstreamInfo> &)>;

struct StoreActorInput {
    DaemonSettings settings;
    Incarnation incarnation;
    std::function<std::unique_ptr<ObjectStore>()> openStore;
    caf::actor members;
    RestoreHandler restore;
};

/// Returns the behaviour of the actor that watches the store. It blocks its thread while it waits. Handles WatchRole,
/// RefusalRequested and TickDue.
caf::behavior storeActor(caf::event_based_actor *self, const StoreActorInput &input);

/// Returns the behaviour of the actor that writes and removes node records without waiting for the watch. Handles
/// RecordRequested and RemovalRequested.
caf::behavior recordActor(caf::event_based_actor *self, const StoreActorInput &input);

} // namespace mustardpond
