/// Choice of an upstream for one request.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"
#include "foundation/random.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// Network distance from the router to an upstream.
enum class Distance : std::uint8_t { SameDataCentre, SameRegion, OtherRegion };

constexpr EnumTable<Distance, 3> DISTANCE_NAMES = {{{Distance::SameDataCentre, "data-centre"},
                                                    {Distance::SameRegion, "region"},
                                                    {Distance::OtherRegion, "other-region"}}};

/// State of one upstream from which a router makes its choice.
struct Candidate {
    std::string upstream;
    Distance distance = Distance::SameDataCentre;
    Millis roundTrip; ///< network time to the gate and back
    Millis serviceTime; ///< typical service time of the upstream for this class
    double load = 0; ///< running and waiting requests, as far as known
    double slots = 1;
    double weight = 1; ///< from the detector; 0 if ejected
    bool excluded = false; ///< already tried for this request
};

/// Returns the expected time until an answer.
Millis expectedTime(const Candidate &candidate);

/// Picks two random candidates at the nearest distance that can meet the target, and returns the less loaded one.
/// Farther candidates are used only when all nearer ones would miss the target. When all candidates would miss it,
/// returns the one with the lowest expected time divided by weight; std::nullopt when no candidate has weight.
std::optional<std::size_t> chooseUpstream(const std::vector<Candidate> &candidates, Millis latencyTarget,
                                          Random &random);

} // namespace mustardpond
