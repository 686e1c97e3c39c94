/// How far a gate trusts its upstream at this moment.
#pragma once

#include "decision/detector.h"
#include "foundation/clock.h"
#include "foundation/enumtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace mustardpond {

enum class TrustLevel : std::uint8_t {
    Trusted, ///< takes all work
    Doubtful, ///< takes one request that may be run again, which tells whether the upstream has recovered
    Failing, ///< takes work only if there is no other upstream
};

constexpr EnumTable<TrustLevel, 3> TRUST_LEVEL_NAMES = {
    {{TrustLevel::Trusted, "trusted"}, {TrustLevel::Doubtful, "doubtful"}, {TrustLevel::Failing, "failing"}}};

/// Judges an upstream that fails most of its requests for some seconds, then works again, at a few requests a second:
/// too few for a statistical test to speak in time. One broken connection is enough to keep work away that must not be
/// lost; a single error answer is not. Work that may be repeated tells, now and then, whether the upstream has
/// recovered. Pure and not thread-safe.
class UpstreamTrust
{
public:
    void onStart(std::uint64_t run, const std::string &workClass, Millis now);
    /// @param broken whether the connection broke or the answer made no sense, rather than being an error answer
    void onFinish(std::uint64_t run, AttemptResult result, bool broken, Millis now);
    TrustLevel level(Millis now) const;
    int failuresInRow() const
    {
        return m_failuresInRow;
    }
    /// Usual service time of a class; of all classes for an unknown one.
    Millis typicalServiceTime(const std::string &workClass) const;
    /// Usual service time of a class; zero for an unknown one.
    Millis classServiceTime(const std::string &workClass) const;
    Millis typicalServiceTime() const
    {
        return m_typical;
    }

private:
    struct Running {
        std::string workClass;
        Millis startedAt;
    };

    struct Answer {
        Millis at;
        bool error;
    };

    void onSuccess(const Running &run, Millis now);
    void onFailure(bool broken, Millis now);
    bool hangs(Millis now) const;
    void noteAnswer(bool error, Millis now);
    bool isMostlyErrors() const;
    Millis trialPause() const;
    /// Whether a request that was started after the last failure is running.
    bool isTried() const;

    std::unordered_map<std::uint64_t, Running> m_running;
    std::map<std::string, Millis> m_typicalOf;
    Millis m_typical;
    Millis m_lastFailure{-1e12};
    Millis m_lastSuccess{-1e12};
    std::deque<Answer> m_answers; ///< the newest
    bool m_doubted = false; ///< since the last failure, until enough has succeeded
    int m_failuresInRow = 0; ///< since the last success
    int m_successesInRow = 0; ///< of requests started since the last failure
};

} // namespace mustardpond
