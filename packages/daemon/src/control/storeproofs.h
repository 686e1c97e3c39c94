/// Proofs that the configuration is the newest, from the answers of the platform's store.
#pragma once

#include "config/objectstore.h"
#include "decision/configfreshness.h"

#include <optional>
#include <string>

namespace mustardpond {

/// Tracks the version of the bundle, the only object of its kind. Not thread-safe.
class StoreProofs
{
public:
    /// Returns the proof in an answer, dated when the question was sent: a change may be stored while the store waits
    /// with its answer. Returns nothing if no bundle is known, or if the newest one cannot be read.
    /// @param askedRevision of the watch; 0 for a list
    std::optional<FreshnessProof> onAnswer(const Listing &answer, std::uint64_t askedRevision, Millis askedAt);

private:
    std::string m_name;
    ObjectVersion m_version;
    bool m_readable = true; ///< whether the newest bundle could be read
};

} // namespace mustardpond
