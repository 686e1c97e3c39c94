#include "platformroles.h"

#include <xxhash.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t WATCHERS_PER_DATA_CENTRE = 2;
constexpr std::size_t STANDBYS_PER_DATA_CENTRE = 3;

std::uint64_t rank(const Member &member)
{
    return XXH64(member.node.data(), member.node.size(), member.incarnation.low);
}

bool isEligible(const Member &member, const std::string &dataCentre)
{
    return member.dataCentre == dataCentre && acceptsRequests(member) && member.seesPlatform;
}

std::size_t countHigher(const std::vector<Member> &members, const Member &self)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&self](const Member &member) {
        return isEligible(member, self.dataCentre) && rank(member) > rank(self);
    }));
}

} // namespace

bool watchesPlatform(const std::vector<Member> &members, const Member &self)
{
    return countHigher(members, self) < WATCHERS_PER_DATA_CENTRE;
}

std::optional<std::size_t> standbyPlaceOf(const std::vector<Member> &members, const Member &self)
{
    const std::size_t higher = countHigher(members, self);
    if (!isEligible(self, self.dataCentre) || higher < WATCHERS_PER_DATA_CENTRE
        || higher >= WATCHERS_PER_DATA_CENTRE + STANDBYS_PER_DATA_CENTRE) {
        return std::nullopt;
    }
    return higher - WATCHERS_PER_DATA_CENTRE;
}

bool replacesWatchers(std::size_t standbyPlace, std::size_t watchers, std::size_t silentWatchers)
{
    return silentWatchers > 0 && (standbyPlace == 0 || silentWatchers == watchers);
}

std::vector<Incarnation> watchersOf(const std::vector<Member> &members, const std::string &dataCentre)
{
    std::vector<const Member *> eligible;
    for (const Member &member : members) {
        if (isEligible(member, dataCentre)) {
            eligible.push_back(&member);
        }
    }
    std::sort(eligible.begin(), eligible.end(), [](const Member *a, const Member *b) { return rank(*a) > rank(*b); });
    eligible.resize(std::min(eligible.size(), WATCHERS_PER_DATA_CENTRE));
    std::vector<Incarnation> watchers;
    watchers.reserve(eligible.size());
    for (const Member *member : eligible) {
        watchers.push_back(member->incarnation);
    }
    return watchers;
}

bool removesRecordOf(const Member &dead, const std::vector<Member> &members, const Member &self)
{
    if (!self.seesPlatform || !watchesPlatform(members, self)) {
        return false;
    }
    const bool anyEligible = std::any_of(members.begin(), members.end(),
                                         [&dead](const Member &member) { return isEligible(member, dead.dataCentre); });
    return self.dataCentre == dead.dataCentre || !anyEligible;
}

} // namespace mustardpond
