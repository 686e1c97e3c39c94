/// Counters and latency histograms of one daemon.
#pragma once

#include "decision/outcome.h"
#include "foundation/clock.h"
#include "limitreport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace mustardpond {

/// A finished request, as it enters the metrics.
struct RequestSample {
    std::string service;
    std::string workClass;
    Outcome outcome = Outcome::Ran;
    Millis latency; ///< from the caller's last byte to the answer's first
    Millis upstreamTime; ///< the part of the latency spent in the upstream
};

/// Not thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void addRequest(const RequestSample &sample);
    void addRetry(const std::string &service)
    {
        ++m_retries[service];
    }
    void addHandOver(const std::string &service)
    {
        ++m_handOvers[service];
    }
    /// Counts a request that is refused for its key.
    void addUnauthenticated(const std::string &cause)
    {
        ++m_unauthenticated[cause];
    }
    /// Counts a request or connection that a limit has cost a caller.
    void addLimit(LimitCause cause)
    {
        ++m_limits[std::string(nameOf(LIMIT_CAUSE_NAMES, cause))];
    }
    /// Counts bytes sent between regions on behalf of an organisation.
    void addRegionBytes(const std::string &organisation, std::uint64_t bytes)
    {
        m_regionBytes[organisation] += bytes;
    }

    /// Returns all metrics in the Prometheus text format.
    std::string exposition() const;

private:
    struct Histograms;
    std::unique_ptr<Histograms> m_histograms;
    std::map<std::string, std::uint64_t> m_retries;
    std::map<std::string, std::uint64_t> m_handOvers;
    std::map<std::string, std::uint64_t> m_unauthenticated; ///< by cause
    std::map<std::string, std::uint64_t> m_regionBytes;
    std::map<std::string, std::uint64_t> m_limits;
};

} // namespace mustardpond
