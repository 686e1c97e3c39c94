/// Share of an upstream's slots that a router requests for an organisation.
#pragma once

#include "decision/organisation.h"
#include "wire/frame.h"

#include <string>

namespace mustardpond {

/// Returns the weight of an organisation against others: its rate, halved for each step of its priority. 0 stands for
/// the mean weight of the others, which its gate knows, for an organisation without a rate.
double slotWeight(const Organisation &organisation);

/// Returns the organisation's name, or an empty text without one.
inline std::string shareName(const Organisation *organisation)
{
    return organisation ? organisation->name : std::string();
}

/// Names the organisation in a reservation. Without one, the fields keep their defaults, which take no bytes.
void setSlotShare(const Organisation *organisation, wire::ReserveT &reserve);

} // namespace mustardpond
