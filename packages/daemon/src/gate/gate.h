/// The gate, through which every request reaches the upstreams of this host.
#pragma once

#include "gatecontext.h"
#include "gaterun.h"
#include "net/listener.h"
#include "quotalender.h"

#include "foundation/kernel.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Serves other daemons on the inner address.
class Gate : public Service
{
public:
    /// Receives gossip from other daemons.
    using GossipHandler = std::function<void(std::shared_ptr<const wire::GossipT>)>;

    Gate(asio::io_context &context, const Clock &clock, Incarnation incarnation, const DaemonSettings &settings,
         std::shared_ptr<const UpstreamDialect> dialect);

    void onGossip(GossipHandler handler)
    {
        m_onGossip = std::move(handler);
    }
    /// Serves messages of quotas, which are rejected without a lender.
    void setQuotaLender(std::shared_ptr<QuotaLender> lender)
    {
        m_quotaLender = std::move(lender);
    }
    void start() override;
    void stop() override;

    GateContext &context()
    {
        return m_gate;
    }
    /// Rejects new requests from now on; requests in progress continue.
    void leave()
    {
        m_gate.leaving = true;
    }
    /// Whether a request is in progress.
    bool isBusy() const
    {
        return m_gate.pendingRequests > 0;
    }

private:
    void tickDetectors(const Yield &yield);
    void serve(tcp::socket socket, const Yield &yield);
    void serveFrame(FrameChannel &channel, wire::FrameT &frame, const Yield &yield);
    void serveQuotaFrame(FrameChannel &channel, wire::FrameT &frame, const Yield &yield);
    void openOperation(FrameChannel &channel, const wire::OpenOperationT &request, const Yield &yield);
    void closeOperation(FrameChannel &channel, const wire::CloseOperationT &request, const Yield &yield);
    void runRequest(FrameChannel &channel, wire::ProxyRequestT request, const Yield &yield);
    void reserveSlot(FrameChannel &channel, const wire::ReserveT &reserve, const Yield &yield);
    void restoreRuns(FrameChannel &channel, const wire::RunReportT &report, const Yield &yield);

    GateContext m_gate;
    std::shared_ptr<Listener> m_listener;
    GossipHandler m_onGossip;
    std::shared_ptr<QuotaLender> m_quotaLender;
    bool m_stopped = false;
};

} // namespace mustardpond
