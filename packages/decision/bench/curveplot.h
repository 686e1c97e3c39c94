/// Plots detection time against false ejections as SVG.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <vector>

namespace mustardpond::bench {

/// Result of one detection profile.
struct CurvePoint {
    double cost = 0; ///< lateDetectionCost of the daemon settings
    Millis detectionP99;
    double falsePerHour = 0; ///< false ejections per upstream-hour
};

std::string curvePlot(const std::vector<CurvePoint> &points);

} // namespace mustardpond::bench
