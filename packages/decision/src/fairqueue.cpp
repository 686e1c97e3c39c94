#include "decision/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mustardpond {

namespace {

constexpr double DEFAULT_WEIGHT = 1; ///< if no flow's weight is known
constexpr double DEFAULT_COST = 1; ///< while no service time is known, all requests count alike
/// Grants after which the counts of a flow are halved, so that its expected part follows changes of the load.
constexpr double COUNTED_GRANTS = 256;

} // namespace

bool operator<(const FairRequest &one, const FairRequest &other)
{
    return std::tie(one.rank, one.deadline.value, one.ticket)
        < std::tie(other.rank, other.deadline.value, other.ticket);
}

void FairQueue::push(FairRequest request)
{
    const FairShare &share = request.share;
    auto found = m_flows.find(share.flow);
    if (found == m_flows.end()) {
        Flow flow;
        flow.start = startOf(share);
        flow.weight = share.weight;
        forget(share.flow);
        addWeight(flow.weight);
        found = m_flows.emplace(share.flow, std::move(flow)).first;
    } else if (found->second.weight != share.weight) {
        removeWeight(found->second.weight);
        addWeight(share.weight);
        found->second.weight = share.weight;
    }
    found->second.waiting.insert(std::move(request));
    ++m_size;
}

const FairRequest *FairQueue::front() const
{
    const auto next = nextFlow();
    return next == m_flows.end() ? nullptr : &*next->second.waiting.begin();
}

void FairQueue::pop()
{
    const auto next = m_flows.find(nextFlow()->first);
    const std::string name = next->first;
    Flow &flow = next->second;
    const double start = flow.start;
    flow.start += virtualCost(flow.waiting.begin()->share, flow.weight);
    flow.waiting.erase(flow.waiting.begin());
    --m_size;
    countGrant(name);
    if (flow.waiting.empty()) {
        const IdleFlow idle{flow.start, flow.weight};
        removeWeight(flow.weight);
        m_flows.erase(next);
        remember(name, idle);
    }
    setVirtualTime(start);
}

bool FairQueue::remove(std::uint64_t ticket)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end(); ++entry) {
        auto &waiting = entry->second.waiting;
        const auto found = std::find_if(waiting.begin(), waiting.end(),
                                        [ticket](const FairRequest &request) { return request.ticket == ticket; });
        if (found == waiting.end()) {
            continue;
        }
        waiting.erase(found);
        --m_size;
        if (waiting.empty()) {
            const std::string name = entry->first;
            const IdleFlow idle{entry->second.start, entry->second.weight};
            removeWeight(idle.weight);
            m_flows.erase(entry);
            remember(name, idle);
        }
        return true;
    }
    return false;
}

void FairQueue::charge(const FairShare &share)
{
    const double start = startOf(share);
    forget(share.flow);
    remember(share.flow, {start + virtualCost(share, share.weight), share.weight});
    setVirtualTime(start);
}

void FairQueue::forgetIdleFlows()
{
    while (!m_idle.empty()) {
        forget(m_idle.begin()->first);
    }
}

double FairQueue::expectedAhead(const FairRequest &request) const
{
    const auto own = m_flows.find(request.share.flow);
    double start = own == m_flows.end() ? startOf(request.share) : own->second.start;
    double ownAhead = 0;
    double allAhead = 0;
    if (own != m_flows.end()) {
        for (const FairRequest &waiting : own->second.waiting) {
            if (request < waiting) {
                break;
            }
            start += virtualCost(waiting.share, own->second.weight);
            ++ownAhead;
        }
        allAhead = ownAhead * (own->second.allGranted + 1) / (own->second.granted + 1);
    }
    double ahead = ownAhead;
    for (const auto &[name, flow] : m_flows) {
        if (name == request.share.flow) {
            continue;
        }
        double tag = flow.start;
        for (auto waiting = flow.waiting.begin(); waiting != flow.waiting.end() && tag <= start; ++waiting) {
            tag += virtualCost(waiting->share, flow.weight);
            ++ahead;
        }
    }
    return std::max(ahead, allAhead);
}

