#include "metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <tuple>

namespace mustardpond {

namespace {

namespace bh = boost::histogram;

constexpr unsigned LATENCY_BINS = 32;
constexpr double MIN_LATENCY_MS = 0.1;
constexpr double MAX_LATENCY_MS = 60000;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(std::declval<LatencyAxis>()));

LatencyHistogram makeLatencyHistogram()
{
    return bh::make_histogram(LatencyAxis(LATENCY_BINS, MIN_LATENCY_MS, MAX_LATENCY_MS));
}

struct Series {
    LatencyHistogram latency = makeLatencyHistogram();
    double sum = 0;
    std::uint64_t count = 0;

    void add(Millis value)
    {
        latency(value.value);
        sum += value.value;
        ++count;
    }
};

void writeSeries(std::string &text, const std::string &name, const std::string &labels, const Series &series)
{
    double cumulative = series.latency.at(-1);
    for (auto &&bin : bh::indexed(series.latency)) {
        cumulative += *bin;
        text += fmt::format("{}_bucket{{{},le=\"{:.4g}\"}} {}\n", name, labels, bin.bin().upper(), cumulative);
    }
    text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, series.count);
    text += fmt::format("{}_sum{{{}}} {}\n", name, labels, series.sum);
    text += fmt::format("{}_count{{{}}} {}\n", name, labels, series.count);
}

void writeCounters(std::string &text, const std::string &name, const std::string &label,
                   const std::map<std::string, std::uint64_t> &counters)
{
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto &[value, count] : counters) {
        text += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, value, count);
    }
}

} // namespace

struct Metrics::Histograms {
    using Key = std::tuple<std::string, std::string, Outcome>;
    std::map<Key, Series> request;
    std::map<Key, Series> upstream;
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::addRequest(const RequestSample &sample)
{
    const Histograms::Key key(sample.service, sample.workClass, sample.outcome);
    m_histograms->request[key].add(sample.latency);
    if (sample.outcome == Outcome::Ran) {
        m_histograms->upstream[key].add(sample.upstreamTime);
    }
}

std::string Metrics::exposition() const
{
    std::string text;
    const auto write = [&text](const std::string &name, const std::map<Histograms::Key, Series> &all) {
        text += fmt::format("# TYPE {} histogram\n", name);
        for (const auto &[key, series] : all) {
            const auto &[service, workClass, outcome] = key;
            const std::string labels = fmt::format("service=\"{}\",class=\"{}\",outcome=\"{}\"", service, workClass,
                                                   nameOf(OUTCOME_NAMES, outcome));
            writeSeries(text, name, labels, series);
        }
    };
    write("mustardpond_request_ms", m_histograms->request);
    write("mustardpond_upstream_ms", m_histograms->upstream);
    writeCounters(text, "mustardpond_retries_total", "service", m_retries);
    writeCounters(text, "mustardpond_hand_overs_total", "service", m_handOvers);
    writeCounters(text, "mustardpond_region_bytes_total", "organisation", m_regionBytes);
    if (!m_unauthenticated.empty()) {
        writeCounters(text, "mustardpond_unauthenticated_total", "cause", m_unauthenticated);
    }
    if (!m_limits.empty()) {
        writeCounters(text, "mustardpond_limits_total", "cause", m_limits);
    }
    return text;
}

} // namespace mustardpond
