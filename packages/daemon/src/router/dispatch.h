/// One request's way from the router to an answer: choice of upstream, attempts, retries, the caller's deadline.
#pragma once

#include "bodysource.h"
#include "decision/outcome.h"
#include "decision/quarantine.h"
#include "gatepool.h"
#include "metrics.h"
#include "routingtable.h"

#include "foundation/clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// A classified request of a caller.
struct CallerRequest {
    std::string service;
    WorkClass workClass;
    std::string organisation;
    std::string operation; ///< empty when the caller opened none
    std::string id; ///< as the caller named the request; empty when it did not
    bool inner = false; ///< an upstream's own call, which another request waits for
    std::string method;
    std::string target;
    std::vector<std::unique_ptr<wire::HeaderT>> headers;
    std::vector<std::uint8_t> body; ///< the whole body, or its start if there is a source
    BodySource *source = nullptr; ///< where the rest of a streamed body comes from
    std::uint64_t bodyBytes = 0; ///< announced length of a streamed body; 0 when unknown
    Millis deadline; ///< on the router's clock
    std::uint64_t fingerprint = 0;
};

/// The answer, and how it came about.
struct DispatchResult {
    wire::AnswerT answer;
    std::unique_ptr<FrameChannel> channel; ///< where the rest of a streamed answer comes from
    std::string upstream;
    bool retried = false;
    Distance distance = Distance::SameDataCentre; ///< of the upstream that answered
    bool held = false;
    int asked = 0; ///< gates that were asked
    bool timedOut = false; ///< the time for the answer has run out
    Millis retryAfter; ///< when a request that has not run may come again
};

/// What attempts share.
struct DispatchContext {
    asio::io_context &context;
    const Clock &clock;
    RoutingTable &table;
    GatePool &pool;
    Metrics &metrics;
    std::uint64_t &nextRequest;
    RefusalPolicy refusal = RefusalPolicy::Director;
    /// When the router has to be done with all requests, on its clock.
    std::optional<Millis> stopAt;
    bool isStopping() const
    {
        return stopAt.has_value();
    }
    bool movesSlow = false; ///< idempotent requests are moved when their upstream is much slower than usual
    /// Quarantine status of requests by their fingerprint; null without a gate in the process.
    std::function<QuarantineStatus(std::uint64_t)> quarantineStatus;
    /// Whether the upstream beside the router is running the request of that id; null without a gate in the process.
    std::function<bool(const std::string &)> runsHere;
};

class Dispatch
{
public:
    Dispatch(DispatchContext &shared, CallerRequest &request)
        : m_shared(shared)
        , m_request(request)
        , m_startedAt(shared.clock.now())
    {
    }

    /// Always comes to an answer by the caller's deadline; "not run" only where a gate or the lack of any
    /// attempt proves it.
    DispatchResult run(const Yield &yield);
    /// The caller has left: gives up what may be given up. To be called while run() waits.
    void leave();
    /// The router stops: ends a wait for a slot, and the wait for an answer. To be called while run() waits.
    void abortPending();
    bool hasLeft() const
    {
        return m_left;
    }

private:
    /// What is known after one attempt.
    struct Attempt {
        wire::AnswerT answer;
        bool reached = false; ///< bytes of the request were handed to the gate
        bool failed = false; ///< no answer came
        bool reserved = false; ///< a gate granted a slot
        bool abandoned = false; ///< moved to another upstream for want of an answer
        std::string cause; ///< of the failure
        bool silent = false; ///< no answer began on a reused connection, which was given up
    };

    void runFreely(const Yield &yield);
    const UpstreamRef *chooseUpstream();
    /// Starts the next round when all upstreams have been asked. True when the request is settled instead.
    bool endRound(const Yield &yield);
    bool isHopeless() const;
    /// How long the request may wait for a slot, from now on.
    Millis waitingTime() const;
    /// Whether upstreams that their gates do not trust have to take the request.
    bool mustServe() const;
    void refuse(const std::string &detail);
    /// Whether a gate of this round would take the request, but for its slots.
    bool sawBusy() const
    {
        return m_leastWait >= Millis();
    }
    bool hasStopped() const;
    /// Whether nothing more may be tried.
    bool isOver() const;
    void settleFailed(const Attempt &attempt);
    void settleStopped();
    void interrupt();
    bool reserveSlot(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield);
    std::unique_ptr<FrameChannel> openReserved(const UpstreamRef &ref, Attempt &attempt, const Yield &yield);
    wire::ReserveT reservation(const UpstreamRef &ref, std::uint64_t number) const;
    void noteDenial(const wire::AnswerT &denial);
    Millis abandonAfter(const UpstreamRef &ref) const;
    void runOperation(const Yield &yield);
    bool settle(Attempt attempt, const UpstreamRef &ref);
    void logMove(const Attempt &attempt, const UpstreamRef &ref) const;
    Attempt attemptAt(const UpstreamRef &ref, bool freshChannel, const Yield &yield);
    Attempt attemptOnce(const UpstreamRef &ref, bool freshChannel, const Yield &yield);
    wire::AnswerT receiveAnswer(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield);
    bool mayMove(const FrameChannel &channel, const Attempt &attempt) const;
    void exchange(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield);
    void sendStream(FrameChannel &channel, std::uint64_t number, Attempt &attempt, const Yield &yield);
    void noteFinish(const UpstreamRef &ref, const AttemptStart &start, const Attempt &attempt, Millis startedAt);
    void closeOperation(const std::string &gate, const Yield &yield);
    bool isSuspect() const;
    bool mayRetry(const Attempt &attempt);
    /// Whether a request that an upstream has turned away may be sent to another. Settles it otherwise.
    bool mayMoveOn();
    bool needsRetry(const Attempt &attempt) const;
    wire::ProxyRequestT message(const UpstreamRef &ref, std::uint64_t number) const;
    void pause(Millis time, const Yield &yield);
    void settleNotRun(NotRunReason reason, const std::string &detail);
    void settleUnknown(const std::string &detail);
    Millis remaining() const;
    Millis attemptTimeout() const;

    DispatchContext &m_shared;
    CallerRequest &m_request;
    DispatchResult m_result;
    std::set<std::string> m_tried; ///< in this round
    std::set<std::string> m_sentTo; ///< the request itself was sent there
    int m_round = 0;
    int m_remoteAsks = 0;
    Millis m_leastWait{-1}; ///< as the gates of this round estimate it; negative when none has said
    bool m_left = false;
    Millis m_startedAt;
    FrameChannel *m_current = nullptr; ///< where an exchange is going on
    asio::steady_timer *m_pausing = nullptr;
    bool m_maybeRan = false; ///< some attempt has no proof that it did not run
    bool m_bodyConsumed = false;
};

} // namespace mustardpond
