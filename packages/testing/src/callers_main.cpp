/// Load driver: callers that check every answer, and compare the results with the upstreams' records of what they ran.

#include "testing/httpserver.h"

#include "foundation/random.h"
#include "net/httpcall.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <iostream>
#include <optional>

using namespace mustardpond;
using namespace mustardpond::testing;

namespace {

constexpr Millis CALL_TIMEOUT{30000};
constexpr Millis RECORDS_TIMEOUT{5000};

/// One kind of request that the callers send.
struct RequestProfile {
    std::string name;
    std::string kind; ///< lookup, operation or upload
    std::string path;
    std::size_t bytes = 0;
    double weight = 1; ///< probability relative to the other kinds of request
};

struct LoadPlan {
    std::vector<Endpoint> routers;
    std::optional<Endpoint> comparison; ///< every other request of a caller goes here; its latencies count apart
    std::vector<Endpoint> upstreams;
    std::vector<RequestProfile> profiles;
    std::string organisation;
    double rate = 100; ///< requests per second of all callers together
    std::size_t connections = 10;
    Millis duration{5000};
    std::uint64_t seed = 1;
    int maxAttempts = 5; ///< attempts per request until it is answered with status 200 or refused
};

struct Totals {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0; ///< complete and correct answers
    std::uint64_t wrong = 0; ///< answers whose mark, length or digest does not match the request
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    std::uint64_t cut = 0; ///< requests that were sent and whose connection ended without a complete answer
    std::uint64_t unconnected = 0; ///< calls that failed before the request was sent
    std::uint64_t failed = 0; ///< requests whose attempts were used up
    std::vector<double> latencies;
    std::map<std::string, std::string> uploads; ///< digests of acknowledged uploads by mark
    std::vector<std::string> operations; ///< marks of all operations, whatever their outcome
    std::vector<std::string> notRunOperations; ///< marks of operations for which every answer was "not run"
};

class Caller
{
public:
    Caller(asio::io_context &context, const LoadPlan &plan, Totals &totals, std::size_t index)
        : m_context(context)
        , m_plan(plan)
        , m_totals(totals)
        , m_router(plan.routers[index % plan.routers.size()])
        , m_random(plan.seed * 1000003 + index)
        , m_name("c" + std::to_string(plan.seed) + "-" + std::to_string(index))
    {
    }

    void run(const Yield &yield)
    {
        const Millis interval(1000.0 * static_cast<double>(m_plan.connections) / m_plan.rate);
        const Millis start = m_clock.now() + interval * m_random.uniform();
        const Millis end = m_clock.now() + m_plan.duration;
        bool atComparison = false;
        for (Millis due = start; due < end; due = due + interval) {
            Caller &arm = atComparison ? *m_comparison : *this;
            atComparison = m_comparison && !atComparison;
            const Millis wait = due - m_clock.now();
            if (wait > Millis()) {
                sleepFor(m_context, wait, yield);
            }
            const Millis startedAt = wait > Millis() ? m_clock.now() : due;
            arm.performRequest(pickProfile(), yield);
            arm.m_totals.latencies.push_back((m_clock.now() - startedAt).value);
        }
    }

    /// Sets the caller that sends every other request in place of this one.
    void alternateWith(std::unique_ptr<Caller> comparison)
    {
        m_comparison = std::move(comparison);
    }

private:
    struct Answer {
        unsigned status = 0;
        std::string outcome;
        std::string reason;
        std::string mark;
        std::string digest;
        std::string body;
    };

    const RequestProfile &pickProfile()
    {
        double total = 0;
        for (const RequestProfile &profile : m_plan.profiles) {
            total += profile.weight;
        }
        double draw = m_random.uniform() * total;
        for (const RequestProfile &profile : m_plan.profiles) {
            draw -= profile.weight;
            if (draw <= 0) {
                return profile;
            }
        }
        return m_plan.profiles.back();
    }

    void performRequest(const RequestProfile &profile, const Yield &yield)
    {
        ++m_totals.requests;
        const std::string mark = m_name + "-" + std::to_string(++m_number);
        if (profile.kind == "operation") {
            m_totals.operations.push_back(mark);
        }
        std::string body;
        if (profile.kind != "lookup") {
            body = mark;
            body.append(profile.bytes, 'u');
        }
        std::string operation = profile.kind == "operation" ? openOperation(profile, yield) : std::string();
        int sent = 0;
        int notRun = 0;
        for (int attempt = 0; attempt < m_plan.maxAttempts; ++attempt) {
            if (profile.kind == "operation" && operation.empty()) {
                operation = openOperation(profile, yield);
                continue;
            }
            const Answer answer = send(profile, mark, body, operation, yield);
            ++sent;
            notRun += answer.outcome == "not-run" ? 1 : 0;
            if (checkAnswer(profile, mark, body, answer)) {
                return;
            }
            if (answer.outcome == "not-run" && profile.kind == "operation") {
                operation.clear();
            }
        }
        ++m_totals.failed;
        if (profile.kind == "operation" && sent > 0 && notRun == sent) {
            m_totals.notRunOperations.push_back(mark);
        }
    }

