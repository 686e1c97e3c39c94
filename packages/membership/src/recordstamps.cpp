#include "recordstamps.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::uint64_t STATES = 4; ///< number of values of MemberState

bool hasNewer(const std::unordered_map<std::uint64_t, std::uint64_t> &versions,
              const std::unordered_map<std::uint64_t, std::uint64_t> &known)
{
    return std::any_of(versions.begin(), versions.end(), [&known](const auto &entry) {
        const auto found = known.find(entry.first);
        return found == known.end() || found->second < entry.second;
    });
}

} // namespace

std::uint64_t orderOf(const Member &member)
{
    return member.sequence * STATES + static_cast<std::uint64_t>(member.state);
}

RecordStamps::RecordStamps(const std::vector<Member> &members, const ObjectTable &objects)
    : m_objects(objects.versionsByHash())
{
    for (const Member &member : members) {
        m_members[member.incarnation.low] = orderOf(member);
    }
}

RecordStamps::RecordStamps(const wire::PullRequestT &pull)
{
    for (const wire::MemberStamp &stamp : pull.members) {
        m_members[stamp.incarnationLow()] = stamp.order();
    }
    for (const wire::ObjectStamp &stamp : pull.objects) {
        m_objects[stamp.keyHash()] = stamp.version();
    }
}

void RecordStamps::writeTo(wire::PullRequestT &pull) const
{
    pull.hasStamps = true;
    if (pull.wantMembers) {
        for (const auto &[incarnationLow, order] : m_members) {
            pull.members.emplace_back(incarnationLow, order);
        }
    }
    if (pull.wantObjects) {
        for (const auto &[keyHash, version] : m_objects) {
            pull.objects.emplace_back(keyHash, version);
        }
    }
}

bool RecordStamps::lacks(const Member &member) const
{
    const auto found = m_members.find(member.incarnation.low);
    return found == m_members.end() || found->second < orderOf(member);
}

bool RecordStamps::lacksMembersOf(const RecordStamps &other) const
{
    return hasNewer(other.m_members, m_members);
}

bool RecordStamps::lacksObjectsOf(const RecordStamps &other) const
{
    return hasNewer(other.m_objects, m_objects);
}

} // namespace mustardpond
