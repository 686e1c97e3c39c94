/// Detects members that read the platform's store for the data centre and do not answer.
#pragma once

#include "foundation/clock.h"
#include "wire/generated/frames_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

/// The checks of a standby. The failure detector holds a silent member for alive for several seconds, in which its data
/// centre would get no change of the configuration. An unanswered check makes no member a suspect. Not thread-safe.
class WatcherMonitor
{
public:
    /// Sets the members to check, by incarnation; none unless this node is a standby.
    void setWatchers(const std::vector<std::string> &keys, Millis now);

    Millis nextDue() const;
    /// Returns the members to ask if a check is due.
    std::vector<std::string> takeDue(Millis now);
    /// Remembers a question sent in the ping with this number.
    void onAsked(std::uint64_t number, const std::string &key, Millis now);
    void onAnswer(const wire::AckT &ack);

    std::size_t count() const
    {
        return m_watchers.size();
    }
    /// Returns how many of the members have not answered for about a second.
    std::size_t countSilent(Millis now) const;

private:
    struct Watcher {
        Millis answeredAt; ///< when the newest question that was answered had been sent
        std::map<std::uint64_t, Millis> questions; ///< sending times by the number of the ping; not answered
    };

    std::map<std::string, Watcher> m_watchers;
    Millis m_nextCheck;
};

} // namespace mustardpond
