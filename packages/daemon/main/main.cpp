/// The mustardpond daemon.

#include "daemon.h"
#include "net/httpstore.h"
#include "owndialect.h"
#include "platform/platformdialects.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int EXIT_INVALID_SETTINGS = 2;
constexpr int EXIT_FAILED = 1;
/// Blocks of this size and above are returned to the system when they are freed. Unless it is set, the C library raises
/// the threshold to the size of the largest block that was freed, and memory of bodies stays with the process.
constexpr int LARGE_BLOCK_BYTES = 128 * 1024;

int checkSettings(const std::string &path)
{
    mustardpond::readDaemonSettings(path);
    std::cout << path << ": the settings are valid\n";
    return 0;
}

mustardpond::Dialects ownDialects(const mustardpond::DaemonSettings &settings)
{
    mustardpond::Dialects dialects;
    dialects.caller = std::make_shared<mustardpond::OwnCallerDialect>();
    dialects.upstream = std::make_shared<mustardpond::OwnUpstreamDialect>();
    dialects.announcement = std::make_shared<mustardpond::OwnAnnouncementDialect>();
    dialects.openStore = [platform = settings.platform] {
        return std::make_unique<mustardpond::HttpStore>(platform, mustardpond::STORE_TIMEOUT);
    };
    return dialects;
}

mustardpond::Dialects dialectsFor(const mustardpond::DaemonSettings &settings)
{
    switch (settings.dialect) {
    case mustardpond::Dialect::Platform:
        return mustardpond::platformDialects(settings);
    case mustardpond::Dialect::Own:
        break;
    }
    return ownDialects(settings);
}

int runDaemon(const std::string &path)
{
    const mustardpond::DaemonSettings settings = mustardpond::readDaemonSettings(path);
    mustardpond::openLog(settings.logFormat, settings.node);
    mustardpond::Daemon daemon(settings, path, dialectsFor(settings));
    daemon.run();
    // The graceful stop has completed. Running destructors would wait for the platform's answer to a watch, beyond the
    // grace period, and would unwind the coroutines of connections whose owners no longer exist.
    mustardpond::closeLog();
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGHUP, SIG_IGN); // the settings may change before the daemon handles the signal
    std::signal(SIGPIPE, SIG_IGN); // the reader of standard output may end
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    CLI::App app("mustardpond: router and gate for the backend servers of one host");
    std::string settings;
    std::string checked;
    app.set_version_flag("--version", MUSTARDPOND_VERSION);
    app.add_option("--settings", settings, "JSON file with the daemon's settings")->envname("MUSTARDPOND_SETTINGS");
    app.add_option("--check-settings", checked, "check a settings file and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        if (!checked.empty()) {
            return checkSettings(checked);
        }
        if (settings.empty()) {
            std::cerr << "mustardpond: no settings file given; use --settings FILE\n";
            return EXIT_INVALID_SETTINGS;
        }
        return runDaemon(settings);
    } catch (const mustardpond::Exception &error) {
        mustardpond::logEvent(mustardpond::Event::SettingsInvalid, {{"cause", error.what()}});
        return EXIT_INVALID_SETTINGS;
    } catch (const std::exception &error) {
        std::cerr << "mustardpond: " << error.what() << "\n";
        return EXIT_FAILED;
    }
}
