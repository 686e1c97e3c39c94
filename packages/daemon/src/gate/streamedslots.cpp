#include "streamedslots.h"

#include <algorithm>

namespace mustardpond {

std::unique_ptr<StreamedSlots::Place> StreamedSlots::tryAcquire(const std::string &upstream, std::size_t slots)
{
    State &state = m_states[upstream];
    if (state.taken >= limitOf(slots) || !state.waiting.empty()) {
        return nullptr;
    }
    ++state.taken;
    return std::make_unique<Place>(*this, upstream);
}

std::unique_ptr<StreamedSlots::Place> StreamedSlots::acquire(const std::string &upstream, std::size_t slots,
                                                             Millis timeout, const Yield &yield)
{
    if (auto place = tryAcquire(upstream, slots)) {
        return place;
    }
    Waiter waiter(m_context);
    m_states[upstream].waiting.push_back(&waiter);
    waiter.timer.expires_after(toDuration(timeout));
    ErrorCode ignored;
    waiter.timer.async_wait(yield[ignored]);
    if (waiter.granted) {
        return std::make_unique<Place>(*this, upstream);
    }
    auto &waiting = m_states[upstream].waiting;
    waiting.erase(std::find(waiting.begin(), waiting.end(), &waiter));
    return nullptr;
}

void StreamedSlots::release(const std::string &upstream)
{
    const auto found = m_states.find(upstream);
    State &state = found->second;
    if (!state.waiting.empty()) {
        // The place passes to the one that has waited longest.
        Waiter *next = state.waiting.front();
        state.waiting.pop_front();
        next->granted = true;
        next->timer.cancel();
        return;
    }
    if (--state.taken == 0) {
        m_states.erase(found);
    }
}

} // namespace mustardpond
