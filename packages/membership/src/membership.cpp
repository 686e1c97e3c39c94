#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t RUMOUR_FANOUT = 2;
constexpr std::size_t INDIRECT_PROBES = 3;
constexpr std::size_t RUMOURS_PER_MESSAGE = 16;
constexpr std::size_t SEEDS_ASKED = 3;
constexpr std::size_t NEAR_SEEDS_ASKED = 2; ///< of the same data centre, as far as they are known
constexpr int SENDINGS = 8; ///< of a rumour by each member; comparisons mend what they miss
constexpr std::size_t OBJECTS_PER_MESSAGE = 500;
constexpr std::size_t REMOTE_OBJECT_BYTES = 1024; ///< other data centres have watchers of their own for larger ones
constexpr std::size_t PUSHED_TO = 64; ///< members of the data centre that a new object is sent to at once
constexpr std::size_t REMOTE_PROBE_EVERY = 8; ///< one probe in so many goes to another data centre
constexpr std::size_t REMOTE_RUMOUR_EVERY = 12; ///< all members of a data centre send each rumour, so few do for others
constexpr std::size_t REMOTE_COMPARE_EVERY = 4; ///< one comparison in so many

std::string keyOf(const Incarnation &incarnation)
{
    return toString(incarnation);
}

} // namespace

Membership::Membership(Member self, MembershipTimings timings, Random &random)
    : m_self(std::move(self))
    , m_timings(timings)
    , m_random(random)
{
    raiseSelf();
}

void Membership::raiseSelf()
{
    ++m_self.sequence;
    m_known[keyOf(m_self.incarnation)].member = m_self;
    m_memberRumours.add(keyOf(m_self.incarnation));
}

void Membership::setUpstreams(std::vector<UpstreamInfo> upstreams)
{
    m_self.upstreams = std::move(upstreams);
    raiseSelf();
}

void Membership::setSeesPlatform(bool sees)
{
    if (m_self.seesPlatform != sees) {
        m_self.seesPlatform = sees;
        raiseSelf();
    }
}

void Membership::leave()
{
    m_self.state = MemberState::Left;
    raiseSelf();
}

bool Membership::publishObject(const StoredObject &object)
{
    if (!applyObject(object)) {
        return false;
    }
    m_unpushed.push_back(ObjectTable::keyOf(object.kind, object.name));
    return true;
}

bool Membership::applyObject(const StoredObject &object)
{
    if (!m_objects.apply(object)) {
        return false;
    }
    m_objectRumours.add(ObjectTable::keyOf(object.kind, object.name));
    m_objectChanges.push_back(object);
    return true;
}

std::vector<OutgoingGossip> Membership::tick(Millis now)
{
    std::vector<OutgoingGossip> out;
    expire(now);
    followProbe(now, out);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_timings.probePeriod;
        if (peers(false).empty() && peers(true).empty()) {
            askSeeds(out);
        } else {
            probe(now, out);
        }
    }
    pushObjects(out);
    if (now >= m_nextRumour) {
        m_nextRumour = now + m_timings.rumourPeriod;
        spread(out);
    }
    if (now >= m_nextCompare) {
        m_nextCompare = now + m_timings.digestPeriod * (0.5 + m_random.uniform());
        compare(out);
    }
    return out;
}

Millis Membership::nextDue() const
{
    if (!m_unpushed.empty()) {
        return Millis();
    }
    Millis due = std::min(m_nextProbe, m_nextCompare);
    if (!m_memberRumours.empty() || !m_objectRumours.empty()) {
        due = std::min(due, m_nextRumour);
    }
    if (m_probe) {
        due = std::min(due, m_probe->sentAt + (m_probe->indirect ? m_timings.indirectTimeout : m_timings.probeTimeout));
    }
    for (const auto &[key, known] : m_known) {
        if (known.member.state == MemberState::Suspect) {
            due = std::min(due, known.since + m_timings.suspicion);
        }
    }
    return due;
}

