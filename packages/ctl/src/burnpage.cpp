#include "burnpage.h"

#include <fmt/format.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr int BAR_HEIGHT_PX = 18;
constexpr int BAR_PITCH_PX = 26;
constexpr int LABEL_WIDTH_PX = 70;
constexpr int CHART_WIDTH_PX = 500;
constexpr double MAX_BURN_RATE = 20; ///< bars of higher rates are cut off

constexpr const char PAGE_HEAD[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>mustardpond: service-level burn</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1em; }
td, th { padding: 0.2em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn rate of 1 (vertical line) uses up the error budget of a class exactly. Bars are cut off at 20.</p>
)";

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += letter;
        }
    }
    return escaped;
}

double barEnd(double rate)
{
    return LABEL_WIDTH_PX + std::min(rate, MAX_BURN_RATE) / MAX_BURN_RATE * CHART_WIDTH_PX;
}

std::string burnRateChart(const ClassBurn &burn)
{
    const auto height = BAR_PITCH_PX * BURN_WINDOWS.size();
    std::string svg = fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\">\n",
                                  LABEL_WIDTH_PX + CHART_WIDTH_PX + LABEL_WIDTH_PX, height);
    for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
        const double rate = burnRate(burn.windows.at(index).window.counts, burn.successTarget);
        const auto top = BAR_PITCH_PX * index;
        svg += fmt::format("<text x=\"0\" y=\"{}\">{} min</text>\n", top + 14, windowMinutes(index));
        svg += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>\n", LABEL_WIDTH_PX,
                           top, barEnd(rate) - LABEL_WIDTH_PX, BAR_HEIGHT_PX, rate > 1 ? "#b3261e" : "#2e7d32");
        svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\">{:.2f}</text>\n", barEnd(rate) + 6, top + 14, rate);
    }
    svg += fmt::format("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"0\" y2=\"{1}\" stroke=\"#222\"/>\n</svg>\n", barEnd(1),
                       height);
    return svg;
}

std::string countsTable(const ClassBurn &burn)
{
    std::string table = "<table><tr><th>window</th><th>requests</th><th>good</th><th>retried</th><th>spilled</th>"
                        "<th>held</th><th>refused</th></tr>\n";
    for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
        const BurnCounts &counts = burn.windows.at(index).window.counts;
        table +=
            fmt::format("<tr><td>{} min</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                        windowMinutes(index), counts.requests, counts.good, counts.retried, counts.spilled, counts.held,
                        counts.refused);
    }
    return table + "</table>\n";
}

std::string upstreamsTable(const FleetWindow &window)
{
    if (window.window.failuresByUpstream.empty()) {
        return {};
    }
    std::string table = "<table><tr><th>upstream</th><th>data centre</th><th>not good in 60 min</th></tr>\n";
    for (const auto &[upstream, failures] : window.window.failuresByUpstream) {
        table +=
            fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td></tr>\n", upstream.empty() ? "(none)" : escape(upstream),
                        escape(window.dataCentres.at(upstream)), failures);
    }
    return table + "</table>\n";
}

} // namespace

std::string burnPage(const BurnByClass &total)
{
    std::string page = PAGE_HEAD;
    for (const auto &[name, burn] : total) {
        page += fmt::format("<h2>{}</h2>\n<p>target {}, {:.1f}% of the error budget of the last 60 min left</p>\n",
                            escape(name), burn.successTarget, 100 * remainingBudget(burn));
        page += burnRateChart(burn);
        page += countsTable(burn);
        page += upstreamsTable(burn.windows.back());
    }
    return page + "</body></html>\n";
}

} // namespace mustardpond
