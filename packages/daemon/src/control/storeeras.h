/// Makes the answers of the platform's store comparable after it has come back from an older copy.
#pragma once

#include "config/objectstore.h"

#include <cstdint>
#include <map>
#include <string>

namespace mustardpond {

/// Tracks the store's era and revision over the answers that one daemon reads, in the order in which it reads them.
/// Not thread-safe.
class StoreEras
{
public:
    /// Completes the versions of the objects in an answer. Returns false if the answer does not continue the earlier
    /// ones, so that all objects must be listed again.
    bool accept(Listing &answer);

    /// Returns 0 while no answer has named an era.
    std::uint64_t era() const
    {
        return m_era;
    }
    /// Returns the revision to watch from.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    void completeVersion(StoredObject &object, bool complete, bool sameEra);

    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
    std::map<std::string, std::uint64_t> m_editions; ///< the highest read, by key
};

} // namespace mustardpond