std::vector<OutgoingGossip> Membership::receive(const wire::GossipT &message, Millis now)
{
    std::vector<OutgoingGossip> out;
    for (const auto &record : message.members) {
        if (record) {
            applyMember(fromRecord(*record), now);
        }
    }
    for (const auto &record : message.objects) {
        if (record) {
            receiveObject(*record);
        }
    }
    if (!message.members.empty() && !message.pull) {
        m_synced = true;
    }
    if (message.ping) {
        answerPing(message, out);
    }
    if (message.ack) {
        takeAck(*message.ack, out);
    }
    if (message.pull) {
        answerPull(*message.pull, message.replyTo, out);
    }
    compareDigests(message, out);
    if (message.newestObject > 0) {
        sendObjects(message.newestObject, message.replyTo, out);
    }
    return out;
}

void Membership::receiveObject(const wire::ObjectRecordT &record)
{
    if (record.version > m_objects.version(record.kind, record.name)) {
        applyObject(fromRecord(record));
    }
}

void Membership::applyMember(const Member &update, Millis now)
{
    if (update.incarnation == m_self.incarnation) {
        refute(update);
        return;
    }
    const std::string key = keyOf(update.incarnation);
    const auto found = m_known.find(key);
    if (found == m_known.end()) {
        m_known[key] = {update, now};
        m_memberRumours.add(key);
        m_memberChanges.push_back({update.node, update.state});
        return;
    }
    Known &known = found->second;
    if (!supersedes(update, known.member)) {
        return;
    }
    const bool newState = update.state != known.member.state;
    known.member = update;
    known.since = newState ? now : known.since;
    m_memberRumours.add(key);
    m_memberChanges.push_back({update.node, update.state});
}

void Membership::refute(const Member &update)
{
    const bool wrong = update.state != m_self.state && update.sequence >= m_self.sequence;
    if (wrong && m_self.state == MemberState::Alive) {
        m_self.sequence = update.sequence;
        raiseSelf();
    }
}

void Membership::setState(Known &known, MemberState state, Millis now)
{
    known.member.state = state;
    known.since = now;
    m_memberRumours.add(keyOf(known.member.incarnation));
    m_memberChanges.push_back({known.member.node, state});
}

void Membership::expire(Millis now)
{
    for (auto entry = m_known.begin(); entry != m_known.end();) {
        Known &known = entry->second;
        const bool gone = known.member.state == MemberState::Dead || known.member.state == MemberState::Left;
        const bool isSelf = known.member.incarnation == m_self.incarnation;
        if (!isSelf && known.member.state == MemberState::Suspect && now - known.since >= m_timings.suspicion) {
            setState(known, MemberState::Dead, now);
        }
        if (!isSelf && gone && now - known.since >= m_timings.deadMemberRetention) {
            entry = m_known.erase(entry);
        } else {
            ++entry;
        }
    }
}

void Membership::probe(Millis now, std::vector<OutgoingGossip> &out)
{
    if (m_probe) {
        return;
    }
    const std::string key = nextToProbe();
    const auto target = m_known.find(key);
    if (target == m_known.end()) {
        return;
    }
    m_probe = Probe{m_nextNumber++, key, now, false};
    wire::GossipT message = newPing();
    attachRumours(message);
    out.push_back({target->second.member.inner, std::move(message)});
}

std::string Membership::nextToProbe()
{
    if (m_probeOrder.empty()) {
        const auto pool = peers(true);
        m_probeOrder = randomPeers(pool, pool.size());
    }
    // A whole data centre can be lost; only members of others can notice that.
    if (m_probeOrder.empty() || m_random.below(REMOTE_PROBE_EVERY) == 0) {
        const auto remote = randomPeers(peers(false), 1);
        if (!remote.empty()) {
            return remote.front();
        }
    }
    if (m_probeOrder.empty()) {
        return {};
    }
    std::string key = m_probeOrder.back();
    m_probeOrder.pop_back();
    return key;
}

