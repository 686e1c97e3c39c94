/// Stand-in for a backend server with slots, announcements, draining, and gray faults on command. It records each
/// request that it runs, so that tests can check what ran and how often.

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
constexpr Millis SILENCE_DURATION{20000};
constexpr std::size_t ENDLESS_CHUNK_BYTES = 16384;
constexpr Millis LATE_CRASH_DELAY{10}; ///< from closing the connection to the end of the process

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
    std::string onPath; ///< affects only requests whose path contains this text; empty for all
    bool hang = false;
    bool truncate = false;
    std::string endless; ///< "head", "body", "chunk" or "trailer": the part of the answer that does not end
    std::uint64_t lastSilentConnection = 0; ///< connections up to this number are read and never answered
};

std::string digestOf(const std::string &body)
{
    return std::to_string(XXH3_64bits(body.data(), body.size()));
}

/// Counts a running request until the guard is destroyed, also when the request ends with an exception.
class RunningGuard
{
public:
    explicit RunningGuard(unsigned &running)
        : m_running(running)
    {
        ++m_running;
    }
    ~RunningGuard()
    {
        --m_running;
    }
    RunningGuard(const RunningGuard &) = delete;
    RunningGuard &operator=(const RunningGuard &) = delete;

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
        m_newestConnection = std::max(m_newestConnection, connection);
        if (connection <= m_fault.lastSilentConnection) {
            sleepFor(m_context, SILENCE_DURATION, yield);
            throw NoAnswer();
        }
        if (m_running >= m_options.slots) {
            Response overloaded = jsonResponse(http::status::service_unavailable, "{}");
            overloaded.set(http::field::retry_after, "1");
            return overloaded;
        }
        const RunningGuard guard(m_running);
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
        double delayMs = m_options.serviceMs * (0.5 + m_random.uniform());
        delayMs += faulty ? m_fault.extraMs : 0;
        sleepFor(m_context, Millis(delayMs), yield);
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
            writeEndlessAnswer(socket, yield);
        }
        return response;
    }

    void crashIfPoisoned(const Request &request, tcp::socket &socket, const Yield &yield)
    {
        const beast::string_view poison = request["Poison"];
        if (poison == "late-crash") {
            socket.close();
            sleepFor(m_context, LATE_CRASH_DELAY, yield);
        }
        if (!poison.empty()) {
            std::raise(SIGKILL);
        }
    }

    [[noreturn]] static void truncate(Response &response, tcp::socket &socket, const Yield &yield)
    {
        response.prepare_payload();
        std::ostringstream stream;
        stream << response;
        const std::string message = stream.str();
        asio::async_write(socket, asio::buffer(message.data(), message.size() - 1), yield);
        throw NoAnswer();
    }

    /// Returns the bytes of an answer up to the given part.
    static std::string startOfEndless(const std::string &part)
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (part == "head") {
            return "HTTP/1.1 200 OK\r\nFiller: ";
        }
        if (part == "chunk") {
            return chunked + "2;";
        }
        return part == "trailer" ? chunked + "0\r\nFiller: " : "HTTP/1.1 200 OK\r\n\r\n";
    }

    /// Writes until the peer closes the connection; the write error then ends this function.
    [[noreturn]] void writeEndlessAnswer(tcp::socket &socket, const Yield &yield)
    {
        const std::string start = startOfEndless(m_fault.endless);
        asio::async_write(socket, asio::buffer(start), yield);
        const std::string chunk(ENDLESS_CHUNK_BYTES, 'x');
        while (true) {
            asio::async_write(socket, asio::buffer(chunk), yield);
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
        m_fault.lastSilentConnection = document.value("silenceOpen", false) ? m_newestConnection : 0;
        return jsonResponse(http::status::ok, "{}");
    }

    asio::io_context &m_context;
    Options m_options;
    SeededRandom m_random;
    Fault m_fault;
    unsigned m_running = 0;
    std::string m_state = "ready";
    unsigned long long m_newestConnection = 0; ///< highest connection number seen
    std::map<std::string, int> m_runs;
    std::map<std::string, std::string> m_uploads;
};

void startAnnouncing(asio::io_context &context, const Upstream &upstream, const Endpoint &daemon)
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
                // The daemon is unreachable; the next announcement is the retry.
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
    app.add_option("--daemon", options.daemon, "local address of the daemon; without it nothing is announced");
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
        startAnnouncing(context, upstream, parseEndpoint(options.daemon, "daemon"));
    }
    context.run();
}
