#include "runreporter.h"

#include "silencewatch.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace mustardpond {

namespace {

constexpr Millis CONNECT_TIMEOUT{500};
constexpr Millis SEND_TIMEOUT{1000};
constexpr Millis MIN_RETRY_DELAY{100};
constexpr Millis MAX_RETRY_DELAY{1000};
constexpr Millis WATCH_INTERVAL{1000}; ///< between checks whether runs are left
/// Of one report. More runs of one router at one gate are not told; their calls are answered as not run.
constexpr std::size_t MAX_REPORTED_RUNS = 1024;

} // namespace

RunReporter::RunReporter(asio::io_context &context, const Clock &clock, GatePool &pool,
                         std::uint64_t &lastRequestNumber)
    : m_context(context)
    , m_clock(clock)
    , m_pool(pool)
    , m_lastRequestNumber(lastRequestNumber)
    , m_runs(clock, MAX_KEPT_SENT_RUNS)
{
}

void RunReporter::onConnectionLost(const std::string &gate)
{
    if (m_reports.count(gate) == 0) {
        start(gate);
    }
}

void RunReporter::update(const FleetView &view)
{
    std::set<std::string> gates;
    for (const auto &[place, runs] : m_runs.places()) {
        gates.insert(place.gate);
    }
    if (gates.empty()) {
        return;
    }
    for (const Member &member : view.members) {
        const bool isTold = gates.count(member.inner) > 0 && acceptsRequests(member)
            && hasRunsOfOthers(member.inner, member.incarnation);
        if (!isTold) {
            continue;
        }
        const auto report = m_reports.find(member.inner);
        if (report == m_reports.end()) {
            start(member.inner);
        } else if (report->second.channel && report->second.told != member.incarnation) {
            report->second.channel->close(); // it belongs to a process that has ended
        }
    }
}

void RunReporter::start(const std::string &gate)
{
    m_reports[gate];
    asio::spawn(m_context, [this, gate](const Yield &yield) { run(gate, yield); });
}

void RunReporter::run(const std::string &gate, const Yield &yield)
{
    Millis delay = MIN_RETRY_DELAY;
    while (hasRunsOfOthers(gate, m_reports[gate].told)) {
        try {
            const auto channel = m_pool.connect(gate, CONNECT_TIMEOUT, yield);
            m_reports[gate].told = send(gate, *channel, yield);
            delay = MIN_RETRY_DELAY;
            watch(gate, *channel, yield);
        } catch (const boost::system::system_error &) {
            // Not started yet, or out of reach.
        } catch (const Exception &) {
            // Of a version that does not know reports.
        }
        m_reports[gate].channel = nullptr;
        if (!hasRunsOfOthers(gate, m_reports[gate].told)) {
            break;
        }
        pause(delay, yield);
        delay = std::min(delay * 2, MAX_RETRY_DELAY);
    }
    m_reports.erase(gate);
}

Incarnation RunReporter::send(const std::string &gate, FrameChannel &channel, const Yield &yield)
{
    Incarnation told;
    std::size_t count = 0;
    std::vector<wire::RunReportT> messages;
    for (const auto &[place, runs] : m_runs.places()) {
        if (place.gate == gate) {
            messages.push_back(message(place, runs));
            count += messages.back().runs.size();
        }
    }
    for (wire::RunReportT &message : messages) {
        message.request = ++m_lastRequestNumber;
        const auto reply = channel.ask<wire::RunReportReplyT>(std::move(message), SEND_TIMEOUT, yield);
        told = {reply.incarnationHigh, reply.incarnationLow};
    }
    logEvent(Event::RunsReported, {{"gate", gate}, {"runs", count}, {"incarnation", toString(told)}});
    return told;
}

wire::RunReportT RunReporter::message(const RunPlace &place, const SentRuns::Runs &runs) const
{
    wire::RunReportT message;
    message.incarnationHigh = place.incarnation.high;
    message.incarnationLow = place.incarnation.low;
    message.upstream = place.upstream.id;
    message.born = place.upstream.born;
    const Millis now = m_clock.now();
    for (const auto &[key, run] : runs) {
        if (m_runs.isCurrent(run) && message.runs.size() < MAX_REPORTED_RUNS) {
            const double left = (run.until - RUN_DEADLINE_SLACK - now).value;
            message.runs.emplace_back(key.high, key.low, static_cast<std::uint32_t>(std::max(0.0, left)));
        }
    }
    return message;
}

void RunReporter::watch(const std::string &gate, FrameChannel &channel, const Yield &yield)
{
    Report &report = m_reports[gate];
    report.channel = &channel;
    bool open = true;
    while (open && hasRunsOfOthers(gate, report.told)) {
        bool checked = false;
        const SilenceWatch watch(m_context, WATCH_INTERVAL, [&channel, &checked] {
            checked = true;
            ErrorCode ignored;
            channel.socket().cancel(ignored);
        });
        ErrorCode ignored;
        channel.socket().async_wait(tcp::socket::wait_read, yield[ignored]);
        open = checked && channel.socket().is_open();
    }
    report.channel = nullptr;
}

bool RunReporter::hasRunsOfOthers(const std::string &gate, const Incarnation &incarnation) const
{
    const auto &places = m_runs.places();
    for (auto place = places.lower_bound({gate, {}, {}}); place != places.end() && place->first.gate == gate; ++place) {
        const bool isOther = place->first.incarnation != incarnation;
        const bool mayRun = isOther && std::any_of(place->second.begin(), place->second.end(), [this](const auto &run) {
                                return m_runs.isCurrent(run.second);
                            });
        if (mayRun) {
            return true;
        }
    }
    return false;
}

void RunReporter::pause(Millis time, const Yield &yield)
{
    asio::steady_timer timer(m_context, toDuration(time));
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace mustardpond
