/// Counts what an exchange carries between two regions, whether it succeeds or not.
#pragma once

#include "framechannel.h"
#include "metrics.h"

#include <string>

namespace mustardpond {

/// Adds the bytes that a channel carries during the counter's life to those of an organisation.
class RegionBytes
{
public:
    /// @param crosses whether the channel leads to another region; nothing is counted otherwise
    RegionBytes(Metrics &metrics, const std::string &organisation, const FrameChannel &channel, bool crosses)
        : m_metrics(metrics)
        , m_organisation(organisation)
        , m_channel(channel)
        , m_before(channel.bytes())
        , m_crosses(crosses)
    {
    }
    ~RegionBytes()
    {
        if (m_crosses) {
            m_metrics.addRegionBytes(m_organisation, m_channel.bytes() - m_before);
        }
    }
    RegionBytes(const RegionBytes &) = delete;
    RegionBytes &operator=(const RegionBytes &) = delete;

private:
    Metrics &m_metrics;
    const std::string &m_organisation;
    const FrameChannel &m_channel;
    std::uint64_t m_before;
    bool m_crosses;
};

} // namespace mustardpond