std::vector<std::string> Membership::helpersFor(const Member &target)
{
    auto pool = peers(true);
    if (target.dataCentre != m_self.dataCentre) {
        // The link between two regions may be cut while a third reaches both.
        const auto remote = peers(false);
        pool.insert(pool.end(), remote.begin(), remote.end());
    }
    return randomPeers(pool, INDIRECT_PROBES);
}

void Membership::followProbe(Millis now, std::vector<OutgoingGossip> &out)
{
    if (!m_probe) {
        return;
    }
    const auto target = m_known.find(m_probe->key);
    if (target == m_known.end()) {
        m_probe.reset();
        return;
    }
    if (!m_probe->indirect && now - m_probe->sentAt >= m_timings.probeTimeout) {
        m_probe->indirect = true;
        for (const std::string &key : helpersFor(target->second.member)) {
            if (key == m_probe->key) {
                continue;
            }
            wire::GossipT message = newPing();
            message.ping->onBehalfOf = m_self.inner;
            out.push_back({m_known[key].member.inner, std::move(message)});
        }
    }
    if (now - m_probe->sentAt >= m_timings.indirectTimeout) {
        if (target->second.member.state == MemberState::Alive) {
            setState(target->second, MemberState::Suspect, now);
        }
        m_probe.reset();
    }
}

void Membership::answerPing(const wire::GossipT &message, std::vector<OutgoingGossip> &out)
{
    const wire::PingT &ping = *message.ping;
    const std::string selfKey = keyOf(m_self.incarnation);
    if (!ping.onBehalfOf.empty() && ping.target != selfKey) {
        const auto target = m_known.find(ping.target);
        if (target == m_known.end()) {
            return;
        }
        wire::GossipT relayed = newMessage();
        relayed.ping = std::make_unique<wire::PingT>(ping);
        relayed.ping->from = m_self.inner;
        out.push_back({target->second.member.inner, std::move(relayed)});
        return;
    }
    wire::GossipT reply = newMessage();
    reply.newestObject = m_objects.newestVersion();
    reply.ack = std::make_unique<wire::AckT>();
    reply.ack->number = ping.number;
    reply.ack->from = selfKey;
    reply.ack->onBehalfOf = ping.onBehalfOf;
    reply.ack->target = ping.target;
    attachRumours(reply);
    if (ping.target != selfKey) {
        // The address was reused: tell the prober who lives here now.
        reply.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(m_self)));
    }
    out.push_back({ping.from, std::move(reply)});
}

void Membership::takeAck(const wire::AckT &ack, std::vector<OutgoingGossip> &out)
{
    const bool mine = ack.onBehalfOf.empty() || ack.onBehalfOf == m_self.inner;
    if (!mine) {
        wire::GossipT relayed = newMessage();
        relayed.ack = std::make_unique<wire::AckT>(ack);
        out.push_back({ack.onBehalfOf, std::move(relayed)});
        return;
    }
    if (!m_probe || m_probe->number != ack.number || m_probe->key != ack.target) {
        return;
    }
    if (ack.from != ack.target) {
        const auto replaced = m_known.find(ack.target);
        if (replaced != m_known.end() && acceptsRequests(replaced->second.member)) {
            setState(replaced->second, MemberState::Dead, m_probe->sentAt);
        }
    }
    m_probe.reset();
}

void Membership::pushObjects(std::vector<OutgoingGossip> &out)
{
    if (m_unpushed.empty()) {
        return;
    }
    for (const std::string &key : randomPeers(peers(true), PUSHED_TO)) {
        wire::GossipT message = newMessage();
        for (const std::string &object : m_unpushed) {
            message.objects.push_back(
                std::make_unique<wire::ObjectRecordT>(m_packed.record(*m_objects.findByKey(object))));
        }
        out.push_back({m_known[key].member.inner, std::move(message)});
    }
    m_unpushed.clear();
}

