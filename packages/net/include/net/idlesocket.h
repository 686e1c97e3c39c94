/// Check of idle keep-alive connections.
#pragma once

#include "net/net.h"

namespace mustardpond {

/// Returns whether the peer has closed an idle connection or has sent unexpected bytes on it.
bool isStale(tcp::socket &socket);

} // namespace mustardpond
