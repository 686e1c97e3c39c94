/// A daemon's own record in the platform's store.
#pragma once

#include "config/daemonsettings.h"
#include "membership/member.h"

#include <string>
#include <vector>

namespace mustardpond {

/// Returns the record's JSON text, which lists those of the upstreams that are draining or gone.
std::string nodeRecord(const DaemonSettings &settings, Incarnation incarnation,
                       const std::vector<UpstreamInfo> &upstreams);

/// Returns the leaving upstreams that a record lists, up to the first invalid entry.
std::vector<UpstreamInfo> leavingUpstreams(const StoredObject &record);

/// Returns the incarnation of the daemon that wrote a record; empty if the record has none.
std::string incarnationOf(const StoredObject &record);

} // namespace mustardpond
