#include "servicetrace.h"

#include "decision/balancer.h"
#include "decision/retrybudget.h"
#include "decision/upstreamfailuredetector.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace mustardpond::bench {

namespace {

constexpr Millis TICK_INTERVAL{20};
constexpr Millis NETWORK_ROUND_TRIP{1};
constexpr double SLOW_FACTOR = 30;
constexpr double SLIGHTLY_SLOW_FACTOR = 8;
constexpr double SHARED_SLOW_FACTOR = 6;
constexpr double ERROR_SHARE = 0.5;
constexpr double BROWN_OUT_ERROR_SHARE = 0.3;
constexpr double BURST_FACTOR = 5;
constexpr Millis BURST_PERIOD{2000};
constexpr Millis BURST_LENGTH{400};
constexpr Millis FLAP_PERIOD{2000};
constexpr Millis FAST_ERROR_TIME{1};
constexpr double SECOND_CLASS_SHARE = 0.3;
constexpr double ATTEMPT_TIMEOUT_FACTOR = 4;
const char *const FIRST_CLASS = "lookup";
const char *const SECOND_CLASS = "report";

struct Event {
    Millis at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct Attempt {
    std::uint64_t number = 0;
    std::size_t router = 0;
    std::size_t upstream = 0;
    std::uint64_t request = 0;
    bool finished = false;
};

struct CallerRequest {
    Millis arrival;
    std::string workClass;
    std::size_t attempts = 0;
    std::vector<std::size_t> triedUpstreams;
};

struct Upstream {
    std::unique_ptr<UpstreamFailureDetector> detector;
    std::deque<std::shared_ptr<Attempt>> waiting;
    std::size_t running = 0;
    Millis lastSentInFault{-1};
};

struct Router {
    std::unique_ptr<Detector> detector;
    RetryBudget budget;
    std::vector<double> running;
    std::vector<bool> ejected;
};

class Trace
{
public:
    Trace(const TracePlan &plan, const DetectorFactory &makeDetector)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_upstreams(plan.upstreams)
    {
        if (plan.gateProfile) {
            for (Upstream &upstream : m_upstreams) {
                upstream.detector = std::make_unique<UpstreamFailureDetector>(*plan.gateProfile);
            }
        }
        const auto oracle = [this](const std::string &name, Millis at) {
            return !(isFaulty(std::stoul(name), at) && m_plan.fault == FaultKind::Hang);
        };
        for (std::size_t index = 0; index < plan.routers; ++index) {
            Router router;
            router.detector = makeDetector(oracle);
            router.detector->setFloor(0.5);
            router.running.assign(plan.upstreams, 0);
            for (std::size_t upstream = 0; upstream < plan.upstreams; ++upstream) {
                router.detector->setUpstream(std::to_string(upstream), static_cast<double>(plan.slots));
            }
            m_routers.push_back(std::move(router));
        }
    }

    TraceResult run()
    {
        scheduleArrival();
        at(TICK_INTERVAL, [this] { tick(); });
        while (!m_events.empty() && m_events.top().at <= m_plan.end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        finishResult();
        return m_result;
    }

private:
    void at(Millis delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_nextOrder++, std::move(action)});
    }

    std::size_t faultyCount() const
    {
        switch (m_plan.fault) {
        case FaultKind::Quiet:
        case FaultKind::Bursts:
        case FaultKind::SharedSlow:
        case FaultKind::BrownOut:
            return 0;
        case FaultKind::TwoAtOnce:
            return 2;
        default:
            return 1;
        }
    }

    bool isFaulty(std::size_t upstream, Millis when) const
    {
        if (upstream >= faultyCount() || when < m_plan.faultStart || when >= m_plan.faultEnd) {
            return false;
        }
        const double phase = std::fmod((when - m_plan.faultStart).value, FLAP_PERIOD.value);
        return m_plan.fault != FaultKind::Flapping || phase < FLAP_PERIOD.value / 2;
    }

    void scheduleArrival()
    {
        double rate = m_plan.requestsPerSecond;
        if (m_plan.fault == FaultKind::Bursts && std::fmod(m_now.value, BURST_PERIOD.value) < BURST_LENGTH.value) {
            rate *= BURST_FACTOR;
        }
        const double gap = -std::log(1 - m_random.uniform()) * 1000 / rate;
        at(Millis(gap), [this] {
            handleArrival();
            scheduleArrival();
        });
    }

    void handleArrival()
    {
        ++m_result.requests;
        m_result.requestsInFault += isDuringFault() ? 1 : 0;
        const std::uint64_t number = m_nextRequest++;
        CallerRequest &request = m_requests[number];
        request.arrival = m_now;
        request.workClass = m_random.uniform() < SECOND_CLASS_SHARE ? SECOND_CLASS : FIRST_CLASS;
        const std::size_t router = m_random.below(m_plan.routers);
        m_routers[router].budget.onFirstAttempt();
        send(number, router);
    }