void Membership::spread(std::vector<OutgoingGossip> &out)
{
    if (m_memberRumours.empty() && m_objectRumours.empty()) {
        return;
    }
    auto targets = randomPeers(peers(true), RUMOUR_FANOUT);
    if (targets.size() < RUMOUR_FANOUT || m_random.below(REMOTE_RUMOUR_EVERY) == 0) {
        const auto remote = randomPeers(peers(false), 1);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    for (const std::string &key : targets) {
        const bool local = m_known[key].member.dataCentre == m_self.dataCentre;
        wire::GossipT message = newMessage();
        attachRumours(message, local);
        if (!message.members.empty() || !message.objects.empty()) {
            out.push_back({m_known[key].member.inner, std::move(message)});
        }
    }
}

void Membership::compare(std::vector<OutgoingGossip> &out)
{
    const std::string address = m_random.below(REMOTE_COMPARE_EVERY) == 0 ? lostAddress() : peerAddress();
    if (address.empty()) {
        return;
    }
    wire::GossipT message = newMessage();
    message.membersDigest = membersDigest();
    message.objectsDigest = m_objects.digest() + 1;
    out.push_back({address, std::move(message)});
}

std::string Membership::peerAddress()
{
    const bool local = m_random.below(REMOTE_COMPARE_EVERY) != 0;
    auto pool = peers(local);
    if (pool.empty()) {
        pool = peers(!local);
    }
    const auto chosen = randomPeers(pool, 1);
    return chosen.empty() ? std::string() : m_known[chosen.front()].member.inner;
}

std::string Membership::lostAddress()
{
    // After a cut, each side holds the other for dead; somebody has to try again.
    std::vector<std::string> addresses;
    for (const Seed &seed : m_seeds) {
        addresses.push_back(seed.address);
    }
    for (const auto &[key, known] : m_known) {
        if (known.member.state == MemberState::Dead) {
            addresses.push_back(known.member.inner);
        }
    }
    addresses.erase(std::remove(addresses.begin(), addresses.end(), m_self.inner), addresses.end());
    return addresses.empty() ? std::string() : addresses[m_random.below(addresses.size())];
}

void Membership::compareDigests(const wire::GossipT &message, std::vector<OutgoingGossip> &out)
{
    if (message.membersDigest == 0 || message.replyTo.empty()) {
        return;
    }
    const bool membersDiffer = message.membersDigest != membersDigest();
    const bool objectsDiffer = message.objectsDigest != m_objects.digest() + 1;
    if (!membersDiffer && !objectsDiffer) {
        return;
    }
    wire::PullRequestT wanted;
    wanted.from = m_self.inner;
    wanted.wantMembers = membersDiffer;
    wanted.wantObjects = objectsDiffer;
    wire::GossipT request = newMessage();
    request.pull = std::make_unique<wire::PullRequestT>(wanted);
    out.push_back({message.replyTo, std::move(request)});
    answerPull(wanted, message.replyTo, out);
}

void Membership::answerPull(const wire::PullRequestT &pull, const std::string &address,
                            std::vector<OutgoingGossip> &out)
{
    if (address.empty()) {
        return;
    }
    if (pull.wantMembers) {
        wire::GossipT reply = newMessage();
        for (const auto &[key, known] : m_known) {
            reply.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(known.member)));
        }
        out.push_back({address, std::move(reply)});
    }
    if (pull.wantObjects) {
        sendObjects(0, address, out);
    }
}

void Membership::sendObjects(std::uint64_t newerThan, const std::string &address, std::vector<OutgoingGossip> &out)
{
    if (address.empty() || newerThan >= m_objects.newestVersion()) {
        return;
    }
    wire::GossipT message = newMessage();
    for (const StoredObject &object : m_objects.newerThan(newerThan)) {
        message.objects.push_back(std::make_unique<wire::ObjectRecordT>(m_packed.record(object)));
        if (message.objects.size() >= OBJECTS_PER_MESSAGE) {
            out.push_back({address, std::move(message)});
            message = newMessage();
        }
    }
    if (!message.objects.empty()) {
        out.push_back({address, std::move(message)});
    }
}

