/// Gossip protocol between daemons: distributes the members, their upstreams and the current configuration.
#pragma once

#include "config/objecttable.h"
#include "foundation/random.h"
#include "membership/member.h"
#include "membership/objectrecordencoder.h"
#include "membership/proofexchange.h"
#include "membership/rumours.h"
#include "membership/watchermonitor.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

struct MembershipTimings {
    Millis probePeriod{1000};
    Millis probeTimeout{300}; ///< until indirect probes are sent through other members
    Millis indirectTimeout{1000}; ///< until an unanswered probe makes the member a suspect, counted from the first ping
    Millis suspicionTimeout{3000}; ///< until a suspect is declared dead
    Millis rumourPeriod{200};
    Millis digestPeriod{5000}; ///< mean interval between digests sent to a random member
    Millis deadMemberRetention{300000}; ///< also of members that have left
};

/// Address of a daemon through which a node joins the fleet.
struct Seed {
    std::string address;
    std::string dataCentre; ///< empty when it is unknown
};

/// A message and the address that it is sent to.
struct OutgoingGossip {
    std::string address;
    wire::GossipT message;
};

/// A change to a member, reported to the owner for logging and further action.
struct MemberChange {
    std::string node;
    MemberState state;
};

/// The protocol of one node, without I/O: the owner passes in the time, the random generator and received messages, and
/// sends the messages that are returned.
/// Members probe each other as in SWIM, mostly within the data centre. Indirect probes distinguish a one-way partition
/// from a dead host. Updates are disseminated as rumours; members exchange digests periodically and repair what rumours
/// missed (anti-entropy). Not thread-safe.
class Membership
{
public:
    Membership(Member self, MembershipTimings timings, Random &random);

    /// Sets the addresses to pull from while no other member is known, and to retry after a partition.
    void setSeeds(std::vector<Seed> seeds)
    {
        m_seeds = std::move(seeds);
    }
    /// Announces the upstreams of this node.
    void setUpstreams(std::vector<UpstreamInfo> upstreams);
    /// Announces whether the platform's store answers this node.
    void setSeesPlatform(bool sees);
    /// Announces that this node leaves. Other members stop sending requests to it once they receive the announcement.
    void leave();
    /// Applies an object from the platform and, if it is new, pushes it to the members of the data centre.
    /// Returns false when the object is not new.
    bool publishObject(const StoredObject &object);
    /// Applies an object and, if it is new, disseminates it as a rumour. Returns false when the object is not new.
    bool applyObject(const StoredObject &object);
    /// Exchanges proofs that the configuration is the newest. Without this call, pings and their answers carry none.
    void useProofs(Millis maxAge);
    /// Returns null unless proofs are exchanged.
    ProofExchange *proofs()
    {
        return m_proofs ? &*m_proofs : nullptr;
    }
    const ProofExchange *proofs() const
    {
        return m_proofs ? &*m_proofs : nullptr;
    }
    WatcherMonitor &watcherMonitor()
    {
        return m_watcherMonitor;
    }
    const WatcherMonitor &watcherMonitor() const
    {
        return m_watcherMonitor;
    }
    /// Returns the time of the next tick() that has work to do.
    Millis nextDue() const;

    std::vector<OutgoingGossip> tick(Millis now);
    std::vector<OutgoingGossip> receive(const wire::GossipT &message, Millis now);

    const Member &self() const
    {
        return m_self;
    }
    /// Returns all known members, including this one, in the order of their incarnations.
    std::vector<Member> members() const;
    const ObjectTable &objects() const
    {
        return m_objects;
    }

    /// Returns the changes since the last call.
    std::vector<MemberChange> takeMemberChanges();
    std::vector<StoredObject> takeObjectChanges();
    /// Whether another member has sent member records; those sent along with a pull do not count. Until then, an empty
    /// object table may only mean that no member has answered yet.
    bool hasSynced() const
    {
        return m_synced;
    }

private:
    struct MemberEntry {
        Member member;
        Millis since; ///< time of the last state change
    };
    struct Probe {
        std::uint64_t number = 0;
        std::string key;
        Millis sentAt;
        bool indirect = false;
    };

    void announceSelf();
    void receiveObject(const wire::ObjectRecordT &record);
    void applyMember(const Member &update, Millis now);
    void setState(MemberEntry &entry, MemberState state, Millis now);
    void refute(const Member &update);
    void expireMembers(Millis now);
    void probe(Millis now, std::vector<OutgoingGossip> &out);
    std::string nextProbeTarget();
    std::vector<std::string> indirectProbers(const Member &target);
    void checkProbeTimeout(Millis now, std::vector<OutgoingGossip> &out);
    /// Sends the objects newly published on this node to the members of the data centre.
    void pushObjects(std::vector<OutgoingGossip> &out);
    void sendRumours(std::vector<OutgoingGossip> &out);
    void sendDigests(std::vector<OutgoingGossip> &out);
    std::string randomPeerAddress();
    std::string reconnectAddress();
    void pullFromSeeds(std::vector<OutgoingGossip> &out);
    void askForProof(Millis now, std::vector<OutgoingGossip> &out);
    void checkWatchers(Millis now, std::vector<OutgoingGossip> &out);
    /// Returns the member to ask: one of the kind, or else of the next kind that has members.
    std::string proofTarget(ProofPeer kind);
    std::vector<std::string> proofPeers(ProofPeer kind) const;
    void answerPing(const wire::GossipT &message, Millis now, std::vector<OutgoingGossip> &out);
    void sendObjects(const std::vector<StoredObject> &objects, const std::string &address,
                     std::vector<OutgoingGossip> &out);
    /// Sends the records that the peer lacks, and asks it once for those that are newer at the peer.
    void answerPull(const wire::PullRequestT &pull, const std::string &address, std::vector<OutgoingGossip> &out);
    /// Returns a request for the records that are newer than this member's.
    std::unique_ptr<wire::PullRequestT> newPull(bool wantMembers, bool wantObjects) const;
    void handleAck(const wire::AckT &ack, Millis now, std::vector<OutgoingGossip> &out);
    void compareDigests(const wire::GossipT &message, std::vector<OutgoingGossip> &out);
    wire::GossipT newMessage() const;
    wire::GossipT newPing(std::uint64_t number, const std::string &target) const;
    /// @param local whether the message stays in the data centre, so that it may carry large objects
    void attachRumours(wire::GossipT &message, bool local = true);
    std::vector<std::string> peers(bool sameDataCentre) const;
    std::vector<std::string> randomSample(std::vector<std::string> pool, std::size_t count);
    std::uint64_t membersDigest() const;

    Member m_self;
    MembershipTimings m_timings;
    Random &m_random;
    std::vector<Seed> m_seeds;
    std::map<std::string, MemberEntry> m_members; ///< by incarnation, including this node
    std::vector<std::string> m_probeOrder;
    std::optional<Probe> m_probe;
    std::uint64_t m_nextProbeNumber = 1;
    Millis m_nextProbe;
    Millis m_nextRumour;
    Millis m_nextDigest;
    Rumours m_memberRumours;
    Rumours m_objectRumours;
    ObjectTable m_objects;
    ObjectRecordEncoder m_recordEncoder;
    std::vector<MemberChange> m_memberChanges;
    std::vector<StoredObject> m_objectChanges;
    bool m_synced = false;
    std::optional<ProofExchange> m_proofs;
    WatcherMonitor m_watcherMonitor;
    std::vector<std::string> m_objectsToPush; ///< keys of published objects not yet sent to the data centre
};

} // namespace mustardpond
