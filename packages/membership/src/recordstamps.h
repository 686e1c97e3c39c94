/// Comparison of the records of two members without sending the records themselves.
#pragma once

#include "config/objecttable.h"
#include "membership/member.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// Returns a number that is higher for a record of a member that supersedes another one of the same incarnation.
std::uint64_t orderOf(const Member &member);

/// The versions of members' records and objects that one member has. Answers which records another member lacks, so
/// that two members whose digests differ exchange only these: under frequent restarts most digests differ by a few
/// records.
class RecordStamps
{
public:
    RecordStamps(const std::vector<Member> &members, const ObjectTable &objects);
    /// Reads the stamps of a pull request.
    explicit RecordStamps(const wire::PullRequestT &pull);

    void writeTo(wire::PullRequestT &pull) const;
    /// Whether the record is missing here, or older than the given one.
    bool lacks(const Member &member) const;
    /// Whether any member's record of the other stamps is newer than here.
    bool lacksMembersOf(const RecordStamps &other) const;
    bool lacksObjectsOf(const RecordStamps &other) const;
    const std::unordered_map<std::uint64_t, ObjectVersion> &objects() const
    {
        return m_objects;
    }

private:
    std::unordered_map<std::uint64_t, std::uint64_t> m_members; ///< orders by the low half of the incarnation
    std::unordered_map<std::uint64_t, ObjectVersion> m_objects; ///< by the hash of the key
};

} // namespace mustardpond
