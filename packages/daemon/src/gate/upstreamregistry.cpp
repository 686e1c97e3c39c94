#include "upstreamregistry.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis ANNOUNCEMENT_TIMEOUT{3500};

double requestsPerSlot(const LocalUpstream &upstream)
{
    const auto requests = upstream.queue->running() + upstream.queue->waiting();
    return static_cast<double>(requests) / upstream.announced.slots;
}

void logAnnouncement(const Announcement &announcement)
{
    const bool draining = announcement.state == UpstreamState::Draining;
    const Event event = draining ? Event::UpstreamDraining : Event::UpstreamAnnounced;
    logEvent(event,
             {{"upstream", announcement.id},
              {"service", announcement.service},
              {"state", nameOf(UPSTREAM_STATE_NAMES, announcement.state)},
              {"slots", announcement.slots},
              {"born", announcement.born},
              {"sequence", announcement.sequence}});
}

bool isLeaving(UpstreamState state)
{
    return state == UpstreamState::Draining || state == UpstreamState::Gone;
}

/// Whether all that is known of an upstream is its deregistration.
bool isDeregistrationOnly(const Announcement &announcement)
{
    return announcement.state == UpstreamState::Gone && announcement.born == 0;
}

/// Fills a deregistration, which carries only the id, with the known fields of the start that it ends.
void completeDeregistration(Announcement &deregistration, const UpstreamInfo &known)
{
    deregistration.service = known.service;
    deregistration.slots = known.slots;
    deregistration.born = known.born;
    deregistration.sequence = known.sequence;
}

/// Whether an announcement is older than the known state of the same id.
/// @param endedAt time up to which all starts of the id have ended; 0 if unknown
bool isOlder(const Announcement &announcement, std::uint64_t born, std::uint64_t sequence, UpstreamState state,
             std::uint64_t endedAt)
{
    if (announcement.born != 0 && announcement.born != born) {
        return announcement.born < born || announcement.born <= endedAt;
    }
    const bool revertsLeaving = isLeaving(state) && announcement.state < state && born != 0;
    return revertsLeaving || (announcement.sequence != 0 && announcement.sequence < sequence);
}

} // namespace

bool UpstreamRegistry::isFromReplacedStart(const Announcement &announcement) const
{
    const auto known = m_upstreams.find(announcement.id);
    return announcement.born != 0 && known != m_upstreams.end() && known->second.replaced.born == announcement.born;
}

bool UpstreamRegistry::isFirstReportOfLeaving(const Announcement &announcement) const
{
    if (announcement.born == 0 || !isLeaving(announcement.state)) {
        return false;
    }
    const auto known = m_upstreams.find(announcement.id);
    if (known != m_upstreams.end()) {
        const LocalUpstream &upstream = known->second;
        return !isLeaving(upstream.announced.state) && upstream.announced.born != announcement.born
            && !(isFromReplacedStart(announcement) && isLeaving(upstream.replaced.state));
    }
    const auto restored = m_restored.find(announcement.id);
    return restored == m_restored.end()
        || (!isLeaving(restored->second.state) && restored->second.born != announcement.born);
}

bool UpstreamRegistry::isLate(const Announcement &announcement) const
{
    if (isFromReplacedStart(announcement)) {
        return true;
    }
    const auto known = m_upstreams.find(announcement.id);
    if (known != m_upstreams.end()) {
        const Announcement &before = known->second.announced;
        const UpstreamState state = known->second.superseded ? UpstreamState::Ready : before.state;
        if (isOlder(announcement, before.born, before.sequence, state, before.endedAt)) {
            return true;
        }
        if (known->second.startTimeMisleads && announcement.born == before.born) {
            return false;
        }
    }
    const auto restored = m_restored.find(announcement.id);
    if (restored != m_restored.end()) {
        const UpstreamInfo &before = restored->second;
        if (isOlder(announcement, before.born, before.sequence, before.state, 0)) {
            return true;
        }
    }
    // A registry belongs to one daemon. If announcements give a start time, the daemon has one upstream address, so the
    // upstream started last is the only current one. Addresses are not compared.
    return announcement.born != 0
        && std::any_of(m_upstreams.begin(), m_upstreams.end(), [&announcement](const auto &entry) {
               return entry.first != announcement.id && !entry.second.superseded
                   && entry.second.announced.born > announcement.born;
           });
}

