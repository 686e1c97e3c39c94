/// The daemon: its services and its planned stop.
#pragma once

#include "config/daemonsettings.h"
#include "controlplane.h"
#include "gate.h"
#include "localendpoint.h"
#include "router.h"

#include "foundation/kernel.h"

#include <boost/asio/signal_set.hpp>

namespace mustardpond {

class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    /// Runs until a planned stop has ended. Throws boost::system::system_error if an address cannot be used.
    void run();

private:
    void stopGracefully(const Yield &yield);

    DaemonSettings m_settings;
    asio::io_context m_context{1};
    SteadyClock m_clock;
    SystemRandom m_random;
    Incarnation m_incarnation;
    Kernel m_kernel;
    asio::signal_set m_signals;
};

} // namespace mustardpond
