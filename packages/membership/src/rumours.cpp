#include "membership/rumours.h"

#include <algorithm>

namespace mustardpond {

void Rumours::add(const std::string &key)
{
    m_sent[key] = 0;
}

std::vector<std::string> Rumours::take(std::size_t limit, int sendings,
                                       const std::function<bool(const std::string &)> &maySend)
{
    struct Entry {
        int sent;
        std::string key;
    };
    std::vector<Entry> entries;
    entries.reserve(m_sent.size());
    for (const auto &[key, sent] : m_sent) {
        if (maySend(key)) {
            entries.push_back({sent, key});
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) { return a.sent < b.sent; });
    entries.resize(std::min(entries.size(), limit));
    std::vector<std::string> keys;
    for (const Entry &entry : entries) {
        keys.push_back(entry.key);
        if (++m_sent[entry.key] >= sendings) {
            m_sent.erase(entry.key);
        }
    }
    return keys;
}

} // namespace mustardpond
