#include "upstreamregistry.h"

#include "foundation/events.h"
#include "foundation/fieldreader.h"

namespace mustardpond {

namespace {

constexpr Millis SILENCE_LIMIT{3500};
constexpr NumberRange SLOT_RANGE{1, 10000};

double loadOf(const LocalUpstream &upstream)
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
              {"slots", announcement.slots}});
}

} // namespace

Announcement parseAnnouncement(const std::string &text)
{
    const nlohmann::json document = parseJson(text, "the announcement");
    FieldReader reader(document, "");
    Announcement announcement;
    announcement.id = reader.text("id");
    announcement.service = reader.text("service");
    announcement.address = parseEndpoint(reader.text("address"), "address");
    announcement.state = reader.choice("state", UPSTREAM_STATE_NAMES);
    announcement.slots = static_cast<std::uint32_t>(reader.number("slots", SLOT_RANGE));
    return announcement;
}

void UpstreamRegistry::announce(const Announcement &announcement, Millis now)
{
    const auto found = m_upstreams.find(announcement.id);
    if (found == m_upstreams.end()) {
        const auto waiting = announcement.slots * m_waitingPerSlot;
        auto queue = std::make_shared<SlotQueue>(announcement.slots, waiting);
        m_upstreams[announcement.id] = {announcement, now, std::move(queue)};
        logAnnouncement(announcement);
        publish();
        return;
    }
    LocalUpstream &known = found->second;
    const Announcement &before = known.announced;
    const bool changed = before.state != announcement.state || before.slots != announcement.slots
        || before.service != announcement.service;
    known.lastHeard = now;
    known.announced = announcement;
    known.queue->resize(announcement.slots);
    if (changed) {
        logAnnouncement(announcement);
        publish();
    }
}

void UpstreamRegistry::expire(Millis now)
{
    bool changed = false;
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.announced.state != UpstreamState::Gone && now - upstream.lastHeard > SILENCE_LIMIT) {
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

LocalUpstream *UpstreamRegistry::leastLoaded(const std::string &service)
{
    LocalUpstream *best = nullptr;
    for (auto &[id, upstream] : m_upstreams) {
        const bool serves = upstream.announced.service == service && upstream.announced.state == UpstreamState::Ready;
        if (serves && (!best || loadOf(upstream) < loadOf(*best))) {
            best = &upstream;
        }
    }
    return best;
}

void UpstreamRegistry::publish()
{
    if (!m_onChange) {
        return;
    }
    std::vector<UpstreamInfo> list;
    for (const auto &[id, upstream] : m_upstreams) {
        const Announcement &announced = upstream.announced;
        list.push_back({id, announced.service, announced.state, announced.slots});
    }
    m_onChange(list);
}

} // namespace mustardpond
