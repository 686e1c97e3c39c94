/// Sends a streamed answer to a router.
#pragma once

#include "framechannel.h"
#include "gatecontext.h"

#include <string>

namespace mustardpond {

/// One run of an upstream, as its detectors know it.
struct RunRef {
    std::string upstream;
    std::uint64_t number = 0;
};

/// Sends the pieces of an answer and measures how long the router does not take them, since its caller reads slowly.
/// Nothing is read from the upstream meanwhile (back pressure), so the upstream's detectors must not count this time.
class AnswerRelay
{
public:
    AnswerRelay(GateContext &gate, RunRef run, FrameChannel &channel)
        : m_gate(gate)
        , m_run(std::move(run))
        , m_channel(channel)
    {
    }

    /// Throws boost::system::system_error when the router does not take the piece in time.
    void send(const std::string &piece, Millis timeout, const Yield &yield);
    /// Whether a failure of the exchange says nothing about the upstream: the router could not be sent a piece, or read
    /// so slowly that the upstream may have given up.
    bool isReaderAtFault() const
    {
        return m_sendFailed || m_longestWait >= READER_STALL;
    }
    /// Total time for which the router was waited for.
    Millis waited() const
    {
        return m_waited;
    }

private:
    static constexpr Millis READER_STALL{500}; ///< far above the transit of one piece over a slow link

    GateContext &m_gate;
    RunRef m_run;
    FrameChannel &m_channel;
    Millis m_waited;
    Millis m_longestWait;
    bool m_sendFailed = false;
};

} // namespace mustardpond
