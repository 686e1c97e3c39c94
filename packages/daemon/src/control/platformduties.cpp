#include "platformduties.h"

#include <xxhash.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t WATCHERS = 2;

std::uint64_t rank(const Member &member)
{
    return XXH64(member.node.data(), member.node.size(), member.incarnation.low);
}

bool canServe(const Member &member, const std::string &dataCentre)
{
    return member.dataCentre == dataCentre && acceptsRequests(member) && member.seesPlatform;
}

} // namespace

bool watchesPlatform(const std::vector<Member> &members, const Member &self)
{
    const auto higher = std::count_if(members.begin(), members.end(), [&self](const Member &member) {
        return canServe(member, self.dataCentre) && rank(member) > rank(self);
    });
    return static_cast<std::size_t>(higher) < WATCHERS;
}

bool removesRecordOf(const Member &dead, const std::vector<Member> &members, const Member &self)
{
    if (!self.seesPlatform || !watchesPlatform(members, self)) {
        return false;
    }
    const bool anyThere = std::any_of(members.begin(), members.end(),
                                      [&dead](const Member &member) { return canServe(member, dead.dataCentre); });
    return self.dataCentre == dead.dataCentre || !anyThere;
}

} // namespace mustardpond