    void send(std::uint64_t number, std::size_t routerIndex)
    {
        CallerRequest &request = m_requests[number];
        Router &router = m_routers[routerIndex];
        std::vector<Candidate> candidates(m_plan.upstreams);
        for (std::size_t index = 0; index < m_plan.upstreams; ++index) {
            Candidate &candidate = candidates[index];
            candidate.roundTrip = NETWORK_ROUND_TRIP;
            candidate.serviceTime = m_plan.serviceTime;
            candidate.load = router.running[index];
            candidate.slots = static_cast<double>(m_plan.slots);
            candidate.weight = router.detector->weight(std::to_string(index), request.workClass, m_now);
            candidate.excluded = std::find(request.triedUpstreams.begin(), request.triedUpstreams.end(), index)
                != request.triedUpstreams.end();
        }
        const auto chosen = chooseUpstream(candidates, m_plan.latencyTarget, m_random);
        if (!chosen) {
            m_requests.erase(number);
            return;
        }
        request.triedUpstreams.push_back(*chosen);
        ++request.attempts;
        if (isReturnedByGate(request, router, *chosen)) {
            // The gate returns the request within a round trip, without sending it to the upstream.
            at(NETWORK_ROUND_TRIP, [this, number, routerIndex, chosen] {
                const auto found = m_requests.find(number);
                m_routers[routerIndex].detector->onGateSuspicion(std::to_string(*chosen), found->second.workClass,
                                                                 m_now);
                send(number, routerIndex);
            });
            return;
        }
        auto attempt = std::make_shared<Attempt>();
        attempt->number = m_nextAttempt++;
        attempt->router = routerIndex;
        attempt->upstream = *chosen;
        attempt->request = number;
        router.running[*chosen] += 1;
        router.detector->onStart({attempt->number, std::to_string(*chosen), request.workClass, m_plan.latencyTarget},
                                 m_now);
        Upstream &upstream = m_upstreams[*chosen];
        const bool affected = m_plan.fault != FaultKind::ClassErrors || request.workClass == SECOND_CLASS;
        if (affected && hasActiveFault(*chosen)) {
            upstream.lastSentInFault = m_now;
        }
        upstream.waiting.push_back(attempt);
        startNext(*chosen);
        at(m_plan.latencyTarget * ATTEMPT_TIMEOUT_FACTOR,
           [this, attempt] { finishAttempt(attempt, AttemptResult::TimedOut, Millis()); });
    }

    bool isReturnedByGate(const CallerRequest &request, const Router &router, std::size_t upstream)
    {
        UpstreamFailureDetector *detector = m_upstreams[upstream].detector.get();
        if (!detector) {
            return false;
        }
        const auto peerBaseline =
            router.detector->peerBaseline(std::to_string(upstream), request.workClass, m_plan.latencyTarget, m_now);
        detector->onArrival(request.workClass, peerBaseline, m_now);
        return detector->isSuspect(request.workClass, m_now)
            && !router.detector->mustServe(std::to_string(upstream), request.workClass);
    }

    bool isDuringFault() const
    {
        return m_now >= m_plan.faultStart && m_now < m_plan.faultEnd;
    }

    bool hasActiveFault(std::size_t upstream) const
    {
        return upstream < faultyCount() && isDuringFault();
    }

    void startNext(std::size_t index)
    {
        Upstream &upstream = m_upstreams[index];
        while (upstream.running < m_plan.slots && !upstream.waiting.empty()) {
            const auto attempt = upstream.waiting.front();
            upstream.waiting.pop_front();
            if (attempt->finished) {
                continue;
            }
            ++upstream.running;
            if (upstream.detector) {
                upstream.detector->onStart(attempt->number, m_requests[attempt->request].workClass, m_now);
            }
            const auto [time, failed] = simulateService(*attempt);
            at(time, [this, attempt, index, time = time, failed = failed] {
                --m_upstreams[index].running;
                const AttemptResult result = failed ? AttemptResult::Failed : AttemptResult::Answered;
                if (m_upstreams[index].detector) {
                    m_upstreams[index].detector->onFinish(attempt->number, result, time, m_now);
                }
                finishAttempt(attempt, result, time);
                startNext(index);
            });
        }
    }

    struct ServiceResult {
        Millis time;
        bool failed = false;
    };

