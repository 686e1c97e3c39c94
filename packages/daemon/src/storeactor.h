/// The actor that talks to the platform. It blocks in its calls and has a thread of its own.
#pragma once

#include "config/daemonsettings.h"
#include "controlmessages.h"

namespace mustardpond {

/// Behaviour of the actor. Takes TickDue, WatchDuty and RefusalWanted; sends StoreChanged to the member actor.
caf::behavior storeActor(caf::event_based_actor *self, const DaemonSettings &settings, const caf::actor &members);

} // namespace mustardpond
