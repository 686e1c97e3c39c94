/// Detects only unreachable gates; each gate detects failures of its own upstream.
#pragma once

#include "decision/detector.h"

#include <string>
#include <unordered_map>

namespace mustardpond {

/// For fleets in which each router sees a few requests a second, too few to compare upstreams. Not thread-safe.
class PathDetector : public Detector
{
public:
    void setUpstream(const std::string &upstream, double slots) override;
    void removeUpstream(const std::string &upstream) override;
    void setFloor(double floor) override;
    void onStart(const AttemptStart &start, Millis now) override;
    void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now) override;
    void onAbandoned(std::uint64_t attempt) override
    {
        m_running.erase(attempt);
    }
    void onGateSuspicion(const std::string &upstream, const std::string &workClass, Millis now) override;
    std::vector<HealthChange> tick(Millis now) override;
    double weight(const std::string &upstream, const std::string &workClass, Millis now) const override;

private:
    struct Path {
        int failures = 0; ///< since the gate was last reached
        Millis avoidUntil{-1e12};
    };

    std::unordered_map<std::string, Path> m_paths;
    std::unordered_map<std::uint64_t, std::string> m_running; ///< upstream by attempt
    std::vector<HealthChange> m_changes;
};

} // namespace mustardpond
