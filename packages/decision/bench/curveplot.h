/// The curve of detection time against false ejections, as an SVG picture.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <vector>

namespace mustardpond::bench {

/// One profile's place on the curve.
struct CurvePoint {
    double cost = 0; ///< of late detection, as in a daemon's settings
    Millis detectionP99;
    double falsePerHour = 0; ///< false ejections per upstream-hour
};

std::string curvePlot(const std::vector<CurvePoint> &points);

} // namespace mustardpond::bench
