/// One request at the gate: admission, the run on the upstream, and its answer.
#pragma once

#include "admission.h"
#include "decision/outcome.h"
#include "framechannel.h"
#include "gatecontext.h"

#include <memory>
#include <optional>

namespace mustardpond {

/// Runs one request. The answer is sent on the channel, in one frame if it is small.
class GateRun
{
public:
    GateRun(GateContext &gate, wire::ProxyRequestT request, FrameChannel &channel);

    /// Throws boost::system::system_error or BadFrame when the channel fails. What became of the request is then
    /// recorded all the same.
    void run(const Yield &yield);
    /// Runs a request whose slot has been granted; the caller holds the slot.
    void runReserved(Millis grantedAt, const Yield &yield);

private:
    bool resolveFromLedger(const Yield &yield);
    bool admit(OperationAdmission admission, const Yield &yield);
    AdmissionQuery query() const;
    void checkDigest() const;
    void runOnUpstream(LocalUpstream &upstream, const Yield &yield);
    void execute(LocalUpstream &upstream, const Yield &yield);
    std::unique_ptr<UpstreamExchange> openUpstream(LocalUpstream &upstream, bool fresh, const Yield &yield);
    void exchange(LocalUpstream &upstream, std::uint64_t number, const Yield &yield);
    bool exchangeUnlessSilent(const Yield &yield);
    void exchangeOnce(UpstreamExchange &exchange, const Yield &yield);
    /// Closes the connection if no answer has begun and the budget allows another try. Tells whether it did.
    bool giveUpIfSilent();
    Millis silenceLimit() const;
    bool mayMove() const;
    void sendRequest(UpstreamExchange &exchange, const Yield &yield);
    void relayUpload(UpstreamExchange &exchange, const Yield &yield);
    void receiveAnswer(UpstreamExchange &exchange, const Yield &yield);
    AnswerClassification receiveOwnHead(UpstreamExchange &exchange, const Yield &yield);
    void answerDisowned(UpstreamExchange &exchange, const AnswerClassification &verdict, const Yield &yield);
    void relayAnswer(UpstreamExchange &exchange, wire::AnswerT answer, std::string body, const Yield &yield);
    void noteUnreachable();
    void noteTrust(std::uint64_t number, AttemptResult result, bool broken);
    void loseOperation();
    void recordFailure(const Endpoint &address, const std::string &cause, const Yield &yield);

    void answerNotRun(NotRunReason reason, const std::string &detail, const Yield &yield);
    void answerUnknown(const std::string &detail, const Yield &yield);
    void answerRecorded(const RecordedAnswer &recorded, const Yield &yield);
    void finish(wire::AnswerT answer, const Yield &yield);
    wire::AnswerT newAnswer(Outcome outcome) const;

    bool isOperation() const
    {
        return m_operation.has_value();
    }
    bool isIrreversible() const
    {
        return m_request.kind == wire::WorkKind::Irreversible;
    }
    OperationBinding binding() const;
    Millis remaining() const;
    /// Time left for the exchange with the upstream. Throws boost::system::system_error when there is none.
    Millis patience() const;
    void watchCaller(const std::shared_ptr<UpstreamExchange> &exchange);

    GateContext &m_gate;
    wire::ProxyRequestT m_request;
    FrameChannel &m_channel;
    std::optional<OperationId> m_operation;
    std::shared_ptr<UpstreamExchange> m_exchange;
    http::request<http::buffer_body> m_upstreamRequest;
    std::uint64_t m_fingerprint;
    Millis m_deadline;
    Millis m_arrivedAt;
    Millis m_startedAt;
    bool m_headReceived = false;
    bool m_broken = false; ///< the connection broke, or what came is no answer
    bool m_connectionLost = false; ///< the exchange failed, and not by a timeout
    AttemptResult m_result = AttemptResult::Unjudged;
    std::string m_servedBy;
    std::optional<RunningMark> m_runningMark; ///< while the upstream has the request
};

} // namespace mustardpond
