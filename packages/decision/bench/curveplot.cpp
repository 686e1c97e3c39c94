#include "curveplot.h"

#include <fmt/format.h>

#include <algorithm>

namespace mustardpond::bench {

namespace {

constexpr double WIDTH_PX = 640;
constexpr double HEIGHT_PX = 360;
constexpr double MARGIN_PX = 60;

struct Scale {
    double maxValue = 1;
    double lengthPx = 1; ///< of the axis

    double at(double value) const
    {
        return value / maxValue * lengthPx;
    }
};

template <typename Field>
double maxValueOf(const std::vector<CurvePoint> &points, Field field)
{
    double maxValue = 1;
    for (const CurvePoint &point : points) {
        maxValue = std::max(maxValue, field(point));
    }
    return maxValue;
}

} // namespace

std::string curvePlot(const std::vector<CurvePoint> &points)
{
    const Scale x{maxValueOf(points, [](const CurvePoint &point) { return point.detectionP99.value; }),
                  WIDTH_PX - 2 * MARGIN_PX};
    const Scale y{maxValueOf(points, [](const CurvePoint &point) { return point.falsePerHour; }),
                  HEIGHT_PX - 2 * MARGIN_PX};
    const double bottom = HEIGHT_PX - MARGIN_PX;
    std::string line;
    std::string marks;
    for (const CurvePoint &point : points) {
        const double left = MARGIN_PX + x.at(point.detectionP99.value);
        const double top = bottom - y.at(point.falsePerHour);
        line += fmt::format("{:.1f},{:.1f} ", left, top);
        marks +=
            fmt::format("<circle cx=\"{0:.1f}\" cy=\"{1:.1f}\" r=\"4\"/><text x=\"{0:.1f}\" y=\"{2:.1f}\">{3}</text>\n",
                        left, top, top - 8, point.cost);
    }
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                                  "font-family=\"sans-serif\" font-size=\"12\">\n",
                                  WIDTH_PX, HEIGHT_PX);
    svg += fmt::format("<rect width=\"{}\" height=\"{}\" fill=\"white\"/>\n", WIDTH_PX, HEIGHT_PX);
    svg += fmt::format("<path d=\"M{0},{0} V{1} H{2}\" fill=\"none\" stroke=\"#222\"/>\n", MARGIN_PX, bottom,
                       WIDTH_PX - MARGIN_PX);
    svg += fmt::format("<text x=\"{}\" y=\"{}\">p99 of detection of a half-failing upstream, 0 to {:.0f} ms; each mark "
                       "is labelled with its lateDetectionCost</text>\n",
                       MARGIN_PX, HEIGHT_PX - MARGIN_PX / 3, x.maxValue);
    svg += fmt::format("<text x=\"{}\" y=\"{}\">false ejections per upstream-hour, 0 to {:.2f}</text>\n", MARGIN_PX,
                       MARGIN_PX / 2, y.maxValue);
    svg += fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"#1565c0\"/>\n{}</svg>\n", line, marks);
    return svg;
}

} // namespace mustardpond::bench
