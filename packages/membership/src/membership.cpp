#include "membership/membership.h"

#include "recordstamps.h"

#include <xxhash.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t RUMOUR_FANOUT = 2;
constexpr std::size_t INDIRECT_PROBES = 3;
constexpr std::size_t MAX_RUMOURS_PER_MESSAGE = 16;
constexpr std::size_t SEEDS_PER_PULL = 3;
constexpr std::size_t LOCAL_SEEDS_PER_PULL = 2; ///< the most of SEEDS_PER_PULL from the node's own data centre
constexpr int MAX_SENDS_PER_RUMOUR = 8; ///< by each member; digests repair what rumours miss
constexpr std::size_t MAX_OBJECTS_PER_MESSAGE = 500;
/// Other data centres get larger objects from their own watches of the platform.
constexpr std::size_t MAX_REMOTE_OBJECT_BYTES = 1024;
constexpr std::size_t PUSH_FANOUT = 64; ///< members of the data centre that a published object is sent to directly
constexpr std::size_t REMOTE_PROBE_ONE_IN = 8; ///< one probe in eight goes to another data centre
/// One round of rumours in twelve also goes to another data centre. Few suffice, as all members of a data centre send
/// each rumour.
constexpr std::size_t REMOTE_RUMOUR_ONE_IN = 12;
/// One digest in four goes to a seed or a dead member; of the rest, one in four goes to another data centre.
constexpr std::size_t REMOTE_DIGEST_ONE_IN = 4;

std::string keyOf(const Incarnation &incarnation)
{
    return toString(incarnation);
}

ObjectVersion newestObjectOf(const wire::GossipT &message)
{
    return {message.newestEdition, message.newestEra, message.newestObject};
}

void setNewestObject(wire::GossipT &message, const ObjectVersion &version)
{
    message.newestEdition = version.edition;
    message.newestEra = version.era;
    message.newestObject = version.revision;
}

} // namespace

Membership::Membership(Member self, MembershipTimings timings, Random &random)
    : m_self(std::move(self))
    , m_timings(timings)
    , m_random(random)
{
    announceSelf();
}

void Membership::announceSelf()
{
    ++m_self.sequence;
    m_members[keyOf(m_self.incarnation)].member = m_self;
    m_memberRumours.add(keyOf(m_self.incarnation));
}

void Membership::setUpstreams(std::vector<UpstreamInfo> upstreams)
{
    m_self.upstreams = std::move(upstreams);
    announceSelf();
}

void Membership::setSeesPlatform(bool sees)
{
    if (m_self.seesPlatform != sees) {
        m_self.seesPlatform = sees;
        announceSelf();
    }
}

void Membership::leave()
{
    m_self.state = MemberState::Left;
    announceSelf();
}

bool Membership::publishObject(const StoredObject &object)
{
    if (!applyObject(object)) {
        return false;
    }
    m_objectsToPush.push_back(ObjectTable::keyOf(object.kind, object.name));
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
    expireMembers(now);
    checkProbeTimeout(now, out);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_timings.probePeriod;
        if (peers(false).empty() && peers(true).empty()) {
            pullFromSeeds(out);
        } else {
            probe(now, out);
        }
    }
    askForProof(now, out);
    checkWatchers(now, out);
    pushObjects(out);
    if (now >= m_nextRumour) {
        m_nextRumour = now + m_timings.rumourPeriod;
        sendRumours(out);
    }
    if (now >= m_nextDigest) {
        m_nextDigest = now + m_timings.digestPeriod * (0.5 + m_random.uniform());
        sendDigests(out);
    }
    return out;
}

