/// Stand-in for the links between data centres: relays TCP connections with the links' latency, and on command cuts
/// links in one direction or silences the open connections. A loopback address encodes a host's location: 127.1.R.H is
/// host H in data centre R, where the first digit of R is the region. The relay for that host listens on 127.2.R.H.

#include "testing/httpserver.h"

#include "foundation/bytes.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <set>

using namespace mustardpond;
using namespace mustardpond::testing;

namespace {

constexpr Millis SAME_REGION_LATENCY{1};
constexpr Millis OTHER_REGION_LATENCY{8};
constexpr std::size_t CHUNK_BYTES = 64 * KIB;
constexpr Millis CUT_POLL_INTERVAL{20};

struct LinkFaults {
    std::set<std::string> cutPairs; ///< links that drop all data, as "from>to" with addresses 127.1.R.H
    int silenceCount = 0; ///< silence commands so far; each silences the connections open at that time
};

/// Returns the address 127.1.R.H of the host with a loopback address in any 127.x.R.H.
std::string hostAddressOf(const asio::ip::address &address)
{
    auto bytes = address.to_v4().to_bytes();
    bytes[1] = 1;
    return asio::ip::make_address_v4(bytes).to_string();
}

Millis latencyBetween(const asio::ip::address &a, const asio::ip::address &b)
{
    const auto left = a.to_v4().to_bytes();
    const auto right = b.to_v4().to_bytes();
    if (left[2] == right[2]) {
        return Millis(0);
    }
    return left[2] / 10 == right[2] / 10 ? SAME_REGION_LATENCY : OTHER_REGION_LATENCY;
}

/// Forwards the bytes of one direction, delayed by the link's latency.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
    Pipe(asio::io_context &context, std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, Millis latency,
         const LinkFaults &faults, std::string pair)
        : m_context(context)
        , m_from(std::move(from))
        , m_to(std::move(to))
        , m_latency(latency)
        , m_faults(faults)
        , m_pair(std::move(pair))
        , m_silenceCountAtStart(faults.silenceCount)
        , m_wakeTimer(context)
    {
    }

    void start()
    {
        asio::spawn(m_context, [self = shared_from_this()](const Yield &yield) { self->read(yield); });
        asio::spawn(m_context, [self = shared_from_this()](const Yield &yield) { self->write(yield); });
    }

private:
    struct Chunk {
        Millis due;
        std::string bytes;
    };

    bool forwards() const
    {
        return m_faults.cutPairs.count(m_pair) == 0 && m_faults.silenceCount == m_silenceCountAtStart;
    }

    void read(const Yield &yield)
    {
        ErrorCode error;
        std::string bytes(CHUNK_BYTES, '\0');
        while (!error) {
            const std::size_t count = m_from->async_read_some(asio::buffer(bytes), yield[error]);
            if (count > 0 && forwards()) {
                m_chunks.push_back({m_clock.now() + m_latency, bytes.substr(0, count)});
                m_wakeTimer.cancel();
            }
        }
        m_ended = true;
        m_wakeTimer.cancel();
    }

    void write(const Yield &yield)
    {
        ErrorCode error;
        while (!error) {
            if (m_chunks.empty()) {
                if (m_ended) {
                    break;
                }
                m_wakeTimer.expires_after(std::chrono::hours(1));
                ErrorCode ignored;
                m_wakeTimer.async_wait(yield[ignored]);
                continue;
            }
            const Chunk chunk = std::move(m_chunks.front());
            m_chunks.pop_front();
            const Millis wait = chunk.due - m_clock.now();
            if (wait > Millis()) {
                sleepFor(m_context, wait, yield);
            }
            asio::async_write(*m_to, asio::buffer(chunk.bytes), yield[error]);
        }
        if (forwards()) {
            m_to->shutdown(tcp::socket::shutdown_send, error);
        }
    }

    asio::io_context &m_context;
    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    Millis m_latency;
    const LinkFaults &m_faults;
    std::string m_pair;
    int m_silenceCountAtStart;
    SteadyClock m_clock;
    asio::steady_timer m_wakeTimer;
    std::deque<Chunk> m_chunks;
    bool m_ended = false;
};

void relay(asio::io_context &context, const LinkFaults &faults, tcp::socket accepted, const Endpoint &target,
           const Yield &yield)
{
    auto client = std::make_shared<tcp::socket>(std::move(accepted));
    const auto source = client->remote_endpoint().address();
    const auto destination = asio::ip::make_address(target.address);
    const Millis latency = latencyBetween(source, destination);
    const std::string outwardPair = hostAddressOf(source) + ">" + target.address;
    const std::string returnPair = target.address + ">" + hostAddressOf(source);
    while (faults.cutPairs.count(outwardPair) + faults.cutPairs.count(returnPair) > 0) {
        sleepFor(context, CUT_POLL_INTERVAL, yield);
    }
    sleepFor(context, latency * 2, yield);
    auto server = std::make_shared<tcp::socket>(context);
    server->async_connect(tcp::endpoint(destination, target.port), yield);
    client->set_option(tcp::no_delay(true));
    server->set_option(tcp::no_delay(true));
    std::make_shared<Pipe>(context, client, server, latency, faults, outwardPair)->start();
    std::make_shared<Pipe>(context, server, client, latency, faults, returnPair)->start();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the links between data centres");
    std::vector<std::string> hosts;
    std::string control;
    app.add_option("--host", hosts, "inner address of a daemon, 127.1.R.H:port")->required();
    app.add_option("--control", control,
                   "address:port that accepts POST {\"cut\": [\"127.1.R.H>127.1.R.H\"], \"silence\": true}")
        ->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    LinkFaults faults;
    std::vector<std::shared_ptr<Listener>> listeners;
    for (const std::string &host : hosts) {
        const Endpoint target = parseEndpoint(host, "host");
        Endpoint listen = target;
        listen.address.replace(0, 5, "127.2");
        listeners.push_back(
            std::make_shared<Listener>(context, listen, [&, target](tcp::socket socket, const Yield &yield) {
                relay(context, faults, std::move(socket), target, yield);
            }));
        listeners.back()->start();
    }
    HttpServer controlServer(context, parseEndpoint(control, "control"),
                             [&](const Request &request, tcp::socket &, const Yield &) {
                                 const auto document = nlohmann::json::parse(request.body());
                                 faults.cutPairs = document.value("cut", std::set<std::string>());
                                 faults.silenceCount += document.value("silence", false) ? 1 : 0;
                                 return jsonResponse(http::status::ok, "{}");
                             });
    controlServer.start();
    context.run();
}
