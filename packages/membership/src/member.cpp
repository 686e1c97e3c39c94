#include "membership/member.h"

#include "wire/compression.h"

namespace mustardpond {

bool supersedes(const Member &update, const Member &current)
{
    if (update.sequence != current.sequence) {
        return update.sequence > current.sequence;
    }
    return update.state > current.state;
}

bool acceptsRequests(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

wire::MemberRecordT toRecord(const Member &member)
{
    wire::MemberRecordT record;
    record.node = member.node;
    record.incarnationHigh = member.incarnation.high;
    record.incarnationLow = member.incarnation.low;
    record.sequence = member.sequence;
    record.state = member.state;
    record.region = member.region;
    record.dataCentre = member.dataCentre;
    record.inner = member.inner;
    record.caller = member.caller;
    record.seesPlatform = member.seesPlatform;
    for (const UpstreamInfo &upstream : member.upstreams) {
        auto entry = std::make_unique<wire::UpstreamRecordT>();
        entry->id = upstream.id;
        entry->service = upstream.service;
        entry->state = upstream.state;
        entry->slots = upstream.slots;
        entry->born = upstream.born;
        entry->sequence = upstream.sequence;
        record.upstreams.push_back(std::move(entry));
    }
    return record;
}

Member fromRecord(const wire::MemberRecordT &record)
{
    Member member;
    member.node = record.node;
    member.incarnation = {record.incarnationHigh, record.incarnationLow};
    member.sequence = record.sequence;
    member.state = record.state;
    member.region = record.region;
    member.dataCentre = record.dataCentre;
    member.inner = record.inner;
    member.caller = record.caller;
    member.seesPlatform = record.seesPlatform;
    for (const auto &entry : record.upstreams) {
        if (entry) {
            member.upstreams.push_back(
                {entry->id, entry->service, entry->state, entry->slots, entry->born, entry->sequence});
        }
    }
    return member;
}

ObjectVersion versionOf(const wire::ObjectRecordT &record)
{
    return {record.edition, record.era, record.version};
}

StoredObject fromRecord(const wire::ObjectRecordT &record)
{
    std::string value = record.packed.empty() ? record.value : decompressBytes(record.packed, record.size);
    return {record.kind, record.name, versionOf(record), record.deleted, std::move(value)};
}

} // namespace mustardpond
