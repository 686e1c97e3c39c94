/// Sequential test that distinguishes a failing upstream from its peers.
#pragma once

namespace mustardpond {

/// One-sided CUSUM over good and bad outcomes. The score is a log-likelihood ratio: how much better
/// the outcomes fit a failing upstream than one that fails as often as its peers. The outcomes since the score was
/// last zero are kept as counts, so that a delayed update of the peers' share applies to all of them. A falling peer
/// share takes effect slowly, because older outcomes may stem from a shared cause.
class Cusum
{
public:
    /// @param peerBadShare share of bad outcomes among the other upstreams, in [0, 1]
    void add(bool bad, double peerBadShare);
    double score(double peerBadShare) const;
    bool hasBadOutcome() const
    {
        return m_bad > 0;
    }
    void clear();

private:
    double m_bad = 0;
    double m_good = 0;
    double m_peakPeerBadShare = 0; ///< peak of the peers' share, decaying per outcome
};

} // namespace mustardpond