    /// Checks and counts an answer. Returns whether the request is finished, so that no attempt follows.
    bool checkAnswer(const RequestProfile &profile, const std::string &mark, const std::string &body,
                     const Answer &answer)
    {
        if (answer.reason == "refused") {
            ++m_totals.refused;
            return true;
        }
        m_totals.unknown += answer.outcome == "unknown" ? 1 : 0;
        m_totals.notRun += answer.outcome == "not-run" ? 1 : 0;
        if (answer.status != 200) {
            return false;
        }
        const std::string digest = std::to_string(XXH3_64bits(body.data(), body.size()));
        const std::size_t length = mark.size() + 1 + (profile.kind == "lookup" ? profile.bytes : 0);
        const bool matches = answer.mark == mark && answer.body.compare(0, mark.size() + 1, mark + ":") == 0;
        if (!matches || answer.body.size() != length || answer.digest != digest) {
            ++m_totals.wrong;
            return true;
        }
        ++m_totals.whole;
        if (profile.kind == "upload") {
            m_totals.uploads[mark] = digest;
        }
        return true;
    }

    std::string openOperation(const RequestProfile &profile, const Yield &yield)
    {
        http::request<http::string_body> request(http::verb::post, "/-/operations", 11);
        request.set("Organisation", m_plan.organisation);
        request.body() = nlohmann::json({{"path", profile.path}, {"method", "POST"}}).dump();
        request.prepare_payload();
        const auto response = call(request, yield);
        if (response.result_int() != 201) {
            return {};
        }
        return nlohmann::json::parse(response.body()).at("operation").get<std::string>();
    }

    Answer send(const RequestProfile &profile, const std::string &mark, const std::string &body,
                const std::string &operation, const Yield &yield)
    {
        http::verb verb = http::verb::get;
        std::string target = profile.path + "/" + mark;
        if (profile.kind == "operation") {
            verb = http::verb::post;
        } else if (profile.kind == "upload") {
            verb = http::verb::put;
        } else {
            target += "?bytes=" + std::to_string(profile.bytes);
        }
        http::request<http::string_body> request(verb, target, 11);
        request.set("Mark", mark);
        request.set("Organisation", m_plan.organisation);
        if (!operation.empty()) {
            request.set("Operation-Id", operation);
        }
        request.body() = body;
        request.prepare_payload();
        const auto response = call(request, yield);
        Answer answer;
        answer.status = response.result_int();
        answer.outcome = std::string(response["Outcome"]);
        answer.mark = std::string(response["Mark"]);
        answer.digest = std::string(response["Digest-Seen"]);
        answer.body = response.body();
        if (answer.status != 200) {
            const auto document = nlohmann::json::parse(answer.body, nullptr, false);
            answer.reason = document.is_object() ? document.value("reason", "") : "";
        }
        return answer;
    }

    Response call(http::request<http::string_body> &request, const Yield &yield)
    {
        bool sent = false;
        try {
            if (!m_stream) {
                m_stream = std::make_unique<beast::tcp_stream>(m_context);
                m_stream->expires_after(toDuration(CALL_TIMEOUT));
                m_stream->async_connect(tcp::endpoint(asio::ip::make_address(m_router.address), m_router.port), yield);
                m_stream->socket().set_option(tcp::no_delay(true));
                m_buffer.clear();
            }
            request.set(http::field::host, toString(m_router));
            m_stream->expires_after(toDuration(CALL_TIMEOUT));
            http::async_write(*m_stream, request, yield);
            sent = true;
            http::response_parser<http::string_body> parser;
            parser.body_limit(UNLIMITED_BYTES);
            http::async_read(*m_stream, m_buffer, parser, yield);
            Response response = parser.release();
            if (!response.keep_alive()) {
                m_stream.reset();
            }
            return response;
        } catch (const boost::system::system_error &) {
            ++(sent ? m_totals.cut : m_totals.unconnected);
            m_stream.reset();
            m_router = m_plan.routers[m_random.below(m_plan.routers.size())];
            return Response(http::status::unknown, 11);
        }
    }

