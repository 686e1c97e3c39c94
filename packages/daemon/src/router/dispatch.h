/// Handles one request from the router to its answer: choice of upstream, attempts, retries, the caller's deadline.
#pragma once

#include "bodysource.h"
#include "decision/organisation.h"
#include "decision/outcome.h"
#include "decision/quarantine.h"
#include "gatepool.h"
#include "metrics.h"
#include "routingtable.h"
#include "runningrequests.h"
#include "runreporter.h"

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
    std::shared_ptr<const Organisation> authenticated; ///< by its key; null without one
    bool keyRequired = false; ///< whether it is served only with a valid key
    std::string operation; ///< empty when the caller has opened none
    std::string id; ///< request id set by the caller; empty when there is none
    bool inner = false; ///< a call of an upstream on behalf of a request that it is running
    bool mayBeInner = false; ///< without a key, and the request that it names is not known to run or to have ended
    std::string method;
    std::string target;
    std::vector<std::unique_ptr<wire::HeaderT>> headers;
    std::vector<std::uint8_t> body; ///< complete body, or its first bytes if there is a source
    BodySource *source = nullptr; ///< rest of a streamed body; null if the body is complete
    std::uint64_t bodyBytes = 0; ///< announced length of a streamed body; 0 when unknown
    Millis deadline; ///< on the router's clock
    std::uint64_t fingerprint = 0;
};

/// The answer to a request and how it was obtained.
struct DispatchResult {
    wire::AnswerT answer;
    std::unique_ptr<FrameChannel> channel; ///< rest of a streamed answer
    SentRun streamedRun; ///< of a streamed answer, which goes on until the channel has delivered its rest
    std::string upstream;
    bool retried = false;
    Distance distance = Distance::SameDataCentre; ///< of the upstream that answered
    bool held = false; ///< no upstream could take the request at once
    int gatesAsked = 0; ///< number of attempts, each at one gate
    bool timedOut = false; ///< the deadline has passed without an answer
    Millis retryAfter; ///< delay after which the caller may send a request again that has not run
    bool overQuota = false; ///< not run since its organisation is over its limit
};

/// State and settings that all dispatches of a router share.
struct DispatchContext {
    asio::io_context &context;
    const Clock &clock;
    RoutingTable &table;
    GatePool &pool;
    Metrics &metrics;
    std::uint64_t &lastRequestNumber;
    RefusalPolicy refusal = RefusalPolicy::Director;
    /// Time on the router's clock by which all requests must be finished; set during a planned stop.
    std::optional<Millis> stopAt;
    bool isStopping() const
    {
        return stopAt.has_value();
    }
    /// Whether requests that may be repeated are moved when their upstream is much slower than usual.
    bool moveSlowRequests = false;
    /// Returns the quarantine status of a request by its fingerprint; null without a gate in the process.
    std::function<QuarantineStatus(std::uint64_t)> quarantineStatus;
    /// Requests that the router's local upstream runs; null without a gate in the process.
    const RunningRequests *running = nullptr;
    RunReporter *runReporter = nullptr; ///< null in tests
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

    /// Returns an answer by the caller's deadline in all cases. The answer is "not run" only if a gate has confirmed it
    /// or the request was never sent.
    DispatchResult run(const Yield &yield);
    /// Stops the attempts because the caller has closed its connection. To be called while run() waits.
    void leave();
    /// Ends the wait for a slot or an answer because the router stops. To be called while run() waits.
    void abortPending();
    bool hasCallerLeft() const
    {
        return m_callerLeft;
    }

private:
    /// Result of one attempt.
    struct Attempt {
        wire::AnswerT answer;
        bool sent = false; ///< sending the request to the gate has begun
        bool failed = false; ///< no valid answer was received
        bool reserved = false; ///< a gate granted a slot
        bool slow = false; ///< goes on, but has taken so long that a replacement is looked for
        bool withdrawn = false; ///< ended before the request was sent, which says nothing about the gate
        std::string cause; ///< of the failure, as text
        bool bodyCut = false; ///< the gate has answered before the whole body was sent
        bool silent = false; ///< given up because no answer began on a reused connection
    };

    /// An attempt in progress.
    struct Run {
        UpstreamRef ref;
        AttemptStart start;
        Millis startedAt;
        Attempt attempt;
        std::unique_ptr<FrameChannel> channel;
        SentRun sentRun; ///< set when the request has been sent
        bool answerBegins = false; ///< noticed while a replacement was looked for
    };

