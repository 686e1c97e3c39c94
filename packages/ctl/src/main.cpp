/// mustardctl, the command-line client for operators: objects of the platform, decisions on refusals, and reports.

#include "burncommand.h"
#include "objectcommands.h"
#include "statuscommands.h"

#include "foundation/errors.h"
#include "net/httpstore.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace mustardpond;

constexpr Millis STORE_TIMEOUT{3000};
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_INVALID = 2;
constexpr int EXIT_CONFLICT = 3;
constexpr int EXIT_OUTAGE = 4;

struct Arguments {
    std::string platform = "127.0.0.1:7400";
    std::vector<std::string> daemons;
    bool json = false;
    std::string htmlPath; ///< output file for the burn report as HTML; empty for none
    std::string kind;
    std::string name;
    std::string file;
    std::vector<std::string> assignments;
    RefusalDecision decision;
};

int exitCodeFor(const Exception &error)
{
    switch (error.kind()) {
    case ErrorKind::InvalidField:
    case ErrorKind::InvalidDocument:
        return EXIT_INVALID;
    case ErrorKind::Conflict:
        return EXIT_CONFLICT;
    case ErrorKind::StoreOutage:
        return EXIT_OUTAGE;
    default:
        return EXIT_FAILED;
    }
}

std::vector<Endpoint> selectDaemons(const Arguments &arguments, ObjectStore &store)
{
    std::vector<Endpoint> daemons;
    for (const std::string &daemon : arguments.daemons) {
        daemons.push_back(parseEndpoint(daemon, "--daemon"));
    }
    return daemons.empty() ? findDaemons(store) : daemons;
}

void runRefusalCommand(Arguments &arguments, ObjectStore &store, RefusalState state)
{
    arguments.decision.state = state;
    updateRefusal(store, arguments.decision);
}

void addObjectCommands(CLI::App &app, Arguments &arguments, ObjectStore &store)
{
    auto *get = app.add_subcommand("get", "show the objects of a kind, or one of them");
    get->add_option("kind", arguments.kind, "class, service, route, director, refusal or node")->required();
    get->add_option("name", arguments.name);
    get->callback([&] { printObjects(store, validateKind(arguments.kind), arguments.name, arguments.json); });

    auto *set = app.add_subcommand("set", "set fields of an object; fails if the object is changed concurrently");
    set->add_option("kind", arguments.kind)->required();
    set->add_option("name", arguments.name)->required();
    set->add_option("assignments", arguments.assignments, "field=value ...")->required();
    set->callback([&] { changeObject(store, {validateKind(arguments.kind), arguments.name, arguments.assignments}); });

    auto *apply = app.add_subcommand("apply", "write all objects of a file, or none if one of them is invalid");
    apply->add_option("file", arguments.file, "JSON list of {kind, name, value}")->required();
    apply->callback([&] { applyFile(store, arguments.file); });
}

void addRefusalCommands(CLI::App &app, Arguments &arguments, ObjectStore &store)
{
    auto *list = app.add_subcommand("refusals", "show requested, approved and withdrawn refusals");
    list->callback([&] { printObjects(store, "refusal", "", arguments.json); });

    auto *approve = app.add_subcommand("approve", "approve a refusal, as its director");
    approve->add_option("id", arguments.decision.id)->required();
    approve->add_option("--director", arguments.decision.director)->required();
    approve->add_option("--minutes", arguments.decision.minutes, "validity of the approval in minutes");
    approve->callback([&] { runRefusalCommand(arguments, store, RefusalState::Approved); });

    auto *withdraw = app.add_subcommand("withdraw", "end a refusal, as its director");
    withdraw->add_option("id", arguments.decision.id)->required();
    withdraw->add_option("--director", arguments.decision.director)->required();
    withdraw->callback([&] { runRefusalCommand(arguments, store, RefusalState::Withdrawn); });
}

void addReportCommands(CLI::App &app, Arguments &arguments, ObjectStore &store)
{
    auto *status =
        app.add_subcommand("status", "show each node's view of the members, their upstreams and reduced weights");
    status->callback([&] { printStatus(selectDaemons(arguments, store), arguments.json); });

    auto *burn = app.add_subcommand("burn", "show the burn rate of each class of work");
    burn->add_option("--html", arguments.htmlPath, "also write the report to this file, as an HTML page");
    burn->callback([&] { printBurnReport(selectDaemons(arguments, store), arguments.json, arguments.htmlPath); });
}

/// Store at the --platform address. Reads the address on each call, because the option is parsed after construction.
class SelectedStore : public ObjectStore
{
public:
    explicit SelectedStore(const std::string &endpoint)
        : m_endpoint(endpoint)
    {
    }
    Listing list() override
    {
        return store().list();
    }
    StoredObject read(const std::string &kind, const std::string &name) override
    {
        return store().read(kind, name);
    }
    std::uint64_t write(const StoredObject &object, std::uint64_t version) override
    {
        return store().write(object, version);
    }
    Listing watch(std::uint64_t revision, Millis timeout) override
    {
        return store().watch(revision, timeout);
    }

private:
    HttpStore store() const
    {
        return {parseEndpoint(m_endpoint, "--platform"), STORE_TIMEOUT};
    }
    const std::string &m_endpoint;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("mustardctl: command-line client for operators of mustardpond");
    Arguments arguments;
    SelectedStore store(arguments.platform);
    app.set_version_flag("--version", MUSTARDPOND_VERSION);
    app.add_option("--platform", arguments.platform, "address:port of the platform's object API")
        ->envname("MUSTARDPOND_PLATFORM");
    app.add_option("--daemon", arguments.daemons, "local address of a daemon; default: all registered daemons");
    app.add_flag("--json", arguments.json, "print JSON");
    app.require_subcommand(1);
    app.fallthrough();
    app.footer("exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict, 4 the platform does not answer");
    addObjectCommands(app, arguments, store);
    addRefusalCommands(app, arguments, store);
    addReportCommands(app, arguments, store);
    try {
        app.parse(argc, argv);
        return 0;
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : EXIT_INVALID;
    } catch (const Conflict &error) {
        std::cerr << "mustardctl: " << error.what() << "\n  the store holds: " << error.currentValue() << "\n";
        return EXIT_CONFLICT;
    } catch (const Exception &error) {
        std::cerr << "mustardctl: " << error.what() << "\n";
        return exitCodeFor(error);
    }
}
