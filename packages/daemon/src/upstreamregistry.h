/// The backend servers of this host, as they announce themselves.
#pragma once

#include "config/daemonsettings.h"
#include "decision/slotqueue.h"
#include "membership/member.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// What a backend server says of itself, at its start and then every second.
struct Announcement {
    std::string id;
    std::string service;
    Endpoint address;
    UpstreamState state = UpstreamState::Ready;
    std::uint32_t slots = 1;
};

/// Throws InvalidDocument or InvalidField.
Announcement parseAnnouncement(const std::string &text);

struct LocalUpstream {
    Announcement announced;
    Millis lastHeard;
    std::shared_ptr<SlotQueue> queue;
};

/// Not thread-safe.
class UpstreamRegistry
{
public:
    using ChangeHandler = std::function<void(const std::vector<UpstreamInfo> &)>;

    explicit UpstreamRegistry(std::size_t waitingPerSlot)
        : m_waitingPerSlot(waitingPerSlot)
    {
    }

    /// Called with all upstreams whenever something about them changes.
    void onChange(ChangeHandler handler)
    {
        m_onChange = std::move(handler);
    }
    void announce(const Announcement &announcement, Millis now);
    /// Marks upstreams that have stopped announcing themselves as gone.
    void expire(Millis now);
    /// Null when there is none.
    LocalUpstream *find(const std::string &id);
    /// The ready upstream of a service with the fewest requests; null when there is none.
    LocalUpstream *leastLoaded(const std::string &service);
    const std::map<std::string, LocalUpstream> &all() const
    {
        return m_upstreams;
    }

private:
    void publish();

    std::size_t m_waitingPerSlot;
    std::map<std::string, LocalUpstream> m_upstreams;
    ChangeHandler m_onChange;
};

} // namespace mustardpond
