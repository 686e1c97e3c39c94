/// Connections that are kept open between exchanges.
#pragma once

#include "net/net.h"

namespace mustardpond {

/// Whether the peer has closed an idle connection, or has sent bytes out of turn.
bool isStale(tcp::socket &socket);

} // namespace mustardpond
