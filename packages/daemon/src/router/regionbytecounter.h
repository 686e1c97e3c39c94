/// Counts the bytes of an exchange between two regions, whether it succeeds or not.
#pragma once

#include "framechannel.h"
#include "metrics.h"

#include <string>

namespace mustardpond {

/// Adds the bytes that a channel carries during the lifetime of the counter to the metrics of an organisation.
class RegionByteCounter
{
public:
    /// @param crosses whether the channel leads to another region; nothing is counted otherwise
    RegionByteCounter(Metrics &metrics, const std::string &organisation, const FrameChannel &channel, bool crosses)
        : m_metrics(metrics)
        , m_organisation(organisation)
        , m_channel(channel)
        , m_initialBytes(channel.bytes())
        , m_crosses(crosses)
    {
    }
    ~RegionByteCounter()
    {
        if (m_crosses) {
            m_metrics.addRegionBytes(m_organisation, m_channel.bytes() - m_initialBytes);
        }
    }
    RegionByteCounter(const RegionByteCounter &) = delete;
    RegionByteCounter &operator=(const RegionByteCounter &) = delete;

private:
    Metrics &m_metrics;
    const std::string &m_organisation;
    const FrameChannel &m_channel;
    std::uint64_t m_initialBytes;
    bool m_crosses;
};

} // namespace mustardpond