    void runWithoutOperation(const Yield &yield);
    const UpstreamRef *chooseUpstream();
    /// Starts the next round when all upstreams have been tried. Returns true when the request is refused instead.
    bool endRound(const Yield &yield);
    /// Whether no upstream can be expected to serve the request within its wait limit.
    bool isUnservable() const;
    /// Returns how much longer the request may wait for a slot.
    Millis maxSlotWait() const;
    /// Whether upstreams that their gates do not trust must accept the request.
    bool mustServe() const;
    void refuse(const std::string &detail);
    /// Whether a gate has rejected the request only because its slots were taken.
    bool sawBusyGate() const
    {
        return m_minWaitEstimate >= Millis();
    }
    /// Whether an attempt may have run: for a slow one it is not yet known.
    bool mayHaveRun() const
    {
        return m_maybeRan || m_slowRun;
    }
    bool isPastStopDeadline() const;
    /// Whether the caller has disconnected, or the deadline of the request or of the stop has passed.
    bool isCancelledOrExpired() const;
    void finishFailed(const Attempt &attempt);
    void finishStopped();
    void interrupt();
    /// Returns true when the gate grants a slot; otherwise the attempt holds the gate's answer.
    bool reserveSlot(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield);
    /// Returns a channel on which a slot has been requested.
    std::unique_ptr<FrameChannel> openAndReserve(const UpstreamRef &ref, Attempt &attempt, const Yield &yield);
    wire::ReserveT reservation(const UpstreamRef &ref, std::uint64_t number) const;
    void recordDenial(const wire::AnswerT &denial);
    /// Returns the time after which a replacement for an attempt on a reserved slot is looked for.
    Millis slowTimeout(const UpstreamRef &ref) const;
    void runOperation(const Yield &yield);
    /// Evaluates an attempt. Returns true when the request has its result, false when it is to be tried again.
    bool evaluateAttempt(Attempt attempt, const UpstreamRef &ref);
    void logMove(const Attempt &attempt, const UpstreamRef &ref) const;
    /// Makes an attempt, and repeats it on a new connection when a reused one was silent.
    Attempt attemptAt(const UpstreamRef &ref, bool freshChannel, const Yield &yield);
    Attempt attemptOnce(const UpstreamRef &ref, bool freshChannel, const Yield &yield);
    /// Runs a step of an attempt. A failure is recorded in the attempt, not thrown.
    void runStep(Run &run, const std::function<void()> &step);
    /// Ends the record of the attempt's run, unless the upstream may go on with it.
    void settleSentRun(Run &run);
    /// Reports an attempt that has ended. A slow one is kept in m_slowRun instead.
    Attempt finishRun(Run run);
    void exchange(Run &run, const Yield &yield);
    /// Receives the answer, unless the attempt turns out slow.
    void receiveAnswer(Run &run, const Yield &yield);
    /// Returns false if the time has passed before an answer began.
    bool waitForAnswer(FrameChannel &channel, Millis timeout, const Yield &yield);
    /// Whether the attempt may be given up before its timeout, as its connection may be silent.
    bool mayBeSilent(const FrameChannel &channel) const;
    /// Whether the request may be sent to another upstream while this attempt has no answer.
    bool isReplaceable(const Attempt &attempt) const;
    /// Whether a run for which a replacement is looked for may still be given up.
    bool mayReplace(const Run &run) const;
    /// Whether a replacement for the slow attempt is no longer looked for.
    bool isSearchOver() const
    {
        return m_slowRun && !mayReplace(*m_slowRun);
    }
    /// Gives up the slow attempt, for which a slot at another upstream is reserved. Returns false if it must go on.
    bool replaceSlowRun();
    /// Waits for the slow attempt's answer again.
    Attempt resumeSlowRun(const Yield &yield);
    /// Closes and reports the slow attempt, if there is one.
    void endSlowRun();
    void sendStream(FrameChannel &channel, std::uint64_t number, Attempt &attempt, const Yield &yield);
    /// Reads the next piece of a streamed body. Returns false if the gate answers first.
    bool readPiece(FrameChannel &channel, std::vector<std::uint8_t> &piece, bool &more, const Yield &yield);
    void reportAttempt(const UpstreamRef &ref, const AttemptStart &start, const Attempt &attempt, Millis startedAt);
    void closeOperation(const std::string &gate, const Yield &yield);
    /// Whether the request is suspected of crashing upstreams.
    bool isCrashSuspect() const;
    bool mayRetry(const Attempt &attempt);
    /// Whether a request that an upstream has rejected may be sent to another one. Refuses it otherwise.
    bool mayTryAnotherUpstream();
    bool needsRetry(const Attempt &attempt) const;
    wire::ProxyRequestT message(const UpstreamRef &ref, std::uint64_t number) const;
    void pause(Millis time, const Yield &yield);
    void finishNotRun(NotRunReason reason, const std::string &detail);
    void finishUnknown(const std::string &detail);
    Millis remaining() const;
    Millis attemptTimeout() const;

    DispatchContext &m_shared;
    CallerRequest &m_request;
    DispatchResult m_result;
    std::set<std::string> m_tried; ///< upstreams that are excluded in this round
    std::set<std::string> m_sentTo; ///< upstreams to which the request itself was sent
    int m_round = 0;
    int m_remoteGatesAsked = 0;
    Millis m_minWaitEstimate{-1}; ///< shortest wait that a busy gate has estimated; negative when there is none
    bool m_callerLeft = false;
    Millis m_startedAt;
    FrameChannel *m_currentChannel = nullptr; ///< channel of the exchange in progress
    asio::steady_timer *m_pauseTimer = nullptr; ///< set while pause() waits
    bool m_maybeRan = false; ///< no gate has confirmed for some attempt that it did not run
    bool m_bodyConsumed = false;
    std::unique_ptr<Run> m_slowRun; ///< in progress while a replacement is looked for
};

} // namespace mustardpond
