/// Hands proofs from the control plane over to the request path, and logs when keys are no longer accepted.
#pragma once

#include "decision/configfreshness.h"

#include <functional>
#include <optional>

namespace mustardpond {

/// Not thread-safe.
class ProofReport
{
public:
    using Handler = std::function<void(const FreshnessProof &)>;

    ProofReport(Millis maxAge, Handler handler);

    /// Hands over the usable proof if it is notably younger than the last one or makes keys acceptable again.
    /// @param needed whether the configuration has organisations
    void update(const ConfigFreshness &freshness, bool needed, Millis now);
    /// Returns when the next update() is due without a new proof.
    Millis nextDue() const;

private:
    bool isAccepted(Millis now) const;
    void logRefused(const ConfigFreshness &freshness, Millis now) const;

    Millis m_maxAge;
    Handler m_handler;
    std::optional<FreshnessProof> m_handedOver;
    bool m_needed = false;
    bool m_logged = false; ///< whether it was logged that keys are refused
    bool m_hadProof = false; ///< since organisations are known
    Millis m_neededSince;
};

} // namespace mustardpond
