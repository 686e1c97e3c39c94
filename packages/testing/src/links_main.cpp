/// Stand-in for the links between data centres: relays TCP connections with the links' latency, and cuts one
/// direction on command. A host's place is read from its loopback address: 127.1.R.H is host H in data centre R,
/// where the first digit of R is the region; the relay of that host listens on 127.2.R.H.

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
constexpr Millis CUT_CHECK{20};

struct Cuts {
    std::set<std::string> pairs; ///< "from>to", each an address 127.1.R.H
    int silences = 0; ///< each makes the connections silent that are open then
};

std::string hostOf(const asio::ip::address &address)
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

/// Carries bytes in one direction, each after the link's latency.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
    Pipe(asio::io_context &context, std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, Millis latency,
         const Cuts &cuts, std::string pair)
        : m_context(context)
        , m_from(std::move(from))
        , m_to(std::move(to))
        , m_latency(latency)
        , m_cuts(cuts)
        , m_pair(std::move(pair))
        , m_silencesBefore(cuts.silences)
        , m_wake(context)
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

    bool carries() const
    {
        return m_cuts.pairs.count(m_pair) == 0 && m_cuts.silences == m_silencesBefore;
    }

    void read(const Yield &yield)
    {
        ErrorCode error;
        std::string bytes(CHUNK_BYTES, '\0');
        while (!error) {
            const std::size_t count = m_from->async_read_some(asio::buffer(bytes), yield[error]);
            if (count > 0 && carries()) {
                m_chunks.push_back({m_clock.now() + m_latency, bytes.substr(0, count)});
                m_wake.cancel();
            }
        }
        m_ended = true;
        m_wake.cancel();
    }

    void write(const Yield &yield)
    {
        ErrorCode error;
        while (!error) {
            if (m_chunks.empty()) {
                if (m_ended) {
                    break;
                }
                m_wake.expires_after(std::chrono::hours(1));
                ErrorCode ignored;
                m_wake.async_wait(yield[ignored]);
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
        if (carries()) {
            m_to->shutdown(tcp::socket::shutdown_send, error);
        }
    }

    asio::io_context &m_context;
    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    Millis m_latency;
    const Cuts &m_cuts;
    std::string m_pair;
    int m_silencesBefore;
    SteadyClock m_clock;
    asio::steady_timer m_wake;
    std::deque<Chunk> m_chunks;
    bool m_ended = false;
};

void relay(asio::io_context &context, const Cuts &cuts, tcp::socket accepted, const Endpoint &target,
           const Yield &yield)
{
    auto near = std::make_shared<tcp::socket>(std::move(accepted));
    const auto source = near->remote_endpoint().address();
    const auto destination = asio::ip::make_address(target.address);
    const Millis latency = latencyBetween(source, destination);
    const std::string there = hostOf(source) + ">" + target.address;
    const std::string back = target.address + ">" + hostOf(source);
    while (cuts.pairs.count(there) + cuts.pairs.count(back) > 0) {
        sleepFor(context, CUT_CHECK, yield);
    }
    sleepFor(context, latency * 2, yield);
    auto far = std::make_shared<tcp::socket>(context);
    far->async_connect(tcp::endpoint(destination, target.port), yield);
    near->set_option(tcp::no_delay(true));
    far->set_option(tcp::no_delay(true));
    std::make_shared<Pipe>(context, near, far, latency, cuts, there)->start();
    std::make_shared<Pipe>(context, far, near, latency, cuts, back)->start();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for the links between data centres");
    std::vector<std::string> hosts;
    std::string control;
    app.add_option("--host", hosts, "inner address of a daemon, 127.1.R.H:port")->required();
    app.add_option("--control", control,
                   "address:port that takes POST {\"cut\": [\"127.1.R.H>127.1.R.H\"], \"silence\": true}")
        ->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    Cuts cuts;
    std::vector<std::shared_ptr<Listener>> listeners;
    for (const std::string &host : hosts) {
        const Endpoint target = parseEndpoint(host, "host");
        Endpoint listen = target;
        listen.address.replace(0, 5, "127.2");
        listeners.push_back(
            std::make_shared<Listener>(context, listen, [&, target](tcp::socket socket, const Yield &yield) {
                relay(context, cuts, std::move(socket), target, yield);
            }));
        listeners.back()->start();
    }
    HttpServer server(context, parseEndpoint(control, "control"),
                      [&](const Request &request, tcp::socket &, const Yield &) {
                          const auto document = nlohmann::json::parse(request.body());
                          cuts.pairs = document.value("cut", std::set<std::string>());
                          cuts.silences += document.value("silence", false) ? 1 : 0;
                          return jsonResponse(http::status::ok, "{}");
                      });
    server.start();
    context.run();
}
