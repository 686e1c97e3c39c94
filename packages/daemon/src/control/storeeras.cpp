#include "storeeras.h"

#include "config/objecttable.h"

#include <algorithm>

namespace mustardpond {

bool StoreEras::accept(Listing &answer)
{
    const bool namesEra = answer.era != 0;
    const std::uint64_t era = namesEra ? answer.era : m_era;
    if (era < m_era || (era > m_era && !answer.complete)) {
        return false;
    }
    const bool sameEra = era == m_era;
    answer.era = era;
    for (StoredObject &object : answer.unreadable) {
        object.version.era = era;
    }
    for (StoredObject &object : answer.objects) {
        object.version.era = era;
        completeVersion(object, answer.complete, sameEra);
    }
    m_era = era;
    m_revision = answer.revision;
    return true;
}

void StoreEras::completeVersion(StoredObject &object, bool complete, bool sameEra)
{
    std::uint64_t &highest = m_editions[ObjectTable::keyOf(object.kind, object.name)];
    // What has changed within the era is newer than all before, even if the writer's own numbers went back.
    const bool changedInEra = !complete || (sameEra && object.version.revision > m_revision);
    if (changedInEra) {
        object.version.edition = std::max(object.version.edition, highest);
    }
    highest = std::max(highest, object.version.edition);
}

} // namespace mustardpond
