#include "decision/upstreamtrust.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis TRIAL_PAUSE{400}; ///< after the second failure in a row; grows with each further one
constexpr Millis LONGEST_TRIAL_PAUSE{800};
constexpr Millis UNTRIED_LIMIT{5000}; ///< without any trial, doubts end after this time
constexpr Millis ERROR_WINDOW{4000};
constexpr std::size_t LEAST_ERRORS = 3; ///< error answers within the window that count as one broken connection
constexpr double ERROR_SHARE = 0.4; ///< which they must be, at least, of all answers within the window
constexpr int RECOVERED_AFTER = 2; ///< successes in a row; one may be luck while most requests fail
constexpr double HANG_FACTOR = 5; ///< a run that takes so many usual service times may hang
constexpr Millis LEAST_HANG{400};
constexpr Millis UNKNOWN_HANG{2500}; ///< while no run has ended yet
constexpr double TIME_MEMORY = 0.15; ///< weight of the newest service time
constexpr int FAILING_STREAK = 2;

Millis blend(Millis known, Millis sample)
{
    return known > Millis() ? known + (sample - known) * TIME_MEMORY : sample;
}

} // namespace

void UpstreamTrust::onStart(std::uint64_t run, const std::string &workClass, Millis now)
{
    m_running[run] = {workClass, now};
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
        noteAnswer(false, now);
        return onSuccess(finished, now);
    case AttemptResult::Failed:
    case AttemptResult::TimedOut:
        noteAnswer(true, now);
        return onFailure(broken || result == AttemptResult::TimedOut, now);
    case AttemptResult::PathFailed:
    case AttemptResult::Unjudged:
        return;
    }
}

void UpstreamTrust::onSuccess(const Running &run, Millis now)
{
    Millis &typical = m_typicalOf[run.workClass];
    typical = blend(typical, now - run.startedAt);
    m_typical = blend(m_typical, now - run.startedAt);
    m_lastSuccess = now;
    if (run.startedAt <= m_lastFailure) {
        return;
    }
    m_failuresInRow = 0;
    ++m_successesInRow;
    if (m_successesInRow >= RECOVERED_AFTER) {
        m_doubted = false;
    }
}

void UpstreamTrust::onFailure(bool broken, Millis now)
{
    if (!broken && !isMostlyErrors()) {
        return; // mostly the request's own error
    }
    m_lastFailure = now;
    m_successesInRow = 0;
    ++m_failuresInRow;
    m_doubted = true;
}

TrustLevel UpstreamTrust::level(Millis now) const
{
    const Millis since = now - m_lastFailure;
    const bool doubted = m_doubted && since < UNTRIED_LIMIT;
    if (doubted) {
        return since < trialPause() || isTried() ? TrustLevel::Failing : TrustLevel::Doubtful;
    }
    return hangs(now) ? TrustLevel::Doubtful : TrustLevel::Trusted;
}

void UpstreamTrust::noteAnswer(bool error, Millis now)
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
    return errors >= LEAST_ERRORS && static_cast<double>(errors) >= answers * ERROR_SHARE;
}

Millis UpstreamTrust::trialPause() const
{
    const int further = m_failuresInRow - FAILING_STREAK + 1;
    return Millis(std::min(LONGEST_TRIAL_PAUSE.value, TRIAL_PAUSE.value * std::max(0, further)));
}

bool UpstreamTrust::isTried() const
{
    return std::any_of(m_running.begin(), m_running.end(),
                       [this](const auto &entry) { return entry.second.startedAt > m_lastFailure; });
}

bool UpstreamTrust::hangs(Millis now) const
{
    return std::any_of(m_running.begin(), m_running.end(), [this, now](const auto &entry) {
        const Running &run = entry.second;
        const Millis usual = typicalServiceTime(run.workClass);
        const Millis limit = usual > Millis() ? std::max(LEAST_HANG, usual * HANG_FACTOR) : UNKNOWN_HANG;
        return now - run.startedAt > limit && m_lastSuccess < run.startedAt + limit;
    });
}

Millis UpstreamTrust::typicalServiceTime(const std::string &workClass) const
{
    const auto found = m_typicalOf.find(workClass);
    return found == m_typicalOf.end() ? m_typical : found->second;
}

Millis UpstreamTrust::classServiceTime(const std::string &workClass) const
{
    const auto found = m_typicalOf.find(workClass);
    return found == m_typicalOf.end() ? Millis() : found->second;
}

} // namespace mustardpond
