/// The order of an object's versions in the platform's store.
#pragma once

#include <cstdint>

namespace mustardpond {

/// A store that comes back from an older copy starts a new era: it has lost its last revisions and gives them out
/// again. So revisions are compared within one era only. Between eras, the number that the writer gave its version
/// decides: the copy still holds an older version, and the writer writes the newer one again.
struct ObjectVersion {
    std::uint64_t edition = 0; ///< the writer's number, which rises with each version; 0 if it gives none
    std::uint64_t era = 0; ///< of the store; 0 if it names none
    std::uint64_t revision = 0; ///< of the store; 0 for an unknown object

    constexpr ObjectVersion() = default;
    /// A revision of a store without eras.
    constexpr ObjectVersion(std::uint64_t storeRevision) // NOLINT(google-explicit-constructor)
        : revision(storeRevision)
    {
    }
    constexpr ObjectVersion(std::uint64_t writerEdition, std::uint64_t storeEra, std::uint64_t storeRevision)
        : edition(writerEdition)
        , era(storeEra)
        , revision(storeRevision)
    {
    }

    constexpr bool isKnown() const
    {
        return revision != 0;
    }
    /// Whether only the revision is known, as from a daemon that does not send the rest.
    constexpr bool isPlain() const
    {
        return edition == 0 && era == 0;
    }

    friend constexpr bool operator==(const ObjectVersion &a, const ObjectVersion &b)
    {
        return a.edition == b.edition && a.era == b.era && a.revision == b.revision;
    }
    friend constexpr bool operator!=(const ObjectVersion &a, const ObjectVersion &b)
    {
        return !(a == b);
    }
};

/// Whether a version of an object is newer than another one of the same object.
constexpr bool supersedes(const ObjectVersion &update, const ObjectVersion &current)
{
    if (update.era == current.era || update.isPlain() || current.isPlain()) {
        return update.revision > current.revision;
    }
    return update.edition != current.edition ? update.edition > current.edition : update.era > current.era;
}

} // namespace mustardpond
