/// Stand-in for the platform's object API with versions, conditional writes and watches. POST /control switches to
/// outages, slow answers or lost answers.

#include "testing/httpserver.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace mustardpond;
using namespace mustardpond::testing;

namespace {

constexpr Millis WATCH_POLL_INTERVAL{10};

class Platform
{
public:
    explicit Platform(asio::io_context &context)
        : m_context(context)
    {
    }

    Response handle(const Request &request, const Yield &yield)
    {
        const Target target = parseTarget(std::string(request.target()));
        if (target.path == "/control") {
            return control(request);
        }
        ++m_calls;
        if (m_mode == "down") {
            throw NoAnswer();
        }
        if (m_mode == "slow") {
            sleepFor(m_context, m_delay, yield);
        }
        if (target.path == "/v1/watch") {
            return watch(target, yield);
        }
        if (target.path == "/v1/objects") {
            return list(0);
        }
        return object(request, target);
    }

private:
    Response control(const Request &request)
    {
        if (request.method() == http::verb::post) {
            const auto document = nlohmann::json::parse(request.body());
            m_mode = document.value("mode", "up");
            m_delay = Millis(document.value("delayMs", 1000.0));
        }
        return jsonResponse(http::status::ok,
                            nlohmann::json({{"mode", m_mode}, {"calls", m_calls}, {"writes", m_writes}}).dump());
    }

    Response watch(const Target &target, const Yield &yield)
    {
        const auto since = std::stoull(target.parameters.at("since"));
        const Millis end = m_clock.now() + Millis(std::stod(target.parameters.at("timeoutMs")));
        while (m_revision <= since && m_clock.now() < end && m_mode != "down") {
            sleepFor(m_context, WATCH_POLL_INTERVAL, yield);
        }
        if (m_mode == "down") {
            throw NoAnswer();
        }
        return list(since);
    }

    Response list(std::uint64_t since)
    {
        nlohmann::json objects = nlohmann::json::array();
        for (const auto &[key, entry] : m_objects) {
            if (entry.at("version").get<std::uint64_t>() > since) {
                objects.push_back(entry);
            }
        }
        return jsonResponse(http::status::ok, nlohmann::json({{"revision", m_revision}, {"objects", objects}}).dump());
    }

    Response object(const Request &request, const Target &target)
    {
        const std::string prefix = "/v1/objects/";
        const std::string key = target.path.substr(std::min(prefix.size(), target.path.size()));
        const auto slash = key.find('/');
        if (slash == std::string::npos) {
            return jsonResponse(http::status::not_found, "{}");
        }
        const auto entry = m_objects.find(key);
        const bool exists = entry != m_objects.end() && !entry->second.value("deleted", false);
        if (request.method() == http::verb::get) {
            return exists ? jsonResponse(http::status::ok, entry->second.dump())
                          : jsonResponse(http::status::not_found, "{}");
        }
        const std::uint64_t current = exists ? entry->second.at("version").get<std::uint64_t>() : 0;
        if (std::stoull(target.parameters.at("ifVersion")) != current) {
            const nlohmann::json absent = {
                {"kind", key.substr(0, slash)}, {"name", key.substr(slash + 1)}, {"version", 0}};
            return jsonResponse(http::status::conflict, exists ? entry->second.dump() : absent.dump());
        }
        ++m_writes;
        m_objects[key] = {{"kind", key.substr(0, slash)},
                          {"name", key.substr(slash + 1)},
                          {"version", ++m_revision},
                          {"deleted", request.method() == http::verb::delete_},
                          {"value", request.body()}};
        if (m_mode == "lose-answers") {
            throw NoAnswer();
        }
        return jsonResponse(http::status::ok, nlohmann::json({{"version", m_revision}}).dump());
    }

    asio::io_context &m_context;
    SteadyClock m_clock;
    std::map<std::string, nlohmann::json> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
    std::string m_mode = "up";
    Millis m_delay{1000};
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the platform's object API");
    std::string listen;
    app.add_option("--listen", listen, "address:port")->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    Platform platform(context);
    HttpServer server(
        context, parseEndpoint(listen, "listen"),
        [&](const Request &request, tcp::socket &, const Yield &yield) { return platform.handle(request, yield); });
    server.start();
    context.run();
}
