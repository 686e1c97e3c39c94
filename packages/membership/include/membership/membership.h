/// The gossip protocol between daemons: who is there, what they serve, and the configuration in force.
#pragma once

#include "config/objecttable.h"
#include "foundation/random.h"
#include "membership/member.h"
#include "membership/packedobjects.h"
#include "membership/rumours.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

struct MembershipTimings {
    Millis probePeriod{1000};
    Millis probeTimeout{300}; ///< until other members are asked to probe
    Millis indirectTimeout{1000}; ///< until the member is suspected
    Millis suspicion{3000}; ///< until a suspected member is declared dead
    Millis rumourPeriod{200};
    Millis digestPeriod{5000}; ///< between comparisons of digests with a random member
    Millis deadMemberRetention{300000};
};

/// Where another daemon may be found.
struct Seed {
    std::string address;
    std::string dataCentre; ///< empty when it is not known
};

/// A message and where it goes.
struct OutgoingGossip {
    std::string address;
    wire::GossipT message;
};

/// A state change that the owner may log or act on.
struct MemberChange {
    std::string node;
    MemberState state;
};

/// The protocol of one node. Pure: time and randomness come in, messages come in and go out.
/// SWIM probing within the data centre, with indirect probes that tell a one-way cut from a dead host;
/// updates travel as rumours, and members compare digests now and then to mend what rumours missed.
/// Not thread-safe.
class Membership
{
public:
    Membership(Member self, MembershipTimings timings, Random &random);

    /// Addresses to ask while no other member is known.
    void setSeeds(std::vector<Seed> seeds)
    {
        m_seeds = std::move(seeds);
    }
    /// Announces the upstreams of this node.
    void setUpstreams(std::vector<UpstreamInfo> upstreams);
    /// Announces whether the platform's store answers this node.
    void setSeesPlatform(bool sees);
    /// Announces that this node leaves. Other members stop sending requests when they hear it.
    void leave();
    /// Takes over an object from the platform and passes it on to the whole data centre if it is new. False when it is
    /// not.
    bool publishObject(const StoredObject &object);
    /// Takes over an object and passes it on as a rumour if it is new. False when it is not.
    bool applyObject(const StoredObject &object);
    /// When tick() has something to do next.
    Millis nextDue() const;

    std::vector<OutgoingGossip> tick(Millis now);
    std::vector<OutgoingGossip> receive(const wire::GossipT &message, Millis now);

    const Member &self() const
    {
        return m_self;
    }
    /// All known members, this one included, by incarnation.
    std::vector<Member> members() const;
    const ObjectTable &objects() const
    {
        return m_objects;
    }

    /// Changes since the last call.
    std::vector<MemberChange> takeMemberChanges();
    std::vector<StoredObject> takeObjectChanges();
    /// Whether another member has answered a pull, so that the table is not empty for want of asking.
    bool hasSynced() const
    {
        return m_synced;
    }

private:
    struct Known {
        Member member;
        Millis since; ///< of the present state
    };
    struct Probe {
        std::uint64_t number = 0;
        std::string key;
        Millis sentAt;
        bool indirect = false;
    };

    void raiseSelf();
    void receiveObject(const wire::ObjectRecordT &record);
    void applyMember(const Member &update, Millis now);
    void setState(Known &known, MemberState state, Millis now);
    void refute(const Member &update);
    void expire(Millis now);
    void probe(Millis now, std::vector<OutgoingGossip> &out);
    std::string nextToProbe();
    std::vector<std::string> helpersFor(const Member &target);
    void followProbe(Millis now, std::vector<OutgoingGossip> &out);
    /// Sends objects that are new from the platform to the whole data centre.
    void pushObjects(std::vector<OutgoingGossip> &out);
    void spread(std::vector<OutgoingGossip> &out);
    void compare(std::vector<OutgoingGossip> &out);
    std::string peerAddress();
    std::string lostAddress();
    void askSeeds(std::vector<OutgoingGossip> &out);
    void answerPing(const wire::GossipT &message, std::vector<OutgoingGossip> &out);
    /// Sends the objects of a higher version than that.
    void sendObjects(std::uint64_t newerThan, const std::string &address, std::vector<OutgoingGossip> &out);
    void answerPull(const wire::PullRequestT &pull, const std::string &address, std::vector<OutgoingGossip> &out);
    void takeAck(const wire::AckT &ack, std::vector<OutgoingGossip> &out);
    void compareDigests(const wire::GossipT &message, std::vector<OutgoingGossip> &out);
    wire::GossipT newMessage() const;
    /// A ping of the member that is being probed.
    wire::GossipT newPing() const;
    /// @param local whether the message stays in the data centre, so that large objects may go with it
    void attachRumours(wire::GossipT &message, bool local = true);
    std::vector<std::string> peers(bool sameDataCentre) const;
    std::vector<std::string> randomPeers(std::vector<std::string> pool, std::size_t count);
    std::uint64_t membersDigest() const;

    Member m_self;
    MembershipTimings m_timings;
    Random &m_random;
    std::vector<Seed> m_seeds;
    std::map<std::string, Known> m_known; ///< by incarnation
    std::vector<std::string> m_probeOrder;
    std::optional<Probe> m_probe;
    std::uint64_t m_nextNumber = 1;
    Millis m_nextProbe;
    Millis m_nextRumour;
    Millis m_nextCompare;
    Rumours m_memberRumours;
    Rumours m_objectRumours;
    ObjectTable m_objects;
    PackedObjects m_packed;
    std::vector<MemberChange> m_memberChanges;
    std::vector<StoredObject> m_objectChanges;
    bool m_synced = false;
    std::vector<std::string> m_unpushed; ///< objects from the platform that the data centre has to be sent
};

} // namespace mustardpond