    asio::io_context &m_context;
    const LoadPlan &m_plan;
    Totals &m_totals;
    Endpoint m_router;
    SeededRandom m_random;
    std::string m_name;
    SteadyClock m_clock;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    std::unique_ptr<Caller> m_comparison;
    int m_number = 0;
};

struct RecordCheck {
    std::uint64_t duplicated = 0; ///< operations that ran more than once
    std::uint64_t falseNotRun = 0; ///< operations that ran although every answer was "not run"
    std::uint64_t lostUploads = 0; ///< acknowledged uploads whose recorded digest is missing or different
};

RecordCheck checkRecords(const LoadPlan &plan, const Totals &totals)
{
    std::map<std::string, int> runs;
    std::map<std::string, std::string> uploads;
    for (const Endpoint &upstream : plan.upstreams) {
        const HttpReply reply = callHttp({upstream, "GET", "/-/records", ""}, RECORDS_TIMEOUT);
        const auto document = nlohmann::json::parse(reply.body);
        for (const auto &[mark, count] : document.at("runs").items()) {
            runs[mark] += count.get<int>();
        }
        for (const auto &[mark, digest] : document.at("uploads").items()) {
            uploads[mark] = digest.get<std::string>();
        }
    }
    RecordCheck records;
    for (const std::string &mark : totals.operations) {
        records.duplicated += runs[mark] > 1 ? 1 : 0;
    }
    for (const std::string &mark : totals.notRunOperations) {
        records.falseNotRun += runs[mark] > 0 ? 1 : 0;
    }
    for (const auto &[mark, digest] : totals.uploads) {
        records.lostUploads += uploads[mark] != digest ? 1 : 0;
    }
    return records;
}

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

RequestProfile parseProfile(const std::string &text)
{
    const auto document = nlohmann::json::parse(text);
    return {document.value("name", ""), document.at("kind"), document.at("path"), document.value("bytes", 0U),
            document.value("weight", 1.0)};
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("callers that check every answer");
    LoadPlan plan;
    std::vector<std::string> routers;
    std::vector<std::string> upstreams;
    std::vector<std::string> profiles;
    double seconds = 5;
    bool json = false;
    app.add_option("--router", routers, "address:port")->required();
    std::string comparison;
    app.add_option("--compare-with", comparison, "address:port that gets every other request, for latencies");
    app.add_option("--upstream", upstreams, "address:port of an upstream whose records are checked");
    app.add_option("--work", profiles, "JSON: kind, path, bytes, weight")->required();
    app.add_option("--organisation", plan.organisation);
    app.add_option("--rate", plan.rate);
    app.add_option("--connections", plan.connections);
    app.add_option("--seconds", seconds);
    app.add_option("--seed", plan.seed);
    app.add_option("--tries", plan.maxAttempts);
    app.add_flag("--json", json, "latencies and totals as JSON");
    CLI11_PARSE(app, argc, argv);
    plan.duration = Millis(seconds * 1000);
    for (const std::string &router : routers) {
        plan.routers.push_back(parseEndpoint(router, "router"));
    }
    if (!comparison.empty()) {
        plan.comparison = parseEndpoint(comparison, "compare-with");
    }
    for (const std::string &upstream : upstreams) {
        plan.upstreams.push_back(parseEndpoint(upstream, "upstream"));
    }
    for (const std::string &profile : profiles) {
        plan.profiles.push_back(parseProfile(profile));
    }
    asio::io_context context(1);
    Totals totals;
    Totals compared;
    LoadPlan comparisonPlan = plan;
    if (plan.comparison) {
        comparisonPlan.routers = {*plan.comparison};
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t index = 0; index < plan.connections; ++index) {
        callers.push_back(std::make_unique<Caller>(context, plan, totals, index));
        if (plan.comparison) {
            callers.back()->alternateWith(std::make_unique<Caller>(context, comparisonPlan, compared, index));
        }
        asio::spawn(context, [caller = callers.back().get()](const Yield &yield) { caller->run(yield); });
    }
    context.run();
    const RecordCheck records = checkRecords(plan, totals);
    if (json) {
        std::cout << nlohmann::json({{"requests", totals.requests},
                                     {"whole", totals.whole},
                                     {"wrong", totals.wrong},
                                     {"duplicated", records.duplicated},
                                     {"falseNotRun", records.falseNotRun},
                                     {"cut", totals.cut},
                                     {"unconnected", totals.unconnected},
                                     {"refused", totals.refused},
                                     {"lostUploads", records.lostUploads},
                                     {"unknown", totals.unknown},
                                     {"notRun", totals.notRun},
                                     {"comparedRequests", compared.requests},
                                     {"comparedP50Ms", percentile(compared.latencies, 0.5)},
                                     {"comparedP99Ms", percentile(compared.latencies, 0.99)},
                                     {"p50Ms", percentile(totals.latencies, 0.5)},
                                     {"p99Ms", percentile(totals.latencies, 0.99)}})
                         .dump()
                  << "\n";
    } else {
        std::cout << "requests=" << totals.requests << " whole=" << totals.whole << " wrong=" << totals.wrong
                  << " duplicated=" << records.duplicated << " refused=" << totals.refused
                  << " lost_uploads=" << records.lostUploads << "\n";
    }
    const bool clean =
        totals.wrong + records.duplicated + records.falseNotRun + totals.refused + records.lostUploads == 0;
    return clean && totals.whole == totals.requests ? 0 : 1;
}
