/// Tells a gate that was started anew which requests of this router its upstream may still run.
#pragma once

#include "fleetview.h"
#include "gatepool.h"
#include "sentruns.h"

#include <map>
#include <memory>
#include <string>

namespace mustardpond {

/// A process knows only the requests that it has received itself. Calls that upstreams make for the others would be
/// refused, as they bear no key. Not thread-safe.
class RunReporter
{
public:
    RunReporter(asio::io_context &context, const Clock &clock, GatePool &pool, std::uint64_t &lastRequestNumber);

    SentRuns &runs()
    {
        return m_runs;
    }
    /// To be called when a connection to a gate has failed while a request was in progress on it. The gate is told as
    /// soon as it accepts connections again.
    void onConnectionLost(const std::string &gate);
    /// Finds gates of which a new process has joined the fleet.
    void update(const FleetView &view);

private:
    /// A gate that is told, or has been told and is watched for a further start.
    struct Report {
        FrameChannel *channel = nullptr; ///< set while there is a connection
        Incarnation told; ///< process that has confirmed the last report; zero before
    };

    void start(const std::string &gate);
    void run(const std::string &gate, const Yield &yield);
    /// Sends the runs that other processes of the gate have received. Returns the process that has confirmed them.
    Incarnation send(const std::string &gate, FrameChannel &channel, const Yield &yield);
    wire::RunReportT message(const RunPlace &place, const SentRuns::Runs &runs) const;
    /// Waits until the connection ends or the gate has no more runs to be told.
    void watch(const std::string &gate, FrameChannel &channel, const Yield &yield);
    /// Whether other processes of the gate than this one have received requests that may still run.
    bool hasRunsOfOthers(const std::string &gate, const Incarnation &incarnation) const;
    void pause(Millis time, const Yield &yield);

    asio::io_context &m_context;
    const Clock &m_clock;
    GatePool &m_pool;
    std::uint64_t &m_lastRequestNumber;
    SentRuns m_runs;
    std::map<std::string, Report> m_reports; ///< by the gate's inner address
};

} // namespace mustardpond
