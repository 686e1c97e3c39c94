/// Stand-in for a backend server: slots, announcements, drain, and gray faults on command. It records each request
/// that it runs, so that a test can judge what ran and how often.

#include "testing/httpserver.h"

#include "foundation/random.h"
#include "net/httpcall.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace mustardpond;
using namespace mustardpond::testing;

namespace {

constexpr std::chrono::milliseconds ANNOUNCE_PERIOD{1000};
constexpr Millis ANNOUNCE_TIMEOUT{800};
constexpr Millis SILENCE{20000};
constexpr std::size_t ENDLESS_PIECE_BYTES = 16384;
constexpr Millis LATE_CRASH{10}; ///< from the end of the connection to that of the process

struct Options {
    std::string id;
    std::string service;
    std::string listen;
    std::string daemon;
    unsigned slots = 5;
    double serviceMs = 3;
};

struct Fault {
    double extraMs = 0;
    double errorShare = 0;
    std::string onPath; ///< only requests whose path holds this text; empty for all
    bool hang = false;
    bool truncate = false;
    std::string endless; ///< "head" or "body": the part of the answer that does not end
    std::uint64_t silentUpTo = 0; ///< connections up to this number are read and never answered
};

std::string digestOf(const std::string &body)
{
    return std::to_string(XXH3_64bits(body.data(), body.size()));
}

/// Counts a run while it lasts, however it ends.
class RunningCount
{
public:
    explicit RunningCount(unsigned &running)
        : m_running(running)
    {
        ++m_running;
    }
    ~RunningCount()
    {
        --m_running;
    }
    RunningCount(const RunningCount &) = delete;
    RunningCount &operator=(const RunningCount &) = delete;

private:
    unsigned &m_running;
};

class Upstream
{
public:
    Upstream(asio::io_context &context, const Options &options)
        : m_context(context)
        , m_options(options)
        , m_random(XXH64(options.id.data(), options.id.size(), 0))
    {
    }

    Response handle(const Request &request, tcp::socket &socket, const Yield &yield)
    {
        const Target target = parseTarget(std::string(request.target()));
        if (target.path == "/-/fault") {
            return setFault(request);
        }
        if (target.path == "/-/records") {
            const nlohmann::json records = {{"runs", m_runs}, {"uploads", m_uploads}, {"running", m_running}};
            return jsonResponse(http::status::ok, records.dump());
        }
        if (target.path == "/-/state") {
            m_state = request.body();
            return jsonResponse(http::status::ok, "{}");
        }
        const auto connection = std::stoull(std::string(request[CONNECTION_NUMBER_FIELD]));
        m_lastConnection = std::max(m_lastConnection, connection);
        if (connection <= m_fault.silentUpTo) {
            sleepFor(m_context, SILENCE, yield);
            throw NoAnswer();
        }
        if (m_running >= m_options.slots) {
            Response shed = jsonResponse(http::status::service_unavailable, "{}");
            shed.set(http::field::retry_after, "1");
            return shed;
        }
        const RunningCount count(m_running);
        return run(request, target, socket, yield);
    }

    std::string announcement() const
    {
        return nlohmann::json({{"id", m_options.id},
                               {"service", m_options.service},
                               {"address", m_options.listen},
                               {"state", m_state},
                               {"slots", m_options.slots}})
            .dump();
    }

private:
    Response run(const Request &request, const Target &target, tcp::socket &socket, const Yield &yield)
    {
        const std::string mark(request["Mark"]);
        ++m_runs[mark];
        crashIfPoisoned(request, socket, yield);
        const bool faulty = m_fault.onPath.empty() || target.path.find(m_fault.onPath) != std::string::npos;
        double time = m_options.serviceMs * (0.5 + m_random.uniform());
        time += faulty ? m_fault.extraMs : 0;
        sleepFor(m_context, Millis(time), yield);
        while (faulty && m_fault.hang) {
            sleepFor(m_context, Millis(100), yield);
        }
        if (faulty && m_random.uniform() < m_fault.errorShare) {
            return jsonResponse(http::status::internal_server_error, R"({"error":"fault"})");
        }
        const std::string digest = digestOf(request.body());
        if (request.method() == http::verb::put) {
            m_uploads[mark] = digest;
        }
        Response response(http::status::ok, 11);
        response.set("Mark", mark);
        response.set("Digest-Seen", digest);
        const auto bytes = target.parameters.find("bytes");
        const std::size_t size = bytes == target.parameters.end() ? 0 : std::stoul(bytes->second);
        response.body() = mark + ":";
        response.body().append(size, 'x');
        if (faulty && m_fault.truncate) {
            truncate(response, socket, yield);
        }
        if (faulty && !m_fault.endless.empty()) {
            writeForever(socket, yield);
        }
        return response;
    }

