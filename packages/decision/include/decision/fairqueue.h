/// Start-time fair queueing over flows. It answers this load: one organisation sends a multiple of its usual rate, and
/// an upstream's queue fills with its requests. In order of deadline all others would wait behind them; here each flow
/// is served by its weight, and what a flow does not use goes to the others.
///
/// Each flow has a virtual start time, which is the finish time of its request served last, but not before the queue's
/// virtual time at which it began to wait. The flow with the lowest start time is next, and a served request moves its
/// flow's finish time by cost divided by weight. The queue's virtual time is the start time of the request served last.
/// There is no credit for flows that have used less than their share: with 16 requests of credit, the others got 0.9992
/// instead of 0.9981 of their requests served beside an organisation at 7 times its rate, but 0.9979 instead of 0.9998
/// beside one at its usual rate.
#pragma once

#include "foundation/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// A request's claim on a share of the slots.
struct FairShare {
    std::string flow; ///< requests of the same flow share its weight; empty for those without an organisation
    double weight = 0; ///< share relative to other flows; 0 for the mean weight of the others
    double cost = 0; ///< typical time that the request holds a slot, in milliseconds; 0 if unknown
};

struct FairRequest {
    int rank = 0;
    Millis deadline;
    std::uint64_t ticket = 0;
    FairShare share;
};

/// Order among the requests of one flow.
bool operator<(const FairRequest &one, const FairRequest &other);

/// What a flow has waiting and has been granted, for monitoring.
struct FlowUse {
    std::string flow;
    double weight = 0;
    std::size_t waiting = 0;
    std::uint64_t granted = 0; ///< while it had requests waiting, with the older ones counted less
};

/// Waiting requests of several flows. With a single flow, the order is that of rank, then deadline, then ticket.
/// Not thread-safe. Memory is bounded by the number of waiting requests and MAX_IDLE_FLOWS.
class FairQueue
{
public:
    /// Flows that are remembered without a waiting request. Beyond it, those that have used least are forgotten.
    static constexpr std::size_t MAX_IDLE_FLOWS = 1024;

    void push(FairRequest request);
    /// Returns the next request, or null if none is waiting.
    const FairRequest *front() const;
    /// Removes the next request and charges its flow. There must be one.
    void pop();
    /// Removes a request without a charge. Returns false when it is not waiting.
    bool remove(std::uint64_t ticket);
    /// Charges a flow for a request that is served without waiting.
    void charge(const FairShare &share);
    /// Forgets what flows without waiting requests have used. To be called when nothing runs or waits any more.
    void forgetIdleFlows();

    /// Returns how many waiting requests are expected to be served before a new one. That is at least the number that
    /// goes before it now; for a flow that has waiting requests it also follows from the part of the grants that the
    /// flow has received since it began to wait.
    double expectedAhead(const FairRequest &request) const;

    /// Returns the waiting request of another flow that would be served last, if that is after a new one.
    std::optional<std::uint64_t> lastBehind(const FairRequest &request) const;

    std::size_t size() const
    {
        return m_size;
    }
    std::size_t idleFlows() const
    {
        return m_idle.size();
    }
    /// Returns the flows that have waiting requests.
    std::vector<FlowUse> waitingFlows() const;

private:
    struct Flow {
        double start = 0; ///< virtual start time of the first waiting request
        double weight = 0; ///< as its newest request claims it; 0 for the mean of the others
        double granted = 0; ///< grants to this flow, and all grants, since it began to wait
        double allGranted = 0;
        std::set<FairRequest> waiting;
    };
    struct IdleFlow {
        double finish = 0;
        double weight = 0;
    };
    using Flows = std::map<std::string, Flow>;

    Flows::const_iterator nextFlow() const;
    /// Returns the virtual start time that a request of the flow has behind those before it.
    double tagOf(const Flow &flow, const FairRequest &request) const;
    /// Returns the weight to calculate with.
    double effectiveWeight(double weight) const;
    double virtualCost(const FairShare &share, double weight) const;
    /// Returns the virtual start time of a flow that has no waiting request.
    double startOf(const FairShare &share) const;
    void setVirtualTime(double time);
    void remember(const std::string &flow, IdleFlow idle);
    void forget(const std::string &flow);
    void countGrant(const std::string &flow);
    void addWeight(double weight);
    void removeWeight(double weight);

    Flows m_flows; ///< with waiting requests
    std::map<std::string, IdleFlow> m_idle; ///< without waiting requests, whose finish time is not yet past
    std::set<std::pair<double, std::string>> m_idleByFinish;
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    double m_weightSum = 0; ///< of all flows whose weight is known
    std::size_t m_knownWeights = 0;
};

} // namespace mustardpond
