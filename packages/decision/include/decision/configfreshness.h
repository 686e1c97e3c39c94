/// Decides whether a host may rely on its configuration being the newest, and when it asks which peer for a proof.
#pragma once

#include "decision/objectversion.h"
#include "foundation/clock.h"

#include <optional>

namespace mustardpond {

/// No version newer than this one had been stored by that time of this host's clock.
struct FreshnessProof {
    ObjectVersion version;
    Millis at;
};

enum class ProofPeer { Watcher, SameDataCentre, OtherDataCentre };

/// Whether requests with keys may be served with a proof of this time.
bool isProofValid(const std::optional<Millis> &provedAt, Millis now, Millis maxAge);

/// Answers the load of changes that take keys away while hosts are cut off from the store, from each other, or
/// suspended. A proof counts on a host that has its version or a later one in force. An age that a peer reports is
/// counted from the time of the question, so delays in transit make a proof older and never younger.
/// A host whose proof is young asks the watchers of its data centre at a low rate. With an old proof it also asks
/// others, more often. Not thread-safe.
class ConfigFreshness
{
public:
    /// @param spread in [0, 1): delays the questions that an old proof causes. The hosts of a data centre learn the
    /// same proof from its watchers, and would otherwise all ask at the same moment.
    ConfigFreshness(Millis maxAge, double spread);

    /// Sets the version that is in force on this host.
    void setApplied(const ObjectVersion &version);
    /// Sets whether this host reads the store itself. It then only asks when its own proof is old.
    void setWatcher(bool watcher)
    {
        m_watcher = watcher;
    }
    void add(const FreshnessProof &proof, Millis now);

    /// Returns the latest proof, for other hosts. It may name a version that is not in force here.
    const std::optional<FreshnessProof> &latest() const
    {
        return m_latest;
    }
    /// Returns the latest proof that counts on this host.
    const std::optional<FreshnessProof> &usable() const
    {
        return m_usable;
    }

    /// Whether a proof has shown that a version exists which is not in force here.
    bool isMissingVersion() const
    {
        return m_latest && supersedes(m_latest->version, m_applied);
    }

    Millis nextQuestion() const;
    /// Returns whom to ask, if a question is due, and counts it as asked.
    std::optional<ProofPeer> takeQuestion(Millis now);

private:
    Millis urgentFrom() const;
    bool isUrgent(Millis now) const;

    double m_scale;
    double m_spread;
    bool m_watcher = false;
    ObjectVersion m_applied;
    std::optional<FreshnessProof> m_latest;
    std::optional<FreshnessProof> m_usable;
    std::optional<Millis> m_askedAt;
    unsigned m_rotation = 0;
};

} // namespace mustardpond
