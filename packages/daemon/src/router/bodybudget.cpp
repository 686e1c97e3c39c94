#include "bodybudget.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis MAX_WAIT{1000}; ///< for room in the budget
constexpr Millis EVICTION_TIME{20}; ///< for an evicted connection to return its bytes
constexpr int MAX_EVICTIONS = 8; ///< by one request; each may return less than the request needs
constexpr Millis MIN_BODY_RETRY_AFTER{200};

} // namespace

void BodyBudget::notify()
{
    for (Waiters *waiters : {&m_small, &m_large}) {
        if (!waiters->empty()) {
            waiters->front()->cancel();
        }
    }
}

bool BodyBudget::waitAndTake(BodyHold &hold, std::size_t bytes, std::size_t expected, const Yield &yield)
{
    const std::size_t needed = std::max(expected, m_bytes.held(hold.m_holder) + bytes);
    Waiters &waiters = needed <= ByteBudget::SMALL_BYTES ? m_small : m_large;
    asio::steady_timer timer(m_context);
    waiters.push_back(&timer);
    const Millis deadline = m_clock.now() + MAX_WAIT;
    bool taken = false;
    for (int evictions = 0; !taken && evictions <= MAX_EVICTIONS;) {
        const Millis left = deadline - m_clock.now();
        if (left <= Millis()) {
            if (!evictOne()) {
                break;
            }
            ++evictions;
        }
        waitForRoom(timer, std::max(left, EVICTION_TIME), yield);
        taken = m_bytes.take(hold.m_holder, bytes, expected);
    }
    waiters.erase(std::find(waiters.begin(), waiters.end(), &timer));
    notify(); // the next one may find room, too
    return taken;
}

void BodyBudget::waitForRoom(asio::steady_timer &timer, Millis timeout, const Yield &yield)
{
    timer.expires_after(toDuration(timeout));
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
}

bool BodyBudget::evictOne()
{
    const auto victim = m_bytes.victim(m_clock.now());
    if (!victim) {
        return false;
    }
    BodyHold *hold = m_holds.at(*victim);
    hold->setEvictable(false);
    hold->m_evicted = true;
    hold->m_evict();
    if (m_onEviction) {
        m_onEviction();
    }
    return true;
}

BodyHold::BodyHold(BodyBudget &budget, std::function<void()> evict)
    : m_budget(budget)
    , m_evict(std::move(evict))
    , m_holder(budget.m_bytes.open(budget.m_clock.now()))
{
    m_budget.m_holds.emplace(m_holder, this);
}

BodyHold::~BodyHold()
{
    m_budget.m_holds.erase(m_holder);
    m_budget.m_bytes.close(m_holder);
    m_budget.notify();
}

bool BodyHold::take(std::size_t bytes, std::size_t expected, const Yield &yield)
{
    if (m_budget.m_bytes.take(m_holder, bytes, expected)) {
        return true;
    }
    const bool evictable = m_evictable;
    setEvictable(false); // it does not wait for its caller now
    const bool taken = m_budget.waitAndTake(*this, bytes, expected, yield);
    setEvictable(evictable);
    return taken;
}

void BodyHold::charge(std::size_t bytes)
{
    m_budget.m_bytes.charge(m_holder, bytes);
}

void BodyHold::giveBack(std::size_t bytes)
{
    m_budget.m_bytes.giveBack(m_holder, bytes);
    m_budget.notify();
}

void BodyHold::reduceTo(std::size_t bytes)
{
    const std::size_t held = m_budget.m_bytes.held(m_holder);
    if (held > bytes) {
        giveBack(held - bytes);
    }
}

void BodyHold::onProgress(std::size_t bytes)
{
    m_budget.m_bytes.onProgress(m_holder, bytes, m_budget.m_clock.now());
}

void BodyHold::setEvictable(bool evictable)
{
    m_evictable = evictable;
    m_budget.m_bytes.setEvictable(m_holder, evictable, m_budget.m_clock.now());
}

Millis BodyHold::retryAfter() const
{
    return std::max(MIN_BODY_RETRY_AFTER, m_budget.m_bytes.timeUntilVictim(m_budget.m_clock.now()));
}

} // namespace mustardpond