bool UpstreamRegistry::isNewerDespiteStartTime(const Announcement &announcement, Millis now)
{
    const auto known = m_upstreams.find(announcement.id);
    const auto restored = m_restored.find(announcement.id);
    const bool isKnownStart = (known != m_upstreams.end() && known->second.announced.born == announcement.born)
        || (restored != m_restored.end() && restored->second.born == announcement.born);
    const bool mayBeNewer = !isKnownStart || isFromReplacedStart(announcement);
    if (announcement.born == 0 || announcement.sequence == 0 || !mayBeNewer) {
        return false;
    }
    StartChallenge::Claim claim{announcement.born, announcement.sequence, Millis()};
    for (const auto &[id, upstream] : m_upstreams) {
        claim.knownHeardAt = std::max(claim.knownHeardAt, upstream.lastAnnouncedAt);
    }
    return m_startChallenge.onClaim(claim, now);
}

void UpstreamRegistry::learnEndedStart(const Announcement &announcement)
{
    const auto known = m_upstreams.find(announcement.id);
    if (known != m_upstreams.end() && isDeregistrationOnly(known->second.announced)) {
        known->second.announced.born = announcement.born;
        known->second.announced.sequence = announcement.sequence;
    }
}

AnnounceResult UpstreamRegistry::announce(const Announcement &announcement, Millis now)
{
    const bool late = isLate(announcement);
    const bool newerDespiteStartTime = late && isNewerDespiteStartTime(announcement, now);
    if (late && !newerDespiteStartTime && !isFirstReportOfLeaving(announcement)) {
        learnEndedStart(announcement);
        logEvent(Event::AnnouncementLate,
                 {{"upstream", announcement.id},
                  {"born", announcement.born},
                  {"sequence", announcement.sequence},
                  {"state", nameOf(UPSTREAM_STATE_NAMES, announcement.state)}});
        return AnnounceResult::Late;
    }
    markOthersGone(announcement, newerDespiteStartTime);
    const auto found = m_upstreams.find(announcement.id);
    if (found == m_upstreams.end()) {
        const auto waiting = announcement.slots * m_waitingPerSlot;
        auto queue = std::make_shared<SlotQueue>(announcement.slots, waiting);
        LocalUpstream &added = m_upstreams[announcement.id];
        added = {announcement, now, now + announcement.warmupRemaining, std::move(queue)};
        added.startTimeMisleads = late;
        const auto restored = m_restored.find(announcement.id);
        if (restored != m_restored.end() && isDeregistrationOnly(announcement)) {
            completeDeregistration(added.announced, restored->second);
        }
        if (late && restored != m_restored.end()) {
            added.replaced = {restored->second.born, restored->second.state};
        }
        logAnnouncement(added.announced);
        publish();
        return AnnounceResult::Changed;
    }
    LocalUpstream &known = found->second;
    const Announcement before = known.announced;
    const bool changed = before.state != announcement.state || before.slots != announcement.slots
        || before.service != announcement.service || before.born != announcement.born;
    if (announcement.born != 0 && announcement.born != before.born) {
        known.replaced = {before.born, known.superseded ? UpstreamState::Ready : before.state};
    }
    known.lastAnnouncedAt = now;
    known.announced = announcement;
    known.superseded = false;
    known.startTimeMisleads = late || (known.startTimeMisleads && before.born == announcement.born);
    if (announcement.state == UpstreamState::Gone) {
        // A deregistration carries only the id.
        known.announced.service = before.service;
        known.announced.address = before.address;
        known.announced.slots = before.slots;
        if (announcement.born == 0) {
            known.announced.born = before.born;
            known.announced.sequence = std::max(before.sequence, announcement.sequence);
        }
        known.announced.endedAt = std::max(before.endedAt, announcement.endedAt);
    }
    known.warmupUntil = now + announcement.warmupRemaining;
    known.queue->resize(known.announced.slots);
    if (!changed) {
        return AnnounceResult::Unchanged;
    }
    logAnnouncement(known.announced);
    publish();
    return AnnounceResult::Changed;
}

