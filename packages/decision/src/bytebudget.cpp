#include "decision/bytebudget.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t SMALL_SHARE_DIVISOR = 4; ///< of the budget, for small requests

} // namespace

ByteBudget::Holder ByteBudget::open(Millis now)
{
    State state;
    state.lastProgress = now;
    m_holders.emplace(++m_lastHolder, state);
    return m_lastHolder;
}

void ByteBudget::close(Holder holder)
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end()) {
        m_used -= found->second.held;
        m_holders.erase(found);
    }
}

bool ByteBudget::take(Holder holder, std::size_t bytes, std::size_t expected)
{
    State &state = m_holders.at(holder);
    const bool small = std::max(expected, state.held + bytes) <= SMALL_BYTES;
    const std::size_t limit = small ? m_total : m_total - m_total / SMALL_SHARE_DIVISOR;
    if (m_used + bytes > limit) {
        return false;
    }
    charge(holder, bytes);
    return true;
}

void ByteBudget::charge(Holder holder, std::size_t bytes)
{
    m_holders.at(holder).held += bytes;
    m_used += bytes;
}

void ByteBudget::giveBack(Holder holder, std::size_t bytes)
{
    State &state = m_holders.at(holder);
    const std::size_t returned = std::min(bytes, state.held);
    state.held -= returned;
    m_used -= returned;
}

std::size_t ByteBudget::held(Holder holder) const
{
    return m_holders.at(holder).held;
}

void ByteBudget::onProgress(Holder holder, std::size_t bytes, Millis now)
{
    State &state = m_holders.at(holder);
    state.progress += bytes;
    if (state.progress >= PROGRESS_BYTES) {
        state.progress = 0;
        state.lastProgress = now;
    }
}

void ByteBudget::setEvictable(Holder holder, bool evictable, Millis now)
{
    State &state = m_holders.at(holder);
    state.evictable = evictable;
    state.progress = 0;
    state.lastProgress = now;
}

std::optional<Millis> ByteBudget::silence(Holder holder, Millis now) const
{
    const State &state = m_holders.at(holder);
    return state.evictable ? std::optional<Millis>(now - state.lastProgress) : std::nullopt;
}

std::optional<ByteBudget::Holder> ByteBudget::victim(Millis now) const
{
    std::optional<Holder> worst;
    double worstProduct = 0;
    for (const auto &[holder, state] : m_holders) {
        const Millis stalled = now - state.lastProgress;
        const double product = static_cast<double>(state.held) * stalled.value;
        if (state.evictable && stalled >= PROGRESS_TIME && product > worstProduct) {
            worst = holder;
            worstProduct = product;
        }
    }
    return worst;
}

Millis ByteBudget::timeUntilVictim(Millis now) const
{
    Millis time = PROGRESS_TIME;
    for (const auto &[holder, state] : m_holders) {
        if (state.evictable && state.held > 0) {
            time = std::min(time, std::max(Millis(), PROGRESS_TIME - (now - state.lastProgress)));
        }
    }
    return time;
}

} // namespace mustardpond
