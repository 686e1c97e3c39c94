#include "membership/watchermonitor.h"

#include <algorithm>
#include <limits>

namespace mustardpond {

namespace {

constexpr Millis CHECK_INTERVAL{400};
/// Two checks in a row without an answer, the second one for most of an interval.
constexpr Millis MAX_SILENCE{1100};

} // namespace

void WatcherMonitor::setWatchers(const std::vector<std::string> &keys, Millis now)
{
    for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
        const bool kept = std::find(keys.begin(), keys.end(), watcher->first) != keys.end();
        watcher = kept ? std::next(watcher) : m_watchers.erase(watcher);
    }
    for (const std::string &key : keys) {
        m_watchers.try_emplace(key, Watcher{now, {}});
    }
}

Millis WatcherMonitor::nextDue() const
{
    return m_watchers.empty() ? Millis(std::numeric_limits<double>::infinity()) : m_nextCheck;
}

std::vector<std::string> WatcherMonitor::takeDue(Millis now)
{
    std::vector<std::string> due;
    if (now < nextDue()) {
        return due;
    }
    m_nextCheck = now + CHECK_INTERVAL;
    for (const auto &[key, watcher] : m_watchers) {
        due.push_back(key);
    }
    return due;
}

void WatcherMonitor::onAsked(std::uint64_t number, const std::string &key, Millis now)
{
    const auto watcher = m_watchers.find(key);
    if (watcher == m_watchers.end()) {
        return;
    }
    auto &questions = watcher->second.questions;
    for (auto question = questions.begin(); question != questions.end();) {
        question = now - question->second > MAX_SILENCE ? questions.erase(question) : std::next(question);
    }
    questions[number] = now;
}

void WatcherMonitor::onAnswer(const wire::AckT &ack)
{
    const auto watcher = m_watchers.find(ack.target);
    if (watcher == m_watchers.end() || ack.from != ack.target) {
        return;
    }
    const auto question = watcher->second.questions.find(ack.number);
    if (question != watcher->second.questions.end()) {
        watcher->second.answeredAt = std::max(watcher->second.answeredAt, question->second);
        watcher->second.questions.erase(question);
    }
}

std::size_t WatcherMonitor::countSilent(Millis now) const
{
    return static_cast<std::size_t>(std::count_if(m_watchers.begin(), m_watchers.end(), [now](const auto &entry) {
        return now - entry.second.answeredAt > MAX_SILENCE;
    }));
}

} // namespace mustardpond