    ServiceResult simulateService(const Attempt &attempt)
    {
        // Erlang-2 distributed: a moderate tail, as of a backend server with a cache.
        const double sample = -std::log((1 - m_random.uniform()) * (1 - m_random.uniform())) / 2;
        ServiceResult result{m_plan.serviceTime * sample, false};
        if (isDuringFault() && m_plan.fault == FaultKind::SharedSlow) {
            result.time = result.time * SHARED_SLOW_FACTOR;
        }
        if (isDuringFault() && m_plan.fault == FaultKind::BrownOut) {
            result.failed = m_random.uniform() < BROWN_OUT_ERROR_SHARE;
        }
        if (!isFaulty(attempt.upstream, m_now)) {
            return result;
        }
        const bool secondOfTwo = m_plan.fault == FaultKind::TwoAtOnce && attempt.upstream == 1;
        switch (m_plan.fault) {
        case FaultKind::Slow:
        case FaultKind::Flapping:
        case FaultKind::TwoAtOnce:
            result.time = result.time * (secondOfTwo ? 1 : SLOW_FACTOR);
            result.failed = secondOfTwo;
            break;
        case FaultKind::SlightlySlow:
            result.time = result.time * SLIGHTLY_SLOW_FACTOR;
            break;
        case FaultKind::Errors:
            result.failed = m_random.uniform() < ERROR_SHARE;
            break;
        case FaultKind::FastErrors:
            result = {FAST_ERROR_TIME, true};
            break;
        case FaultKind::ClassErrors:
            result.failed = m_requests[attempt.request].workClass == SECOND_CLASS;
            break;
        case FaultKind::Hang:
            result.time = m_plan.faultEnd - m_now;
            break;
        default:
            break;
        }
        return result;
    }

    void finishAttempt(const std::shared_ptr<Attempt> &attempt, AttemptResult result, Millis serviceTime)
    {
        if (attempt->finished) {
            return;
        }
        attempt->finished = true;
        Router &router = m_routers[attempt->router];
        router.running[attempt->upstream] -= 1;
        const Millis time =
            result == AttemptResult::TimedOut ? m_plan.latencyTarget * ATTEMPT_TIMEOUT_FACTOR : serviceTime;
        router.detector->onFinish(attempt->number, result, time, m_now);
        const auto found = m_requests.find(attempt->request);
        if (found == m_requests.end()) {
            return;
        }
        const CallerRequest &request = found->second;
        const Millis latency = m_now - request.arrival + NETWORK_ROUND_TRIP;
        if (result == AttemptResult::Answered) {
            m_result.good += latency <= m_plan.latencyTarget ? 1 : 0;
            m_requests.erase(found);
            return;
        }
        if (latency < m_plan.deadline && router.budget.tryConsumeRetry()) {
            ++m_result.retries;
            m_result.retriesInFault += isDuringFault() ? 1 : 0;
            send(attempt->request, attempt->router);
            return;
        }
        m_requests.erase(found);
    }

    void tick()
    {
        for (Upstream &upstream : m_upstreams) {
            if (upstream.detector) {
                upstream.detector->tick(m_now);
            }
        }
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            Router &router = m_routers[index];
            for (const HealthChange &change : router.detector->tick(m_now)) {
                if (m_plan.onChange) {
                    m_plan.onChange(m_now, index, change);
                }
                if (change.kind == HealthChangeKind::Ejected && !isExpectedEjection(std::stoul(change.upstream))) {
                    m_result.falseEjections += 1.0 / static_cast<double>(m_plan.routers);
                }
            }
            updateLeastCapacity(router);
        }
        at(TICK_INTERVAL, [this] { tick(); });
    }

    bool isExpectedEjection(std::size_t upstream) const
    {
        return upstream < faultyCount() && m_now >= m_plan.faultStart;
    }

    void updateLeastCapacity(const Router &router)
    {
        for (const char *workClass : {FIRST_CLASS, SECOND_CLASS}) {
            double remaining = 0;
            for (std::size_t index = 0; index < m_plan.upstreams; ++index) {
                remaining += router.detector->weight(std::to_string(index), workClass, m_now) > 0 ? 1 : 0;
            }
            m_result.leastCapacity =
                std::min(m_result.leastCapacity, remaining / static_cast<double>(m_plan.upstreams));
        }
    }

    void finishResult()
    {
        constexpr double MS_PER_HOUR = 3600000;
        for (std::size_t index = 0; index < faultyCount(); ++index) {
            const Millis last = m_upstreams[index].lastSentInFault;
            m_result.detectionMs.push_back(std::max(0.0, (last - m_plan.faultStart).value));
        }
        const auto healthy = static_cast<double>(m_plan.upstreams - faultyCount());
        m_result.healthyHours = healthy * m_plan.end.value / MS_PER_HOUR;
    }

    const TracePlan &m_plan;
    SeededRandom m_random;
    std::vector<Upstream> m_upstreams;
    std::vector<Router> m_routers;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, CallerRequest> m_requests;
    Millis m_now;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextAttempt = 1;
    TraceResult m_result;
};

} // namespace

TraceResult runTrace(const TracePlan &plan, const DetectorFactory &makeDetector)
{
    return Trace(plan, makeDetector).run();
}

} // namespace mustardpond::bench
