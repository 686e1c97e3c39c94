/// Updates that are still being passed on, each a bounded number of times.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardpond {

/// Keys of updates to piggyback on outgoing messages; the ones sent least often go first. Not thread-safe.
class Rumours
{
public:
    /// Starts passing on an update, or starts anew after a change.
    void add(const std::string &key);
    /// Takes up to the given number of keys and counts the sending of each.
    /// @param sendings how often each update is sent before it is dropped
    /// @param maySend whether the message may carry the update; one that it may not is neither taken nor counted
    std::vector<std::string> take(std::size_t limit, int sendings,
                                  const std::function<bool(const std::string &)> &maySend);
    bool empty() const
    {
        return m_sent.empty();
    }
    std::size_t size() const
    {
        return m_sent.size();
    }

private:
    std::map<std::string, int> m_sent;
};

} // namespace mustardpond