std::optional<std::uint64_t> FairQueue::lastBehind(const FairRequest &request) const
{
    const auto own = m_flows.find(request.share.flow);
    double latest = own == m_flows.end() ? startOf(request.share) : tagOf(own->second, request);
    std::optional<std::uint64_t> last;
    for (const auto &[name, flow] : m_flows) {
        const FairRequest &candidate = *flow.waiting.rbegin();
        const double tag = tagOf(flow, candidate);
        if (name != request.share.flow && tag > latest) {
            latest = tag;
            last = candidate.ticket;
        }
    }
    return last;
}

double FairQueue::tagOf(const Flow &flow, const FairRequest &request) const
{
    double tag = flow.start;
    for (auto waiting = flow.waiting.begin(); waiting != flow.waiting.end() && *waiting < request; ++waiting) {
        tag += virtualCost(waiting->share, flow.weight);
    }
    return tag;
}

std::vector<FlowUse> FairQueue::waitingFlows() const
{
    std::vector<FlowUse> uses;
    for (const auto &[name, flow] : m_flows) {
        uses.push_back({name, effectiveWeight(flow.weight), flow.waiting.size(),
                        static_cast<std::uint64_t>(std::lround(flow.granted))});
    }
    return uses;
}

FairQueue::Flows::const_iterator FairQueue::nextFlow() const
{
    // Flows with the same start time follow the order that requests of one flow have.
    return std::min_element(m_flows.begin(), m_flows.end(), [](const auto &one, const auto &other) {
        const double start = one.second.start;
        const double otherStart = other.second.start;
        return start != otherStart ? start < otherStart : *one.second.waiting.begin() < *other.second.waiting.begin();
    });
}

double FairQueue::effectiveWeight(double weight) const
{
    if (weight > 0) {
        return weight;
    }
    return m_weightSum > 0 ? m_weightSum / static_cast<double>(m_knownWeights) : DEFAULT_WEIGHT;
}

double FairQueue::virtualCost(const FairShare &share, double weight) const
{
    return (share.cost > 0 ? share.cost : DEFAULT_COST) / effectiveWeight(weight);
}

double FairQueue::startOf(const FairShare &share) const
{
    const auto found = m_idle.find(share.flow);
    return found == m_idle.end() ? m_virtualTime : std::max(m_virtualTime, found->second.finish);
}

void FairQueue::setVirtualTime(double time)
{
    m_virtualTime = std::max(m_virtualTime, time);
    while (!m_idleByFinish.empty() && m_idleByFinish.begin()->first <= m_virtualTime) {
        const std::string past = m_idleByFinish.begin()->second;
        forget(past);
    }
}

void FairQueue::remember(const std::string &flow, IdleFlow idle)
{
    if (idle.finish <= m_virtualTime) {
        return;
    }
    m_idle[flow] = idle;
    m_idleByFinish.emplace(idle.finish, flow);
    addWeight(idle.weight);
    if (m_idle.size() > MAX_IDLE_FLOWS) {
        const std::string nearest = m_idleByFinish.begin()->second;
        forget(nearest);
    }
}

void FairQueue::forget(const std::string &flow)
{
    const auto found = m_idle.find(flow);
    if (found == m_idle.end()) {
        return;
    }
    removeWeight(found->second.weight);
    m_idleByFinish.erase({found->second.finish, flow});
    m_idle.erase(found);
}

void FairQueue::countGrant(const std::string &flow)
{
    for (auto &[name, waiting] : m_flows) {
        waiting.allGranted += 1;
        waiting.granted += name == flow ? 1 : 0;
        if (waiting.allGranted >= COUNTED_GRANTS) {
            waiting.allGranted /= 2;
            waiting.granted /= 2;
        }
    }
}

void FairQueue::addWeight(double weight)
{
    if (weight > 0) {
        m_weightSum += weight;
        ++m_knownWeights;
    }
}

void FairQueue::removeWeight(double weight)
{
    if (weight > 0) {
        --m_knownWeights;
        m_weightSum = m_knownWeights > 0 ? m_weightSum - weight : 0; // rounding errors do not add up
    }
}

} // namespace mustardpond
