#include "membership/rumours.h"

#include <algorithm>

namespace mustardpond {

void Rumours::add(const std::string &key)
{
    m_sendCounts[key] = 0;
}

std::vector<std::string> Rumours::nextBatch(std::size_t limit, int maxSends,
                                            const std::function<bool(const std::string &)> &maySend)
{
    struct Entry {
        int sendCount;
        std::string key;
    };
    std::vector<Entry> entries;
    entries.reserve(m_sendCounts.size());
    for (const auto &[key, sendCount] : m_sendCounts) {
        if (maySend(key)) {
            entries.push_back({sendCount, key});
        }
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const Entry &a, const Entry &b) { return a.sendCount < b.sendCount; });
    entries.resize(std::min(entries.size(), limit));
    std::vector<std::string> keys;
    for (const Entry &entry : entries) {
        keys.push_back(entry.key);
        if (++m_sendCounts[entry.key] >= maxSends) {
            m_sendCounts.erase(entry.key);
        }
    }
    return keys;
}

} // namespace mustardpond
