#include "foundation/events.h"

#include "foundation/clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <thread>

namespace mustardpond {

namespace {

constexpr std::size_t LOG_QUEUE_LINES = 8192;
constexpr std::chrono::milliseconds CLOSE_TIMEOUT{200};
constexpr std::chrono::milliseconds CLOSE_CHECK_INTERVAL{5};

struct LogState {
    LogFormat format = LogFormat::Text;
    std::string node;
};

LogState &logState()
{
    static LogState state;
    return state;
}

bool isWarning(Event event)
{
    switch (event) {
    case Event::SettingsInvalid:
    case Event::AddressBusy:
    case Event::UpstreamEjected:
    case Event::EjectionHeldByFloor:
    case Event::SharedCause:
    case Event::RequestQuarantined:
    case Event::MemberDead:
    case Event::ObjectInvalid:
    case Event::StoreUnreachable:
    case Event::StoreReturned:
    case Event::KeysRefused:
    case Event::RefusalRequested:
    case Event::PeerRejected:
    case Event::AnswerDiscarded:
    case Event::OrganisationLeftOut:
    case Event::KeysLeftOut:
    case Event::QuotaUnavailable:
        return true;
    default:
        return false;
    }
}

std::string asText(Event event, const nlohmann::json &fields)
{
    std::string line = fmt::format("E{} {}", static_cast<int>(event), nameOf(EVENT_NAMES, event));
    for (const auto &[key, value] : fields.items()) {
        line += fmt::format(" {}={}", key, value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return line;
}

std::string asJson(Event event, nlohmann::json fields)
{
    fields["event"] = static_cast<int>(event);
    fields["name"] = nameOf(EVENT_NAMES, event);
    fields["node"] = logState().node;
    fields["timeMs"] = static_cast<std::int64_t>(wallClockNow().value);
    return fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void openLog(LogFormat format, const std::string &node)
{
    logState() = {format, node};
    // If nobody reads standard output, the oldest queued lines are dropped, so that logging never blocks the daemon.
    spdlog::init_thread_pool(LOG_QUEUE_LINES, 1);
    auto logger =
        std::make_shared<spdlog::async_logger>("mustardpond", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                               spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(format == LogFormat::Json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %L " + node + " %v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void closeLog()
{
    // spdlog::shutdown() would destroy the logger while the threads of the control plane still use it.
    const auto pool = spdlog::thread_pool();
    const auto deadline = std::chrono::steady_clock::now() + CLOSE_TIMEOUT;
    while (pool && pool->queue_size() > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(CLOSE_CHECK_INTERVAL);
    }
    std::this_thread::sleep_for(CLOSE_CHECK_INTERVAL); // for the line that the writer has taken from the queue last
}

void logEvent(Event event, const nlohmann::json &fields)
{
    const auto level = isWarning(event) ? spdlog::level::warn : spdlog::level::info;
    const std::string line = logState().format == LogFormat::Json ? asJson(event, fields) : asText(event, fields);
    spdlog::default_logger_raw()->log(level, spdlog::string_view_t(line));
}

} // namespace mustardpond
