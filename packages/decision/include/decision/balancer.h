/// Choice of an upstream for one request.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"
#include "foundation/random.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// How far away an upstream is from the router.
enum class Distance : std::uint8_t { SameDataCentre, SameRegion, OtherRegion };

constexpr EnumTable<Distance, 3> DISTANCE_NAMES = {{{Distance::SameDataCentre, "data-centre"},
                                                    {Distance::SameRegion, "region"},
                                                    {Distance::OtherRegion, "other-region"}}};

/// What a router knows of one upstream when it chooses.
struct Candidate {
    std::string upstream;
    Distance distance = Distance::SameDataCentre;
    Millis roundTrip; ///< network time to the gate and back
    Millis serviceTime; ///< usual time of the upstream for this class
    double load = 0; ///< requests there, running and waiting, as far as known
    double slots = 1;
    double weight = 1; ///< from the detector; 0 is ejected
    bool excluded = false; ///< tried already for this request
};

/// The expected time until an answer.
Millis expectedTime(const Candidate &candidate);

/// Picks the better of two random candidates of the nearest distance that can meet the target. Farther ones are
/// taken only when nearer ones would miss it; when all would miss it, the one with the least expected time.
/// Nothing when no candidate has weight.
std::optional<std::size_t> chooseUpstream(const std::vector<Candidate> &candidates, Millis latencyTarget,
                                          Random &random);

} // namespace mustardpond
