#include "decision/upstreamtrust.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis TRIAL_INTERVAL{400}; ///< after the second consecutive failure; grows with each further one
constexpr Millis MAX_TRIAL_INTERVAL{800};
constexpr Millis DOUBT_TIMEOUT{5000}; ///< without a trial, the upstream is trusted again after this time
constexpr Millis ERROR_WINDOW{4000};
constexpr std::size_t MIN_ERRORS = 3; ///< error answers within the window that count like a broken connection
constexpr double MIN_ERROR_SHARE = 0.4; ///< minimum share of the errors among all answers within the window
constexpr int MIN_SUCCESSES = 2; ///< consecutive; a single success may be chance while most requests fail
constexpr double HANG_FACTOR = 5; ///< a run longer than this multiple of the usual service time may hang
constexpr Millis MIN_HANG_TIME{400};
constexpr Millis DEFAULT_HANG_TIME{2500}; ///< while no service time is known
constexpr double SERVICE_TIME_SMOOTHING = 0.15; ///< weight of the newest service time
constexpr int FIRST_DELAYED_FAILURE = 2; ///< consecutive; after fewer, a trial follows at once

Millis blend(Millis average, Millis sample)
{
    return average > Millis() ? average + (sample - average) * SERVICE_TIME_SMOOTHING : sample;
}

} // namespace

void UpstreamTrust::onStart(std::uint64_t run, const std::string &workClass, Millis now)
{
    m_running[run] = {workClass, RunClock(now)};
}

void UpstreamTrust::onReaderWait(std::uint64_t run, Millis now)
{
    const auto found = m_running.find(run);
    if (found != m_running.end()) {
        found->second.clock.pause(now);
    }
}

void UpstreamTrust::onReaderReady(std::uint64_t run, Millis now)
{
    const auto found = m_running.find(run);
    if (found != m_running.end()) {
        found->second.clock.resume(now);
    }
}

void UpstreamTrust::onFinish(std::uint64_t run, AttemptResult result, bool broken, Millis now)
{
    const auto found = m_running.find(run);
    if (found == m_running.end()) {
        return;
    }
    const Running finished = found->second;
    m_running.erase(found);
    switch (result) {
    case AttemptResult::Answered:
        recordAnswer(false, now);
        return onSuccess(finished, now);
    case AttemptResult::Failed:
    case AttemptResult::TimedOut:
        recordAnswer(true, now);
        return onFailure(broken || result == AttemptResult::TimedOut, now);
    case AttemptResult::PathFailed:
    case AttemptResult::Unjudged:
        return;
    }
}

void UpstreamTrust::onSuccess(const Running &run, Millis now)
{
    Millis &classAverage = m_classServiceTimes[run.workClass];
    classAverage = blend(classAverage, run.clock.elapsed(now));
    m_overallServiceTime = blend(m_overallServiceTime, run.clock.elapsed(now));
    m_lastSuccess = now;
    if (run.clock.startedAt() <= m_lastFailure) {
        return;
    }
    m_consecutiveFailures = 0;
    ++m_consecutiveSuccesses;
    if (m_consecutiveSuccesses >= MIN_SUCCESSES) {
        m_inDoubt = false;
    }
}

void UpstreamTrust::onFailure(bool broken, Millis now)
{
    if (!broken && !isMostlyErrors()) {
        return; // most likely caused by the request itself
    }
    m_lastFailure = now;
    m_consecutiveSuccesses = 0;
    ++m_consecutiveFailures;
    m_inDoubt = true;
}

TrustLevel UpstreamTrust::level(Millis now) const
{
    const Millis sinceFailure = now - m_lastFailure;
    const bool inDoubt = m_inDoubt && sinceFailure < DOUBT_TIMEOUT;
    if (inDoubt) {
        return sinceFailure < trialInterval() || isTrialRunning() ? TrustLevel::Failing : TrustLevel::Doubtful;
    }
    return hasHangingRun(now) ? TrustLevel::Doubtful : TrustLevel::Trusted;
}

void UpstreamTrust::recordAnswer(bool error, Millis now)
{
    m_answers.push_back({now, error});
    while (now - m_answers.front().at > ERROR_WINDOW) {
        m_answers.pop_front();
    }
}

bool UpstreamTrust::isMostlyErrors() const
{
    const auto errors = static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(), [](const Answer &answer) { return answer.error; }));
    const auto answers = static_cast<double>(m_answers.size());
    return errors >= MIN_ERRORS && static_cast<double>(errors) >= answers * MIN_ERROR_SHARE;
}

Millis UpstreamTrust::trialInterval() const
{
    const int delayedFailures = m_consecutiveFailures - FIRST_DELAYED_FAILURE + 1;
    return Millis(std::min(MAX_TRIAL_INTERVAL.value, TRIAL_INTERVAL.value * std::max(0, delayedFailures)));
}

bool UpstreamTrust::isTrialRunning() const
{
    return std::any_of(m_running.begin(), m_running.end(),
                       [this](const auto &entry) { return entry.second.clock.startedAt() > m_lastFailure; });
}

bool UpstreamTrust::hasHangingRun(Millis now) const
{
    return std::any_of(m_running.begin(), m_running.end(), [this, now](const auto &entry) {
        const Running &run = entry.second;
        const Millis usual = typicalServiceTime(run.workClass);
        const Millis limit = usual > Millis() ? std::max(MIN_HANG_TIME, usual * HANG_FACTOR) : DEFAULT_HANG_TIME;
        return !run.clock.isPaused() && run.clock.elapsed(now) > limit && m_lastSuccess < run.clock.startedAt() + limit;
    });
}

Millis UpstreamTrust::typicalServiceTime(const std::string &workClass) const
{
    const auto found = m_classServiceTimes.find(workClass);
    return found == m_classServiceTimes.end() ? m_overallServiceTime : found->second;
}

Millis UpstreamTrust::classServiceTime(const std::string &workClass) const
{
    const auto found = m_classServiceTimes.find(workClass);
    return found == m_classServiceTimes.end() ? Millis() : found->second;
}

} // namespace mustardpond
