#include "config/daemonsettings.h"

#include "foundation/fieldreader.h"

#include <charconv>

namespace mustardpond {

namespace {

constexpr NumberRange COUNT_RANGE{1, 10000000};
constexpr NumberRange BODY_BUFFER_RANGE_BYTES{1024, 67108864};
constexpr NumberRange HEAD_RANGE_BYTES{1024, 1048576};
constexpr NumberRange LIFETIME_RANGE_MS{1000, 86400000};
constexpr NumberRange DURATION_RANGE_MS{100, 3600000};
constexpr NumberRange MEMORY_RANGE_MB{16, 1048576};
constexpr NumberRange BUDGET_RANGE_BYTES{0, 1e12}; ///< 0 derives it from the memory
constexpr NumberRange RATE_RANGE{0, 1e9};
constexpr NumberRange DETECTION_COST_RANGE{0.001, 1000};
constexpr NumberRange RETRY_SHARE_RANGE{0, 10};
constexpr NumberRange RETRY_EXTRA_RANGE{0, 1000000};
constexpr NumberRange OVERAGE_RANGE{0, 10};
constexpr NumberRange SLACK_RANGE{0, 1000000};

Endpoint endpoint(FieldReader &reader, const std::string &name)
{
    return parseEndpoint(reader.text(name), name);
}

std::optional<Endpoint> optionalEndpoint(FieldReader &reader, const std::string &name)
{
    const std::string text = reader.text(name, "");
    return text.empty() ? std::nullopt : std::optional<Endpoint>(parseEndpoint(text, name));
}

template <typename Enum, std::size_t Size>
Enum optionalChoice(FieldReader &reader, const std::string &name, const EnumTable<Enum, Size> &table, Enum fallback)
{
    reader.text(name, "");
    return reader.has(name) ? reader.choice(name, table) : fallback;
}

FleetRetryLimits retriesFrom(FieldReader reader)
{
    FleetRetryLimits limits;
    limits.share = reader.number("share", RETRY_SHARE_RANGE, limits.share);
    limits.extra = reader.number("extra", RETRY_EXTRA_RANGE, limits.extra);
    limits.window = Millis(reader.number("windowMs", DURATION_RANGE_MS, limits.window.value));
    reader.rejectUnknownFields();
    return limits;
}

KeySettings keysFrom(FieldReader reader)
{
    KeySettings keys;
    keys.strict = reader.flag("strict", keys.strict);
    keys.maxProofAge = Millis(reader.number("maxProofAgeMs", DURATION_RANGE_MS, keys.maxProofAge.value));
    reader.rejectUnknownFields();
    return keys;
}

QuotaSettings quotaFrom(FieldReader reader)
{
    QuotaSettings quota;
    quota.window = Millis(reader.number("windowMs", DURATION_RANGE_MS, quota.window.value));
    quota.overage = reader.number("overage", OVERAGE_RANGE, quota.overage);
    quota.slack = reader.number("slack", SLACK_RANGE, quota.slack);
    quota.dataCentres = reader.texts("dataCentres");
    reader.rejectUnknownFields();
    return quota;
}

DaemonLimits limitsFrom(FieldReader reader)
{
    DaemonLimits limits;
    const auto count = [&reader](const std::string &name, NumberRange range, std::size_t fallback) {
        return static_cast<std::size_t>(reader.number(name, range, static_cast<double>(fallback)));
    };
    limits.callerConnections = count("callerConnections", COUNT_RANGE, limits.callerConnections);
    limits.bufferedBodyBytes = count("bufferedBodyBytes", BODY_BUFFER_RANGE_BYTES, limits.bufferedBodyBytes);
    limits.headBytes = count("headBytes", HEAD_RANGE_BYTES, limits.headBytes);
    limits.waitingPerSlot = count("waitingPerSlot", COUNT_RANGE, limits.waitingPerSlot);
    limits.operations = count("operations", COUNT_RANGE, limits.operations);
    const auto time = [&reader](const std::string &name, NumberRange range, Millis fallback) {
        return Millis(reader.number(name, range, fallback.value));
    };
    limits.operationLifetime = time("operationLifetimeMs", LIFETIME_RANGE_MS, limits.operationLifetime);
    limits.callerIdleTimeout = time("callerIdleMs", DURATION_RANGE_MS, limits.callerIdleTimeout);
    limits.shutdownTimeout = time("stopGraceMs", DURATION_RANGE_MS, limits.shutdownTimeout);
    limits.memoryMb = count("memoryMb", MEMORY_RANGE_MB, limits.memoryMb);
    limits.bodyBudgetBytes = count("bodyBudgetBytes", BUDGET_RANGE_BYTES, limits.bodyBudgetBytes);
    limits.bodyMinBytesPerSecond = reader.number("bodyMinBytesPerSecond", RATE_RANGE, limits.bodyMinBytesPerSecond);
    limits.bodyStallTime = time("bodyStallMs", DURATION_RANGE_MS, limits.bodyStallTime);
    reader.rejectUnknownFields();
    return limits;
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

Endpoint parseEndpoint(const std::string &text, const std::string &field)
{
    const std::string remedy = "write an IP address and a port, such as \"127.0.0.1:8080\"";
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw InvalidField(field, '"' + text + '"', remedy);
    }
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (result.ec != std::errc() || result.ptr != end || endpoint.port == 0) {
        throw InvalidField(field, '"' + text + '"', remedy);
    }
    return endpoint;
}

DaemonSettings parseDaemonSettings(const std::string &text, const std::string &source)
{
    const nlohmann::json document = parseJson(text, source);
    FieldReader reader(document, "");
    DaemonSettings settings;
    settings.node = reader.text("node");
    settings.region = reader.text("region");
    settings.dataCentre = reader.text("dataCentre");
    settings.caller = endpoint(reader, "caller");
    settings.inner = endpoint(reader, "inner");
    settings.advertisedInner =
        parseEndpoint(reader.text("advertisedInner", toString(settings.inner)), "advertisedInner");
    settings.local = endpoint(reader, "local");
    settings.bindAddress = reader.text("bindAddress", "");
    settings.platform = endpoint(reader, "platform");
    for (const std::string &seed : reader.texts("seeds")) {
        settings.seeds.push_back(parseEndpoint(seed, "seeds"));
    }
    settings.lateDetectionCost = reader.number("lateDetectionCost", DETECTION_COST_RANGE, settings.lateDetectionCost);
    settings.dialect = optionalChoice(reader, "dialect", DIALECT_NAMES, settings.dialect);
    settings.refusal = optionalChoice(reader, "refusal", REFUSAL_POLICY_NAMES, settings.refusal);
    settings.detection = optionalChoice(reader, "detection", DETECTION_NAMES, settings.detection);
    settings.logFormat = optionalChoice(reader, "log", LOG_FORMAT_NAMES, settings.logFormat);
    settings.service = reader.text("service", "");
    settings.upstream = optionalEndpoint(reader, "upstream");
    settings.ready = optionalEndpoint(reader, "ready");
    settings.metrics = optionalEndpoint(reader, "metrics");
    if (reader.has("retries")) {
        settings.retries = retriesFrom(reader.object("retries"));
    }
    if (reader.has("keys")) {
        settings.keys = keysFrom(reader.object("keys"));
    }
    if (reader.has("quota")) {
        settings.quota = quotaFrom(reader.object("quota"));
    }
    if (reader.has("limits")) {
        settings.limits = limitsFrom(reader.object("limits"));
    }
    reader.rejectUnknownFields();
    return settings;
}

DaemonSettings readDaemonSettings(const std::string &path)
{
    return parseDaemonSettings(readJsonFile(path).dump(), path);
}

} // namespace mustardpond
