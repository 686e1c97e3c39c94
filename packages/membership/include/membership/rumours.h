/// Queue of gossip updates, each sent a bounded number of times.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

/// Keys of updates to piggyback on outgoing messages. The updates sent least often go first. Not thread-safe.
class Rumours
{
public:
    /// Adds an update, or resets its send count when it has changed again.
    void add(const std::string &key);
    /// Returns up to limit keys and counts each as sent once more.
    /// @param maxSends number of sends after which an update is dropped
    /// @param maySend whether the message may carry the update; an update that it may not carry is skipped and not
    /// counted
    std::vector<std::string> nextBatch(std::size_t limit, int maxSends,
                                       const std::function<bool(const std::string &)> &maySend);
    bool empty() const
    {
        return m_sendCounts.empty();
    }
    std::size_t size() const
    {
        return m_sendCounts.size();
    }

private:
    std::map<std::string, int> m_sendCounts;
};

} // namespace mustardpond
