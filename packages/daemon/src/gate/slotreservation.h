/// A slot reservation: a router asks for a slot of the upstream, before it sends the request itself.
#pragma once

#include "admission.h"
#include "framechannel.h"

#include <memory>

namespace mustardpond {

/// Grants a slot at once, later, or not at all. A router that closes its connection withdraws, without any effect.
class SlotReservation
{
public:
    SlotReservation(GateContext &gate, const wire::ReserveT &reserve, FrameChannel &channel);

    /// Takes a slot and tells the router. Null when there is none, which the router has been told.
    /// Throws boost::system::system_error when the channel fails; no slot is held then.
    std::unique_ptr<SlotGuard> obtain(const Yield &yield);
    /// When the slot was granted, on the gate's clock.
    Millis grantedAt() const
    {
        return m_grantedAt;
    }

private:
    std::unique_ptr<SlotGuard> waitForSlot(const LocalUpstream &upstream, const Yield &yield);
    SlotPriority turnOrder() const;
    SlotResult takeTurn(const std::shared_ptr<SlotQueue> &queue, const Yield &yield);
    void sendTurn(wire::TurnState state, const Yield &yield);
    void deny(const Denial &denial, const Yield &yield);

    GateContext &m_gate;
    const wire::ReserveT &m_reserve;
    FrameChannel &m_channel;
    AdmissionQuery m_query;
    Millis m_deadline;
    Millis m_grantedAt;
    bool m_withdrawn = false; ///< the router has closed the channel, or sent what it must not
};

} // namespace mustardpond
