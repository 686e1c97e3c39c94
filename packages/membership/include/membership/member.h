/// What a node knows of the other daemons and of their upstreams.
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

/// One of a service's serving processes, as its gate announces it.
struct UpstreamInfo {
    std::string id;
    std::string service;
    UpstreamState state = UpstreamState::Starting;
    std::uint32_t slots = 1;
    std::uint64_t born = 0; ///< its start, in Unix milliseconds; 0 when it is not told
    std::uint64_t sequence = 0; ///< of its announcement that this state comes from
};

/// One start of a daemon.
struct Member {
    std::string node;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< raised by the member itself with each change
    MemberState state = MemberState::Alive;
    std::string region;
    std::string dataCentre;
    std::string inner; ///< address and port for other daemons
    std::string caller; ///< address and port for callers
    bool seesPlatform = true; ///< whether the platform's store answers it
    std::vector<UpstreamInfo> upstreams;
};

/// Whether a record replaces what is known of the same incarnation: a higher sequence does, and at the same
/// sequence a worse state.
bool supersedes(const Member &update, const Member &known);

/// Whether requests may be sent to the member's upstreams.
bool acceptsRequests(const Member &member);

wire::MemberRecordT toRecord(const Member &member);
Member fromRecord(const wire::MemberRecordT &record);
/// Throws BadFrame for a packed value that cannot be unpacked.
StoredObject fromRecord(const wire::ObjectRecordT &record);

} // namespace mustardpond