Millis Membership::nextDue() const
{
    if (!m_objectsToPush.empty()) {
        return Millis();
    }
    Millis due = std::min({m_nextProbe, m_nextDigest, m_watcherMonitor.nextDue()});
    if (!m_memberRumours.empty() || !m_objectRumours.empty()) {
        due = std::min(due, m_nextRumour);
    }
    if (m_probe) {
        due = std::min(due, m_probe->sentAt + (m_probe->indirect ? m_timings.indirectTimeout : m_timings.probeTimeout));
    }
    if (m_proofs) {
        due = std::min(due, m_proofs->nextDue());
    }
    for (const auto &[key, entry] : m_members) {
        if (entry.member.state == MemberState::Suspect) {
            due = std::min(due, entry.since + m_timings.suspicionTimeout);
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
        answerPing(message, now, out);
    }
    if (message.ack) {
        handleAck(*message.ack, now, out);
    }
    if (message.pull) {
        answerPull(*message.pull, message.replyTo, out);
    }
    compareDigests(message, out);
    const ObjectVersion newest = newestObjectOf(message);
    if (newest.isKnown() && supersedes(m_objects.newestVersion(), newest)) {
        sendObjects(m_objects.newerThan(newest), message.replyTo, out);
    }
    return out;
}

void Membership::receiveObject(const wire::ObjectRecordT &record)
{
    if (supersedes(versionOf(record), m_objects.version(record.kind, record.name))) {
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
    const auto found = m_members.find(key);
    if (found == m_members.end()) {
        m_members[key] = {update, now};
        m_memberRumours.add(key);
        m_memberChanges.push_back({update.node, update.state});
        return;
    }
    MemberEntry &entry = found->second;
    if (!supersedes(update, entry.member)) {
        return;
    }
    const bool stateChanged = update.state != entry.member.state;
    entry.member = update;
    entry.since = stateChanged ? now : entry.since;
    m_memberRumours.add(key);
    m_memberChanges.push_back({update.node, update.state});
}

void Membership::refute(const Member &update)
{
    const bool contradictsSelf = update.state != m_self.state && update.sequence >= m_self.sequence;
    if (contradictsSelf && m_self.state == MemberState::Alive) {
        m_self.sequence = update.sequence;
        announceSelf();
    }
}

void Membership::setState(MemberEntry &entry, MemberState state, Millis now)
{
    entry.member.state = state;
    entry.since = now;
    m_memberRumours.add(keyOf(entry.member.incarnation));
    m_memberChanges.push_back({entry.member.node, state});
}

void Membership::expireMembers(Millis now)
{
    for (auto position = m_members.begin(); position != m_members.end();) {
        MemberEntry &entry = position->second;
        const bool inactive = entry.member.state == MemberState::Dead || entry.member.state == MemberState::Left;
        const bool isSelf = entry.member.incarnation == m_self.incarnation;
        if (!isSelf && entry.member.state == MemberState::Suspect && now - entry.since >= m_timings.suspicionTimeout) {
            setState(entry, MemberState::Dead, now);
        }
        if (!isSelf && inactive && now - entry.since >= m_timings.deadMemberRetention) {
            position = m_members.erase(position);
        } else {
            ++position;
        }
    }
}

void Membership::probe(Millis now, std::vector<OutgoingGossip> &out)
{
    if (m_probe) {
        return;
    }
    const std::string key = nextProbeTarget();
    const auto target = m_members.find(key);
    if (target == m_members.end()) {
        return;
    }
    m_probe = Probe{m_nextProbeNumber++, key, now, false};
    wire::GossipT message = newPing(m_probe->number, m_probe->key);
    attachRumours(message);
    out.push_back({target->second.member.inner, std::move(message)});
}

std::string Membership::nextProbeTarget()
{
    if (m_probeOrder.empty()) {
        const auto pool = peers(true);
        m_probeOrder = randomSample(pool, pool.size());
    }
    // Only members of other data centres can detect the loss of a whole data centre.
    if (m_probeOrder.empty() || m_random.below(REMOTE_PROBE_ONE_IN) == 0) {
        const auto remote = randomSample(peers(false), 1);
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

std::vector<std::string> Membership::indirectProbers(const Member &target)
{
    auto pool = peers(true);
    if (target.dataCentre != m_self.dataCentre) {
        // The link between two regions may be down while a third region reaches both.
        const auto remote = peers(false);
        pool.insert(pool.end(), remote.begin(), remote.end());
    }
    return randomSample(pool, INDIRECT_PROBES);
}

void Membership::checkProbeTimeout(Millis now, std::vector<OutgoingGossip> &out)
{
    if (!m_probe) {
        return;
    }
    const auto target = m_members.find(m_probe->key);
    if (target == m_members.end()) {
        m_probe.reset();
        return;
    }
    if (!m_probe->indirect && now - m_probe->sentAt >= m_timings.probeTimeout) {
        m_probe->indirect = true;
        for (const std::string &key : indirectProbers(target->second.member)) {
            if (key == m_probe->key) {
                continue;
            }
            wire::GossipT message = newPing(m_probe->number, m_probe->key);
            message.ping->onBehalfOf = m_self.inner;
            out.push_back({m_members[key].member.inner, std::move(message)});
        }
    }
    if (now - m_probe->sentAt >= m_timings.indirectTimeout) {
        if (target->second.member.state == MemberState::Alive) {
            setState(target->second, MemberState::Suspect, now);
        }
        m_probe.reset();
    }
}

void Membership::answerPing(const wire::GossipT &message, Millis now, std::vector<OutgoingGossip> &out)
{
    const wire::PingT &ping = *message.ping;
    const std::string selfKey = keyOf(m_self.incarnation);
    if (!ping.onBehalfOf.empty() && ping.target != selfKey) {
        const auto target = m_members.find(ping.target);
        if (target == m_members.end()) {
            return;
        }
        wire::GossipT relayed = newMessage();
        relayed.ping = std::make_unique<wire::PingT>(ping);
        relayed.ping->from = m_self.inner;
        out.push_back({target->second.member.inner, std::move(relayed)});
        return;
    }
    wire::GossipT reply = newMessage();
    setNewestObject(reply, m_objects.newestVersion());
    reply.ack = std::make_unique<wire::AckT>();
    reply.ack->number = ping.number;
    reply.ack->from = selfKey;
    reply.ack->onBehalfOf = ping.onBehalfOf;
    reply.ack->target = ping.target;
    if (m_proofs) {
        m_proofs->writeProof(*reply.ack, now);
    }
    attachRumours(reply);
    if (ping.target != selfKey) {
        // The target's address has been reused by this node: send its record to the prober.
        reply.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(m_self)));
    }
    out.push_back({ping.from, std::move(reply)});
}

void Membership::handleAck(const wire::AckT &ack, Millis now, std::vector<OutgoingGossip> &out)
{
    const bool isOwn = ack.onBehalfOf.empty() || ack.onBehalfOf == m_self.inner;
    if (!isOwn) {
        wire::GossipT relayed = newMessage();
        relayed.ack = std::make_unique<wire::AckT>(ack);
        out.push_back({ack.onBehalfOf, std::move(relayed)});
        return;
    }
    if (m_proofs) {
        m_proofs->onAnswer(ack, now);
    }
    m_watcherMonitor.onAnswer(ack);
    if (!m_probe || m_probe->number != ack.number || m_probe->key != ack.target) {
        return;
    }
    if (m_proofs) {
        m_proofs->add(ack, m_probe->sentAt, now);
    }
    if (ack.from != ack.target) {
        const auto replaced = m_members.find(ack.target);
        if (replaced != m_members.end() && acceptsRequests(replaced->second.member)) {
            setState(replaced->second, MemberState::Dead, m_probe->sentAt);
        }
    }
    m_probe.reset();
}

void Membership::pushObjects(std::vector<OutgoingGossip> &out)
{
    if (m_objectsToPush.empty()) {
        return;
    }
    for (const std::string &key : randomSample(peers(true), PUSH_FANOUT)) {
        wire::GossipT message = newMessage();
        for (const std::string &object : m_objectsToPush) {
            message.objects.push_back(
                std::make_unique<wire::ObjectRecordT>(m_recordEncoder.encode(*m_objects.findByKey(object))));
        }
        out.push_back({m_members[key].member.inner, std::move(message)});
    }
    m_objectsToPush.clear();
}

void Membership::sendRumours(std::vector<OutgoingGossip> &out)
{
    if (m_memberRumours.empty() && m_objectRumours.empty()) {
        return;
    }
    auto targets = randomSample(peers(true), RUMOUR_FANOUT);
    if (targets.size() < RUMOUR_FANOUT || m_random.below(REMOTE_RUMOUR_ONE_IN) == 0) {
        const auto remote = randomSample(peers(false), 1);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    for (const std::string &key : targets) {
        const bool local = m_members[key].member.dataCentre == m_self.dataCentre;
        wire::GossipT message = newMessage();
        attachRumours(message, local);
        if (!message.members.empty() || !message.objects.empty()) {
            out.push_back({m_members[key].member.inner, std::move(message)});
        }
    }
}

void Membership::sendDigests(std::vector<OutgoingGossip> &out)
{
    const std::string address = m_random.below(REMOTE_DIGEST_ONE_IN) == 0 ? reconnectAddress() : randomPeerAddress();
    if (address.empty()) {
        return;
    }
    wire::GossipT message = newMessage();
    message.membersDigest = membersDigest();
    message.objectsDigest = m_objects.digest() + 1;
    out.push_back({address, std::move(message)});
}

std::string Membership::randomPeerAddress()
{
    const bool local = m_random.below(REMOTE_DIGEST_ONE_IN) != 0;
    auto pool = peers(local);
    if (pool.empty()) {
        pool = peers(!local);
    }
    const auto chosen = randomSample(pool, 1);
    return chosen.empty() ? std::string() : m_members[chosen.front()].member.inner;
}

std::string Membership::reconnectAddress()
{
    // After a partition, each side has declared the other dead and no longer probes it. Contacting seeds and dead
    // members lets the two sides merge again.
    std::vector<std::string> addresses;
    for (const Seed &seed : m_seeds) {
        addresses.push_back(seed.address);
    }
    for (const auto &[key, entry] : m_members) {
        if (entry.member.state == MemberState::Dead) {
            addresses.push_back(entry.member.inner);
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
    wire::GossipT request = newMessage();
    request.pull = newPull(membersDiffer, objectsDiffer);
    out.push_back({message.replyTo, std::move(request)});
}

std::unique_ptr<wire::PullRequestT> Membership::newPull(bool wantMembers, bool wantObjects) const
{
    auto pull = std::make_unique<wire::PullRequestT>();
    pull->from = m_self.inner;
    pull->wantMembers = wantMembers;
    pull->wantObjects = wantObjects;
    RecordStamps(members(), m_objects).writeTo(*pull);
    return pull;
}

void Membership::answerPull(const wire::PullRequestT &pull, const std::string &address,
                            std::vector<OutgoingGossip> &out)
{
    if (address.empty()) {
        return;
    }
    const RecordStamps peer(pull);
    if (pull.wantMembers) {
        wire::GossipT reply = newMessage();
        for (const auto &[key, entry] : m_members) {
            if (peer.lacks(entry.member)) {
                reply.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(entry.member)));
            }
        }
        if (!reply.members.empty()) {
            out.push_back({address, std::move(reply)});
        }
    }
    if (pull.wantObjects) {
        sendObjects(m_objects.newerThan(peer.objects()), address, out);
    }
    if (!pull.hasStamps || pull.isReply) {
        return;
    }
    const RecordStamps own(members(), m_objects);
    const bool lacksMembers = pull.wantMembers && own.lacksMembersOf(peer);
    const bool lacksObjects = pull.wantObjects && own.lacksObjectsOf(peer);
    if (lacksMembers || lacksObjects) {
        wire::GossipT request = newMessage();
        request.pull = newPull(lacksMembers, lacksObjects);
        request.pull->isReply = true;
        out.push_back({address, std::move(request)});
    }
}

void Membership::sendObjects(const std::vector<StoredObject> &objects, const std::string &address,
                             std::vector<OutgoingGossip> &out)
{
    if (address.empty()) {
        return;
    }
    wire::GossipT message = newMessage();
    for (const StoredObject &object : objects) {
        message.objects.push_back(std::make_unique<wire::ObjectRecordT>(m_recordEncoder.encode(object)));
        if (message.objects.size() >= MAX_OBJECTS_PER_MESSAGE) {
            out.push_back({address, std::move(message)});
            message = newMessage();
        }
    }
    if (!message.objects.empty()) {
        out.push_back({address, std::move(message)});
    }
}

void Membership::pullFromSeeds(std::vector<OutgoingGossip> &out)
{
    std::vector<std::string> localSeeds;
    std::vector<std::string> remoteSeeds;
    for (const Seed &seed : m_seeds) {
        if (seed.address != m_self.inner) {
            (seed.dataCentre == m_self.dataCentre ? localSeeds : remoteSeeds).push_back(seed.address);
        }
    }
    auto selected = randomSample(localSeeds, LOCAL_SEEDS_PER_PULL);
    const auto selectedRemote = randomSample(remoteSeeds, SEEDS_PER_PULL - selected.size());
    selected.insert(selected.end(), selectedRemote.begin(), selectedRemote.end());
    for (const std::string &seed : selected) {
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

wire::GossipT Membership::newPing(std::uint64_t number, const std::string &target) const
{
    wire::GossipT message = newMessage();
    setNewestObject(message, m_objects.newestVersion());
    message.ping = std::make_unique<wire::PingT>();
    message.ping->number = number;
    message.ping->from = m_self.inner;
    message.ping->target = target;
    return message;
}

void Membership::attachRumours(wire::GossipT &message, bool local)
{
    const auto anyMember = [](const std::string &) { return true; };
    for (const std::string &key : m_memberRumours.nextBatch(MAX_RUMOURS_PER_MESSAGE, MAX_SENDS_PER_RUMOUR, anyMember)) {
        const auto found = m_members.find(key);
        if (found != m_members.end()) {
            message.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(found->second.member)));
        }
    }
    const auto mayCarry = [this, local](const std::string &key) {
        return local || m_objects.findByKey(key)->value.size() <= MAX_REMOTE_OBJECT_BYTES;
    };
    // Without a peer in the data centre, a large object cannot be sent to anyone. It is counted as sent all the same,
    // or its rumour would never be dropped.
    const bool noLocalPeers = !local && peers(true).empty();
    const auto eligible = [&mayCarry, noLocalPeers](const std::string &key) { return noLocalPeers || mayCarry(key); };
    for (const std::string &key : m_objectRumours.nextBatch(MAX_RUMOURS_PER_MESSAGE, MAX_SENDS_PER_RUMOUR, eligible)) {
        if (mayCarry(key)) {
            message.objects.push_back(
                std::make_unique<wire::ObjectRecordT>(m_recordEncoder.encode(*m_objects.findByKey(key))));
        }
    }
}

std::vector<std::string> Membership::peers(bool sameDataCentre) const
{
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_members) {
        const bool same = entry.member.dataCentre == m_self.dataCentre;
        const bool isSelf = entry.member.incarnation == m_self.incarnation;
        if (!isSelf && same == sameDataCentre && acceptsRequests(entry.member)) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<std::string> Membership::randomSample(std::vector<std::string> pool, std::size_t count)
{
    const std::size_t sampleSize = std::min(count, pool.size());
    for (std::size_t index = 0; index < sampleSize; ++index) {
        std::swap(pool[index], pool[index + m_random.below(pool.size() - index)]);
    }
    pool.resize(sampleSize);
    return pool;
}

std::uint64_t Membership::membersDigest() const
{
    std::uint64_t digest = 1;
    for (const auto &[key, entry] : m_members) {
        const auto seed = entry.member.sequence * 8 + static_cast<std::uint64_t>(entry.member.state);
        digest ^= XXH64(key.data(), key.size(), seed);
    }
    return digest == 0 ? 1 : digest;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> list;
    for (const auto &[key, entry] : m_members) {
        list.push_back(entry.member);
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
