/// Whether requests with keys of organisations may be served, by the proof that the configuration is the newest.
#pragma once

#include "callerdialect.h"
#include "config/daemonsettings.h"
#include "decision/configfreshness.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardpond {

/// Used on the request path. Not thread-safe.
class KeyAdmission
{
public:
    explicit KeyAdmission(const KeySettings &settings)
        : m_settings(settings)
    {
    }

    /// Whether keys are accepted only with a proof.
    bool isStrict() const
    {
        return m_settings.strict;
    }
    void setProof(const FreshnessProof &proof)
    {
        m_proof = proof;
    }
    const std::optional<FreshnessProof> &proof() const
    {
        return m_proof;
    }
    /// @param organisations whether the configuration has some
    bool accepts(bool organisations, Millis now) const;
    /// Returns the answer to a request that is refused since accepts() is false, and counts it.
    RouterAnswer refuse();
    /// Returns the metrics in the Prometheus text format; empty unless a proof is needed.
    std::string exposition(Millis now) const;

private:
    KeySettings m_settings;
    std::optional<FreshnessProof> m_proof;
    std::uint64_t m_refused = 0;
};

} // namespace mustardpond
