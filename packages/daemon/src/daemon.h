/// The daemon: its services, the reload of its settings and its graceful stop.
#pragma once

#include "config/daemonsettings.h"
#include "controlplane.h"
#include "dialects.h"
#include "gate.h"
#include "localendpoint.h"
#include "quotalender.h"
#include "router.h"

#include "foundation/kernel.h"

#include <boost/asio/signal_set.hpp>

namespace mustardpond {

class Daemon
{
public:
    /// @param path the settings file, which is read again when it changes
    Daemon(DaemonSettings settings, std::string path, const Dialects &dialects);
    /// Runs until a graceful stop has completed. Throws boost::system::system_error if an address cannot be used.
    void run();

private:
    void stopGracefully(const Yield &yield);
    void waitForReloadSignal();
    void watchSettings(const Yield &yield);
    void reload();

    DaemonSettings m_settings;
    std::string m_path;
    std::string m_settingsText; ///< as last read
    asio::io_context m_context{1};
    SteadyClock m_clock;
    SystemRandom m_random;
    Incarnation m_incarnation;
    Kernel m_kernel;
    asio::signal_set m_signals;
    asio::signal_set m_hangup;
};

} // namespace mustardpond
