/// The backend servers of this host, as they announce themselves.
#pragma once

#include "announcement.h"
#include "decision/slotqueue.h"
#include "decision/startchallenge.h"
#include "membership/member.h"
#include "upstreamstart.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// A start of an upstream that a later one under the same id has replaced.
struct ReplacedStart {
    std::uint64_t born = 0; ///< start time in Unix milliseconds; 0 if there is none
    UpstreamState state = UpstreamState::Ready; ///< last known
};

struct LocalUpstream {
    Announcement announced;
    Millis lastAnnouncedAt;
    Millis warmupUntil; ///< slow until then
    std::shared_ptr<SlotQueue> queue;
    bool superseded = false; ///< gone since another upstream took its address, not by its own announcement
    bool startTimeMisleads = false; ///< newer than the other known starts, although its start time is earlier
    ReplacedStart replaced = {}; ///< the start before this one; its announcements are late, whatever their start time
};

enum class AnnounceResult : std::uint8_t {
    Changed, ///< must be published
    Unchanged,
    Late, ///< older than the known state
};

/// Not thread-safe.
class UpstreamRegistry
{
public:
    using ChangeHandler = std::function<void(const std::vector<UpstreamInfo> &)>;

    /// @param expires whether an upstream that stops announcing itself counts as gone
    UpstreamRegistry(std::size_t waitingPerSlot, bool expires)
        : m_waitingPerSlot(waitingPerSlot)
        , m_expires(expires)
    {
    }

    /// Sets the handler that receives all upstreams whenever one of them changes.
    void onChange(ChangeHandler handler)
    {
        m_onChange = std::move(handler);
    }
    /// Applies an announcement. One that is older than the known state changes nothing.
    AnnounceResult announce(const Announcement &announcement, Millis now);
    /// Restores the state known to an earlier start of this gate, so that a late announcement does not revert it.
    void restore(const UpstreamInfo &info);
    std::vector<UpstreamInfo> infos() const;
    /// Marks upstreams as gone that have stopped announcing themselves.
    void expire(Millis now);
    /// Returns null if there is none.
    LocalUpstream *find(const std::string &id);
    bool isReady(const std::string &id) const;
    /// Whether a start of an upstream is known to have ended, as another one has announced itself. A start that is not
    /// known has not.
    bool hasEnded(const UpstreamStart &start) const;
    /// Returns the ready upstream of a service with the fewest requests per slot, or null if there is none.
    LocalUpstream *leastLoaded(const std::string &service);
    const std::map<std::string, LocalUpstream> &all() const
    {
        return m_upstreams;
    }

private:
    void publish();
    bool isLate(const Announcement &announcement) const;
    /// Whether an announcement comes from the start that the known one has replaced.
    bool isFromReplacedStart(const Announcement &announcement) const;
    /// Whether a late announcement reports that a start leaves which is not known to leave. It may come from the
    /// current start, after the clock was set back, and its sender stops only once it is acknowledged.
    bool isFirstReportOfLeaving(const Announcement &announcement) const;
    /// Whether a late announcement comes from a start that is newer than the known ones, as the clock was set back.
    bool isNewerDespiteStartTime(const Announcement &announcement, Millis now);
    /// Takes over the start that a late announcement names as the one that its id's deregistration has ended.
    void learnEndedStart(const Announcement &announcement);
    void markOthersGone(const Announcement &announcement, bool startTimeMisleads);

    std::size_t m_waitingPerSlot;
    bool m_expires;
    std::map<std::string, LocalUpstream> m_upstreams;
    StartChallenge m_startChallenge;
    std::map<std::string, UpstreamInfo> m_restored; ///< by id, as known to an earlier start of this gate
    ChangeHandler m_onChange;
};

} // namespace mustardpond