void Membership::askSeeds(std::vector<OutgoingGossip> &out)
{
    std::vector<std::string> near;
    std::vector<std::string> others;
    for (const Seed &seed : m_seeds) {
        if (seed.address != m_self.inner) {
            (seed.dataCentre == m_self.dataCentre ? near : others).push_back(seed.address);
        }
    }
    auto asked = randomPeers(near, NEAR_SEEDS_ASKED);
    const auto further = randomPeers(others, SEEDS_ASKED - asked.size());
    asked.insert(asked.end(), further.begin(), further.end());
    for (const std::string &seed : asked) {
        wire::GossipT message = newMessage();
        message.pull = std::make_unique<wire::PullRequestT>();
        message.pull->from = m_self.inner;
        message.pull->wantMembers = true;
        message.pull->wantObjects = true;
        attachRumours(message, false);
        out.push_back({seed, std::move(message)});
    }
}

wire::GossipT Membership::newMessage() const
{
    wire::GossipT message;
    message.from = m_self.node;
    message.replyTo = m_self.inner;
    return message;
}

wire::GossipT Membership::newPing() const
{
    wire::GossipT message = newMessage();
    message.newestObject = m_objects.newestVersion();
    message.ping = std::make_unique<wire::PingT>();
    message.ping->number = m_probe->number;
    message.ping->from = m_self.inner;
    message.ping->target = m_probe->key;
    return message;
}

void Membership::attachRumours(wire::GossipT &message, bool local)
{
    const auto any = [](const std::string &) { return true; };
    for (const std::string &key : m_memberRumours.take(RUMOURS_PER_MESSAGE, SENDINGS, any)) {
        const auto found = m_known.find(key);
        if (found != m_known.end()) {
            message.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(found->second.member)));
        }
    }
    const auto carries = [this, local](const std::string &key) {
        return local || m_objects.findByKey(key)->value.size() <= REMOTE_OBJECT_BYTES;
    };
    // With no peer in the data centre, a large object would stay a rumour for ever.
    const bool alone = !local && peers(true).empty();
    const auto counts = [&carries, alone](const std::string &key) { return alone || carries(key); };
    for (const std::string &key : m_objectRumours.take(RUMOURS_PER_MESSAGE, SENDINGS, counts)) {
        if (carries(key)) {
            message.objects.push_back(
                std::make_unique<wire::ObjectRecordT>(m_packed.record(*m_objects.findByKey(key))));
        }
    }
}

std::vector<std::string> Membership::peers(bool sameDataCentre) const
{
    std::vector<std::string> keys;
    for (const auto &[key, known] : m_known) {
        const bool same = known.member.dataCentre == m_self.dataCentre;
        const bool isSelf = known.member.incarnation == m_self.incarnation;
        if (!isSelf && same == sameDataCentre && acceptsRequests(known.member)) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<std::string> Membership::randomPeers(std::vector<std::string> pool, std::size_t count)
{
    const std::size_t taken = std::min(count, pool.size());
    for (std::size_t index = 0; index < taken; ++index) {
        std::swap(pool[index], pool[index + m_random.below(pool.size() - index)]);
    }
    pool.resize(taken);
    return pool;
}

std::uint64_t Membership::membersDigest() const
{
    std::uint64_t digest = 1;
    for (const auto &[key, known] : m_known) {
        const auto seed = known.member.sequence * 8 + static_cast<std::uint64_t>(known.member.state);
        digest ^= XXH64(key.data(), key.size(), seed);
    }
    return digest == 0 ? 1 : digest;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> list;
    for (const auto &[key, known] : m_known) {
        list.push_back(known.member);
    }
    return list;
}

std::vector<MemberChange> Membership::takeMemberChanges()
{
    return std::exchange(m_memberChanges, {});
}

std::vector<StoredObject> Membership::takeObjectChanges()
{
    return std::exchange(m_objectChanges, {});
}

} // namespace mustardpond