    void crashIfPoisoned(const Request &request, tcp::socket &socket, const Yield &yield)
    {
        const beast::string_view poison = request["Poison"];
        if (poison == "late-crash") {
            socket.close();
            sleepFor(m_context, LATE_CRASH, yield);
        }
        if (!poison.empty()) {
            std::raise(SIGKILL);
        }
    }

    [[noreturn]] static void truncate(Response &response, tcp::socket &socket, const Yield &yield)
    {
        response.prepare_payload();
        std::ostringstream text;
        text << response;
        const std::string whole = text.str();
        asio::async_write(socket, asio::buffer(whole.data(), whole.size() - 1), yield);
        throw NoAnswer();
    }

    /// Ends with an exception, when the other end has closed the connection.
    [[noreturn]] void writeForever(tcp::socket &socket, const Yield &yield)
    {
        const std::string start = m_fault.endless == "head" ? "HTTP/1.1 200 OK\r\nFiller: " : "HTTP/1.1 200 OK\r\n\r\n";
        asio::async_write(socket, asio::buffer(start), yield);
        const std::string piece(ENDLESS_PIECE_BYTES, 'x');
        while (true) {
            asio::async_write(socket, asio::buffer(piece), yield);
        }
    }

    Response setFault(const Request &request)
    {
        const auto document = nlohmann::json::parse(request.body());
        m_fault.extraMs = document.value("extraMs", 0.0);
        m_fault.errorShare = document.value("errorShare", 0.0);
        m_fault.onPath = document.value("onPath", "");
        m_fault.hang = document.value("hang", false);
        m_fault.truncate = document.value("truncate", false);
        m_fault.endless = document.value("endless", "");
        m_fault.silentUpTo = document.value("silenceOpen", false) ? m_lastConnection : 0;
        return jsonResponse(http::status::ok, "{}");
    }

    asio::io_context &m_context;
    Options m_options;
    SeededRandom m_random;
    Fault m_fault;
    unsigned m_running = 0;
    std::string m_state = "ready";
    unsigned long long m_lastConnection = 0; ///< number of the newest
    std::map<std::string, int> m_runs;
    std::map<std::string, std::string> m_uploads;
};

void announceForever(asio::io_context &context, const Upstream &upstream, const Endpoint &daemon)
{
    asio::spawn(context, [&context, &upstream, daemon](const Yield &yield) {
        while (true) {
            try {
                beast::tcp_stream stream(context);
                stream.expires_after(toDuration(ANNOUNCE_TIMEOUT));
                stream.async_connect(tcp::endpoint(asio::ip::make_address(daemon.address), daemon.port), yield);
                http::request<http::string_body> request(http::verb::post, "/announce", 11);
                request.body() = upstream.announcement();
                request.keep_alive(false);
                request.prepare_payload();
                http::async_write(stream, request, yield);
                beast::flat_buffer buffer;
                Response response;
                http::async_read(stream, buffer, response, yield);
            } catch (const boost::system::system_error &) {
                // The daemon is away; the next announcement tries again.
            }
            sleepFor(context, Millis(ANNOUNCE_PERIOD.count()), yield);
        }
    });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for a backend server");
    Options options;
    app.add_option("--id", options.id)->required();
    app.add_option("--service", options.service)->required();
    app.add_option("--listen", options.listen)->required();
    app.add_option("--daemon", options.daemon, "local address of the daemon; none announces nothing");
    app.add_option("--slots", options.slots);
    app.add_option("--service-ms", options.serviceMs);
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    Upstream upstream(context, options);
    HttpServer server(context, parseEndpoint(options.listen, "listen"),
                      [&](const Request &request, tcp::socket &socket, const Yield &yield) {
                          return upstream.handle(request, socket, yield);
                      });
    server.start();
    if (!options.daemon.empty()) {
        announceForever(context, upstream, parseEndpoint(options.daemon, "daemon"));
    }
    context.run();
}
