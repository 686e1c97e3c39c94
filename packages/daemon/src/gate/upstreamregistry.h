/// The backend servers of this host, as they announce themselves.
#pragma once

#include "announcement.h"
#include "decision/slotqueue.h"
#include "membership/member.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

struct LocalUpstream {
    Announcement announced;
    Millis lastHeard;
    Millis warmupUntil; ///< slow until then
    std::shared_ptr<SlotQueue> queue;
};

enum class AnnounceResult : std::uint8_t {
    Changed, ///< others should know
    Unchanged,
    Late, ///< older than what is known
};

/// Not thread-safe.
class UpstreamRegistry
{
public:
    using ChangeHandler = std::function<void(const std::vector<UpstreamInfo> &)>;

    /// @param expires whether an upstream that announces nothing for a while is taken for gone
    UpstreamRegistry(std::size_t waitingPerSlot, bool expires)
        : m_waitingPerSlot(waitingPerSlot)
        , m_expires(expires)
    {
    }

    /// Called with all upstreams whenever something about them changes.
    void onChange(ChangeHandler handler)
    {
        m_onChange = std::move(handler);
    }
    /// Takes over an announcement. One that is older than what is known changes nothing.
    AnnounceResult announce(const Announcement &announcement, Millis now);
    /// Takes over what an earlier start of this gate knew, so that a late announcement does not undo it.
    void restore(const UpstreamInfo &info);
    std::vector<UpstreamInfo> infos() const;
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
    bool isLate(const Announcement &announcement) const;
    void retireOthers(const Announcement &announcement);

    std::size_t m_waitingPerSlot;
    bool m_expires;
    std::map<std::string, LocalUpstream> m_upstreams;
    std::map<std::string, UpstreamInfo> m_recalled; ///< by id, known before this start of the gate
    ChangeHandler m_onChange;
};

} // namespace mustardpond
