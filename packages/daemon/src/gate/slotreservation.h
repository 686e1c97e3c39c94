/// Slot reservation: a router requests a slot of the upstream before it sends the request itself.
#pragma once

#include "admission.h"
#include "framechannel.h"

#include <memory>

namespace mustardpond {

/// Grants a slot immediately, after a wait, or not at all. A router withdraws its reservation by closing the
/// connection, which has no other effect.
class SlotReservation
{
public:
    SlotReservation(GateContext &gate, const wire::ReserveT &reserve, FrameChannel &channel);

    /// Acquires a slot and notifies the router. Returns null if there is none; the router has been notified of that,
    /// too. Throws boost::system::system_error when the channel fails; no slot is held then.
    std::unique_ptr<SlotGuard> acquire(const Yield &yield);
    /// Returns the place of a streamed body among those that still arrive; null for other requests. To be called when
    /// the slot has been granted.
    std::unique_ptr<StreamedSlots::Place> takeStreamedPlace()
    {
        return std::move(m_streamedPlace);
    }
    /// When the slot was granted, on the gate's clock.
    Millis grantedAt() const
    {
        return m_grantedAt;
    }

private:
    std::unique_ptr<SlotGuard> waitForSlot(const LocalUpstream &upstream, const Yield &yield);
    /// Waits until the upstream may receive another streamed body. Returns false if it may not, or not in time; the
    /// router has been notified then.
    bool waitForStreamedPlace(const LocalUpstream &upstream, const Yield &yield);
    SlotPriority slotPriority() const;
    SlotResult requestSlot(const std::shared_ptr<SlotQueue> &queue, const Yield &yield);
    void sendState(wire::TurnState state, const Yield &yield);
    void deny(const Denial &denial, const Yield &yield);

    GateContext &m_gate;
    const wire::ReserveT &m_reserve;
    FrameChannel &m_channel;
    AdmissionQuery m_query;
    std::unique_ptr<StreamedSlots::Place> m_streamedPlace;
    Millis m_deadline;
    Millis m_grantedAt;
    bool m_withdrawn = false; ///< the router closed the channel, or sent data while it had to wait
};

} // namespace mustardpond
