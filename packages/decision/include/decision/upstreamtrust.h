/// A gate's current level of trust in its upstream.
#pragma once

#include "decision/detector.h"
#include "decision/runclock.h"
#include "foundation/clock.h"
#include "foundation/enumtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace mustardpond {

enum class TrustLevel : std::uint8_t {
    Trusted, ///< accepts all work
    Doubtful, ///< accepts one idempotent request as a trial of whether the upstream has recovered
    Failing, ///< accepts work only if there is no other upstream
};

constexpr EnumTable<TrustLevel, 3> TRUST_LEVEL_NAMES = {
    {{TrustLevel::Trusted, "trusted"}, {TrustLevel::Doubtful, "doubtful"}, {TrustLevel::Failing, "failing"}}};

/// Evaluates an upstream that fails most of its requests for some seconds and then recovers, at a few requests a
/// second: too few for a statistical test to decide in time. One broken connection is enough to stop sending work that
/// must not be lost, which is irreversible requests and uploads; a single error answer is not. Idempotent requests
/// serve as occasional trials of whether the upstream has recovered. Performs no I/O; not thread-safe.
class UpstreamTrust
{
public:
    void onStart(std::uint64_t run, const std::string &workClass, Millis now);
    /// @param broken whether the connection broke or the answer was malformed, as opposed to an error answer
    void onFinish(std::uint64_t run, AttemptResult result, bool broken, Millis now);
    /// The time until onReaderReady(), in which the answer's reader is waited for, does not count.
    void onReaderWait(std::uint64_t run, Millis now);
    void onReaderReady(std::uint64_t run, Millis now);
    TrustLevel level(Millis now) const;
    int consecutiveFailures() const
    {
        return m_consecutiveFailures;
    }
    /// Returns the smoothed service time of a class, or that of all classes if the class is unknown.
    Millis typicalServiceTime(const std::string &workClass) const;
    /// Returns the smoothed service time of a class, or zero if the class is unknown.
    Millis classServiceTime(const std::string &workClass) const;
    Millis typicalServiceTime() const
    {
        return m_overallServiceTime;
    }

private:
    struct Running {
        std::string workClass;
        RunClock clock;
    };

    struct Answer {
        Millis at;
        bool error;
    };

    void onSuccess(const Running &run, Millis now);
    void onFailure(bool broken, Millis now);
    bool hasHangingRun(Millis now) const;
    void recordAnswer(bool error, Millis now);
    bool isMostlyErrors() const;
    /// Returns the time between the last failure and the next trial.
    Millis trialInterval() const;
    /// Whether a request that was started after the last failure is running.
    bool isTrialRunning() const;

    std::unordered_map<std::uint64_t, Running> m_running;
    std::map<std::string, Millis> m_classServiceTimes;
    Millis m_overallServiceTime;
    Millis m_lastFailure{-1e12};
    Millis m_lastSuccess{-1e12};
    std::deque<Answer> m_answers; ///< within the error window
    bool m_inDoubt = false; ///< set by a failure, cleared after enough successes
    int m_consecutiveFailures = 0; ///< since the last success
    int m_consecutiveSuccesses = 0; ///< of requests started since the last failure
};

} // namespace mustardpond
