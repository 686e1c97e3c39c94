#include "gate.h"

#include "bodydigest.h"
#include "scopedcount.h"
#include "slotreservation.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr Millis IDLE_TIMEOUT{120000};
constexpr Millis SEND_TIMEOUT{5000};
constexpr Millis TICK_INTERVAL{20};
constexpr Millis GRANT_TIMEOUT{1000}; ///< routers send the request as soon as a slot is granted

} // namespace

Gate::Gate(asio::io_context &context, const Clock &clock, Incarnation incarnation, const DaemonSettings &settings,
           std::shared_ptr<const UpstreamDialect> dialect)
    : m_gate(context, clock, incarnation, settings, std::move(dialect))
    , m_listener(std::make_shared<Listener>(
          context, settings.inner, [this](tcp::socket socket, const Yield &yield) { serve(std::move(socket), yield); }))
{
}

void Gate::start()
{
    m_listener->start();
    if (m_gate.statistical) {
        asio::spawn(m_gate.context, [this](const Yield &yield) { tickDetectors(yield); });
    }
}

void Gate::tickDetectors(const Yield &yield)
{
    asio::steady_timer timer(m_gate.context);
    while (!m_stopped) {
        timer.expires_after(toDuration(TICK_INTERVAL));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
        for (auto &[upstream, detector] : m_gate.detectors) {
            detector.tick(m_gate.clock.now());
        }
    }
}

void Gate::stop()
{
    m_stopped = true;
    m_listener->stop();
}

void Gate::serve(tcp::socket socket, const Yield &yield)
{
    FrameChannel channel(std::move(socket));
    while (true) {
        wire::FrameT frame = channel.receive(IDLE_TIMEOUT, yield);
        serveFrame(channel, frame, yield);
    }
}

void Gate::serveFrame(FrameChannel &channel, wire::FrameT &frame, const Yield &yield)
{
    switch (frame.body.type) {
    case wire::Body::ProxyRequest:
        return runRequest(channel, std::move(*frame.body.AsProxyRequest()), yield);
    case wire::Body::Reserve:
        return reserveSlot(channel, *frame.body.AsReserve(), yield);
    case wire::Body::OpenOperation:
        return openOperation(channel, *frame.body.AsOpenOperation(), yield);
    case wire::Body::CloseOperation:
        return closeOperation(channel, *frame.body.AsCloseOperation(), yield);
    case wire::Body::RunReport:
        return restoreRuns(channel, *frame.body.AsRunReport(), yield);
    case wire::Body::Gossip:
        if (m_onGossip) {
            m_onGossip(std::make_shared<const wire::GossipT>(std::move(*frame.body.AsGossip())));
        }
        return;
    default:
        serveQuotaFrame(channel, frame, yield);
    }
}

void Gate::serveQuotaFrame(FrameChannel &channel, wire::FrameT &frame, const Yield &yield)
{
    if (!m_quotaLender) {
        rejectFrame(frame);
    }
    if (const auto *request = frame.body.AsQuotaRequest()) {
        channel.send(packMessage(m_quotaLender->lend(*request, yield)), SEND_TIMEOUT, yield);
    } else if (const auto *borrow = frame.body.AsQuotaBorrow()) {
        channel.send(packMessage(m_quotaLender->lendTo(*borrow, yield)), SEND_TIMEOUT, yield);
    } else if (const auto *returned = frame.body.AsQuotaReturn()) {
        m_quotaLender->takeBack(*returned);
    } else {
        rejectFrame(frame);
    }
}

void Gate::runRequest(FrameChannel &channel, wire::ProxyRequestT request, const Yield &yield)
{
    const ScopedCount count(m_gate.pendingRequests);
    GateRun run(m_gate, std::move(request), channel);
    run.run(yield);
}

void Gate::reserveSlot(FrameChannel &channel, const wire::ReserveT &reserve, const Yield &yield)
{
    const ScopedCount count(m_gate.pendingRequests);
    SlotReservation reservation(m_gate, reserve, channel);
    const auto slot = reservation.acquire(yield);
    if (!slot) {
        return;
    }
    wire::FrameT frame = channel.receive(GRANT_TIMEOUT, yield);
    auto *request = frame.body.AsProxyRequest();
    if (!request || request->request != reserve.request) {
        rejectFrame(frame);
    }
    GateRun run(m_gate, std::move(*request), channel);
    run.setStreamedPlace(reservation.takeStreamedPlace());
    run.runReserved(reservation.grantedAt(), yield);
}

void Gate::restoreRuns(FrameChannel &channel, const wire::RunReportT &report, const Yield &yield)
{
    const Incarnation receiver{report.incarnationHigh, report.incarnationLow};
    if (receiver != m_gate.incarnation) { // of its own runs, this process knows more than the sender
        const Millis now = m_gate.clock.now();
        for (const wire::RunStamp &run : report.runs) {
            m_gate.runningRequests.restore({report.upstream, report.born}, {run.idHigh(), run.idLow()},
                                           now + Millis(run.leftMs()));
        }
        logEvent(Event::RunsRestored, {{"upstream", report.upstream}, {"runs", report.runs.size()}});
    }
    wire::RunReportReplyT reply;
    reply.request = report.request;
    reply.incarnationHigh = m_gate.incarnation.high;
    reply.incarnationLow = m_gate.incarnation.low;
    channel.send(packMessage(reply), SEND_TIMEOUT, yield);
}

void Gate::openOperation(FrameChannel &channel, const wire::OpenOperationT &request, const Yield &yield)
{
    wire::OperationOpenedT reply;
    reply.request = request.request;
    const LocalUpstream *upstream = m_gate.leaving ? nullptr : m_gate.registry.leastLoaded(request.service);
    const Millis now = m_gate.clock.now();
    const bool usable =
        upstream && (request.mustServe || !m_gate.detectorOf(upstream->announced.id).isSuspect(request.workClass, now));
    if (usable) {
        const auto id = m_gate.ledger.open(request.service, request.organisation, now);
        reply.operation = id ? toString(*id) : std::string();
    }
    channel.send(packMessage(std::move(reply)), SEND_TIMEOUT, yield);
}

void Gate::closeOperation(FrameChannel &channel, const wire::CloseOperationT &request, const Yield &yield)
{
    wire::AnswerT reply;
    reply.request = request.request;
    reply.digest = bodyDigest(reply.body);
    reply.outcome = wire::Outcome::Unknown;
    const auto id = parseOperationId(request.operation);
    const auto state = id ? m_gate.ledger.close(*id, request.organisation, m_gate.clock.now()) : std::nullopt;
    if (state == OperationState::Closed) {
        reply.outcome = wire::Outcome::NotRun;
        reply.reason = wire::NotRunReason::Closed;
    }
    channel.send(packMessage(std::move(reply)), SEND_TIMEOUT, yield);
}

} // namespace mustardpond