void UpstreamRegistry::markOthersGone(const Announcement &announcement, bool startTimeMisleads)
{
    if (announcement.born == 0) {
        return;
    }
    for (auto &[id, upstream] : m_upstreams) {
        const bool isOlderStart = startTimeMisleads || upstream.announced.born < announcement.born;
        if (id != announcement.id && isOlderStart) {
            upstream.superseded = upstream.superseded || !isLeaving(upstream.announced.state);
            upstream.announced.state = UpstreamState::Gone;
        }
    }
}

void UpstreamRegistry::restore(const UpstreamInfo &info)
{
    const auto known = m_restored.find(info.id);
    const bool newerStart = known == m_restored.end() || info.born > known->second.born;
    const bool newer = newerStart || (info.born == known->second.born && info.sequence >= known->second.sequence);
    if (!newer) {
        return;
    }
    m_restored[info.id] = info;
    const auto found = m_upstreams.find(info.id);
    if (found != m_upstreams.end() && info.born != 0 && isDeregistrationOnly(found->second.announced)) {
        completeDeregistration(found->second.announced, info);
        return publish();
    }
    if (found == m_upstreams.end()) {
        return;
    }
    const Announcement &current = found->second.announced;
    const bool endsEarlierStart = newerStart && info.state == UpstreamState::Gone && current.born != 0
        && current.born < info.born && !found->second.startTimeMisleads;
    const bool supersedes =
        isLeaving(info.state) && current.state < info.state && (current.born == info.born || endsEarlierStart);
    if (supersedes) {
        found->second.announced.state = info.state;
        publish();
    }
}

void UpstreamRegistry::expire(Millis now)
{
    bool changed = false;
    for (auto &[id, upstream] : m_upstreams) {
        const bool timedOut = now - upstream.lastAnnouncedAt > ANNOUNCEMENT_TIMEOUT;
        if (m_expires && upstream.announced.state != UpstreamState::Gone && timedOut) {
            upstream.announced.state = UpstreamState::Gone;
            logEvent(Event::UpstreamGone, {{"upstream", id}, {"service", upstream.announced.service}});
            changed = true;
        }
    }
    if (changed) {
        publish();
    }
}

LocalUpstream *UpstreamRegistry::find(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

bool UpstreamRegistry::isReady(const std::string &id) const
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() && found->second.announced.state == UpstreamState::Ready;
}

bool UpstreamRegistry::hasEnded(const UpstreamStart &start) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&start](const auto &entry) {
        const auto &[id, upstream] = entry;
        const std::uint64_t born = upstream.announced.born;
        if (id == start.id) {
            return upstream.superseded || (born != 0 && start.born != 0 && born != start.born);
        }
        return start.born != 0 && !upstream.superseded && born > start.born;
    });
}

LocalUpstream *UpstreamRegistry::leastLoaded(const std::string &service)
{
    LocalUpstream *best = nullptr;
    for (auto &[id, upstream] : m_upstreams) {
        const bool isCandidate =
            upstream.announced.service == service && upstream.announced.state == UpstreamState::Ready;
        if (isCandidate && (!best || requestsPerSlot(upstream) < requestsPerSlot(*best))) {
            best = &upstream;
        }
    }
    return best;
}

std::vector<UpstreamInfo> UpstreamRegistry::infos() const
{
    std::vector<UpstreamInfo> list;
    for (const auto &[id, upstream] : m_upstreams) {
        const Announcement &announced = upstream.announced;
        std::uint64_t born = announced.born;
        if (announced.state == UpstreamState::Gone) {
            born = std::max(born, announced.endedAt);
        }
        if (isLeaving(announced.state)) {
            // After a restart, a late announcement of the replaced start must not make the upstream ready again.
            born = std::max(born, upstream.replaced.born);
        }
        list.push_back({id, announced.service, announced.state, announced.slots, born, announced.sequence});
    }
    for (const auto &[id, info] : m_restored) {
        if (m_upstreams.count(id) == 0 && isLeaving(info.state)) {
            list.push_back(info);
        }
    }
    return list;
}

void UpstreamRegistry::publish()
{
    if (m_onChange) {
        m_onChange(infos());
    }
}

} // namespace mustardpond
