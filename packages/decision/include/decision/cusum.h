/// A sequential test that tells a failing upstream from its peers.
#pragma once

namespace mustardpond {

/// One-sided CUSUM over good and bad outcomes. The score is a log-likelihood ratio: how much better
/// the outcomes fit a failing upstream than one that fails as often as its peers.
class Cusum
{
public:
    /// @param peerBadShare share of bad outcomes among the other upstreams, in [0, 1]
    void add(bool bad, double peerBadShare);
    double score() const
    {
        return m_score;
    }
    void reset(double score)
    {
        m_score = score;
    }

private:
    double m_score = 0;
};

} // namespace mustardpond
