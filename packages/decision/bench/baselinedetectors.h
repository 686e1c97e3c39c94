/// Simple rules used as baselines for the sequential detector.
#pragma once

#include "decision/detector.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace mustardpond::bench {

/// Common base of the simple rules: ejects whole upstreams for a fixed time, within the capacity floor.
class RuleDetector : public Detector
{
public:
    void setUpstream(const std::string &upstream, double slots) override
    {
        m_upstreams[upstream].slots = slots;
    }
    void removeUpstream(const std::string &upstream) override
    {
        m_upstreams.erase(upstream);
    }
    void setFloor(double floor) override
    {
        m_floor = floor;
    }
    void onStart(const AttemptStart &start, Millis now) override
    {
        m_running[start.attempt] = start;
    }
    void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now) override;
    std::vector<HealthChange> tick(Millis now) override;
    double weight(const std::string &upstream, const std::string &workClass, Millis now) const override;

protected:
    struct Upstream {
        double slots = 1;
        bool ejected = false;
        Millis ejectedUntil;
        int consecutiveErrors = 0;
        std::deque<double> serviceTimes; ///< in ms, of the current window
        int errors = 0;
        int requests = 0;
    };

    virtual void recordOutcome(Upstream &upstream, AttemptResult result, Millis serviceTime) = 0;
    /// Returns the upstreams that the rule would eject now.
    virtual std::vector<std::string> suspects(Millis now) = 0;

    std::map<std::string, Upstream> m_upstreams;

private:
    bool floorAllows() const;

    double m_floor = 0.5;
    std::map<std::uint64_t, AttemptStart> m_running;
};

/// Health probes only: ejects after three consecutive failed probes, one every five seconds. The oracle supplies the
/// result of each probe.
class ProbeDetector : public RuleDetector
{
public:
    /// Whether an upstream answers a probe at the given time.
    using Oracle = std::function<bool(const std::string &, Millis)>;
    explicit ProbeDetector(Oracle answersProbes)
        : m_answersProbes(std::move(answersProbes))
    {
    }

private:
    void recordOutcome(Upstream &, AttemptResult, Millis) override { }
    std::vector<std::string> suspects(Millis now) override;

    Oracle m_answersProbes;
    Millis m_nextProbe;
};

/// Ejects after five consecutive errors.
class ConsecutiveErrorsDetector : public RuleDetector
{
private:
    void recordOutcome(Upstream &upstream, AttemptResult result, Millis serviceTime) override;
    std::vector<std::string> suspects(Millis now) override;
};

/// Quartile fences over windows of a second: ejects an upstream whose mean service time or error share lies more than
/// three interquartile ranges above the third quartile (Chen and others, "Outlier Detection for Fine-grained Load
/// Balancing in Database Clusters").
class QuartileDetector : public RuleDetector
{
private:
    void recordOutcome(Upstream &upstream, AttemptResult result, Millis serviceTime) override;
    std::vector<std::string> suspects(Millis now) override;

    Millis m_windowEnd;
};

} // namespace mustardpond::bench
