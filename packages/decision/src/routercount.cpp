#include "decision/routercount.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis MEMORY{20000};

} // namespace

void RouterCount::update(std::size_t known, Millis now)
{
    if (known < m_known) {
        m_past.push_back({m_known, now});
    }
    m_known = known;
    m_past.erase(
        std::remove_if(m_past.begin(), m_past.end(),
                       [known, now](const Past &past) { return past.known <= known || now - past.until > MEMORY; }),
        m_past.end());
}

std::size_t RouterCount::count(Millis now) const
{
    std::size_t most = std::max<std::size_t>(1, m_known);
    for (const Past &past : m_past) {
        if (now - past.until <= MEMORY) {
            most = std::max(most, past.known);
        }
    }
    return most;
}

} // namespace mustardpond
