/// The limits and the priority that operators set for an organisation.
#pragma once

#include <optional>
#include <string>

namespace mustardpond {

struct Organisation {
    std::string name;
    std::optional<int> priority; ///< replaces that of the class of work; 0 is the most urgent
    double ratePerSecond = 0; ///< requests over all daemons together; 0 for no limit
    double burst = 0; ///< requests that may come at once beyond the rate
};

} // namespace mustardpond
