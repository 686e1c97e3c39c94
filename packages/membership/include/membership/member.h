/// State of the daemons of a fleet and of their upstreams, as gossip distributes it.
#pragma once

#include "config/objectstore.h"
#include "decision/operationid.h"
#include "foundation/clock.h"
#include "foundation/enumtable.h"
#include "wire/generated/frames_generated.h"

#include <string>
#include <vector>

namespace mustardpond {

using wire::MemberState;
using wire::UpstreamState;

constexpr EnumTable<MemberState, 4> MEMBER_STATE_NAMES = {{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Left, "left"},
    {MemberState::Dead, "dead"},
}};

constexpr EnumTable<UpstreamState, 4> UPSTREAM_STATE_NAMES = {{
    {UpstreamState::Starting, "starting"},
    {UpstreamState::Ready, "ready"},
    {UpstreamState::Draining, "draining"},
    {UpstreamState::Gone, "gone"},
}};

/// An upstream process of a service, as announced by its gate.
struct UpstreamInfo {
    std::string id;
    std::string service;
    UpstreamState state = UpstreamState::Starting;
    std::uint32_t slots = 1;
    std::uint64_t born = 0; ///< start time in Unix milliseconds; 0 when it is unknown
    std::uint64_t sequence = 0; ///< sequence number of the announcement that this state was taken from
};

/// One run of a daemon: a restart is a new member with a new incarnation.
struct Member {
    std::string node;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< incremented by the member itself with each change
    MemberState state = MemberState::Alive;
    std::string region;
    std::string dataCentre;
    std::string inner; ///< address and port that other daemons connect to
    std::string caller; ///< address and port that callers connect to
    bool seesPlatform = true; ///< whether the member reaches the platform's store
    std::vector<UpstreamInfo> upstreams;
};

/// Whether an update replaces the current record of the same incarnation: one with a higher sequence does, and at the
/// same sequence one with a worse state, in the order of MemberState.
bool supersedes(const Member &update, const Member &current);

/// Whether requests may be sent to the member's upstreams.
bool acceptsRequests(const Member &member);

wire::MemberRecordT toRecord(const Member &member);
Member fromRecord(const wire::MemberRecordT &record);
ObjectVersion versionOf(const wire::ObjectRecordT &record);
/// Throws BadFrame for a compressed value that cannot be decompressed.
StoredObject fromRecord(const wire::ObjectRecordT &record);

} // namespace mustardpond
