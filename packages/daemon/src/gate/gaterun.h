/// One request at the gate: its admission, its run on the upstream, and its answer.
#pragma once

#include "admission.h"
#include "answerrelay.h"
#include "bytecharge.h"
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

    /// Throws boost::system::system_error or BadFrame when the channel fails. The outcome of the request is recorded
    /// in that case, too.
    void run(const Yield &yield);
    /// Runs a request whose slot has been granted. The calling code holds the slot.
    void runReserved(Millis grantedAt, const Yield &yield);
    /// Passes the place of a streamed body, which is returned once the body has arrived.
    void setStreamedPlace(std::unique_ptr<StreamedSlots::Place> place)
    {
        m_streamedPlace = std::move(place);
    }

private:
    /// Answers an operation that must not run. Returns whether it did.
    bool answerFromLedger(const Yield &yield);
    /// Returns whether the operation may run. Otherwise it has been answered.
    bool admit(OperationAdmission admission, const Yield &yield);
    AdmissionQuery query() const;
    void checkDigest() const;
    void runOnUpstream(LocalUpstream &upstream, const Yield &yield);
    void execute(LocalUpstream &upstream, const Yield &yield);
    std::unique_ptr<UpstreamExchange> openUpstream(LocalUpstream &upstream, bool forceNew, const Yield &yield);
    void exchange(LocalUpstream &upstream, std::uint64_t number, const Yield &yield);
    /// Returns false if the connection went silent and was closed for a retry.
    bool exchangeUnlessSilent(const Yield &yield);
    void exchangeOnce(UpstreamExchange &exchange, const Yield &yield);
    /// Closes the connection if no answer has begun and the budget allows another attempt. Returns whether it did.
    bool closeIfSilent();
    Millis silenceTimeout() const;
    bool mayRetryIfSilent() const;
    void sendRequest(UpstreamExchange &exchange, const Yield &yield);
    /// Sends the body on as it arrives. Ends early if the upstream resets the connection, also while the caller pauses.
    void relayUpload(UpstreamExchange &exchange, const Yield &yield);
    /// Returns nothing if the upstream has reset the connection meanwhile.
    std::optional<wire::BodyChunkT> receiveChunk(const bool &reset, const Yield &yield);
    void receiveAnswer(UpstreamExchange &exchange, const Yield &yield);
    /// Receives heads until one does not belong to another request.
    AnswerClassification receiveHead(UpstreamExchange &exchange, const Yield &yield);
    void handleUnusableAnswer(UpstreamExchange &exchange, const AnswerClassification &classification,
                              const Yield &yield);
    void relayAnswer(UpstreamExchange &exchange, wire::AnswerT answer, std::string body, const Yield &yield);
    void recordUnreachable();
    void updateTrust(std::uint64_t number, AttemptResult result, bool broken);
    void markOperationLost();
    void handleExchangeFailure(const Endpoint &address, const std::string &cause, const Yield &yield);

    void answerNotRun(NotRunReason reason, const std::string &detail, const Yield &yield);
    void answerUnknown(const std::string &detail, const Yield &yield);
    void answerRecorded(const RecordedAnswer &recorded, const Yield &yield);
    void sendAnswer(wire::AnswerT answer, const Yield &yield);
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
    /// Returns the time left for the exchange with the upstream. Throws boost::system::system_error if there is none.
    Millis exchangeTimeout() const;
    /// Returns the time that the run has taken, without the waits for a caller that reads slowly.
    Millis serviceTime() const;
    /// Cancels the exchange if the router closes the connection.
    void cancelOnDisconnect(const std::shared_ptr<UpstreamExchange> &exchange);

    GateContext &m_gate;
    wire::ProxyRequestT m_request;
    FrameChannel &m_channel;
    ByteCharge m_bytes;
    std::unique_ptr<StreamedSlots::Place> m_streamedPlace; ///< while a streamed body is still arriving
    std::uint64_t m_runNumber = 0;
    std::optional<OperationId> m_operation;
    std::shared_ptr<UpstreamExchange> m_exchange;
    http::request<http::buffer_body> m_upstreamRequest;
    std::uint64_t m_fingerprint;
    Millis m_deadline;
    Millis m_arrivedAt;
    Millis m_startedAt;
    bool m_headReceived = false;
    bool m_broken = false; ///< the connection broke, or the answer was invalid
    bool m_connectionLost = false; ///< the exchange failed with another error than a timeout
    AttemptResult m_result = AttemptResult::Unjudged;
    std::string m_servedBy;
    std::optional<AnswerRelay> m_relay; ///< of a streamed answer
    UpstreamStart m_upstreamStart; ///< that runs the request
    RunningRequests::Handle m_running; ///< while the upstream has the request
};

} // namespace mustardpond
