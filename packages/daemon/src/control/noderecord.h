/// A daemon's own record in the platform's store.
#pragma once

#include "config/daemonsettings.h"
#include "membership/member.h"

#include <string>
#include <vector>

namespace mustardpond {

/// The record's JSON text.
std::string nodeRecord(const DaemonSettings &settings, Incarnation incarnation,
                       const std::vector<UpstreamInfo> &upstreams);

/// What a record says of upstreams that leave; empty if it cannot be read.
std::vector<UpstreamInfo> upstreamsOf(const StoredObject &record);

/// Which start of a daemon wrote a record; empty if it does not tell.
std::string incarnationOf(const StoredObject &record);

} // namespace mustardpond
