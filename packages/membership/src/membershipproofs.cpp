/// The part of Membership that asks other members whether the configuration is the newest, and checks on those that
/// read the platform's store.
#include "membership/membership.h"

#include <algorithm>
#include <iterator>

namespace mustardpond {

namespace {

constexpr unsigned PROOF_PEER_KINDS = 3;

} // namespace

void Membership::useProofs(Millis maxAge)
{
    m_proofs.emplace(maxAge, m_random.uniform());
    // An answer to an earlier process at this address must not be taken for an answer to this one: it would date the
    // proof too late. So the numbers of pings do not start at the same value again.
    m_nextProbeNumber = m_random.next();
}

void Membership::askForProof(Millis now, std::vector<OutgoingGossip> &out)
{
    const auto kind = m_proofs ? m_proofs->takeQuestion(now) : std::nullopt;
    const std::string key = kind ? proofTarget(*kind) : std::string();
    if (key.empty()) {
        return;
    }
    const std::uint64_t number = m_nextProbeNumber++;
    const Member &target = m_members[key].member;
    wire::GossipT message = newPing(number, key);
    if (target.dataCentre != m_self.dataCentre && !m_proofs->freshness().isMissingVersion()) {
        message.newestObject = message.newestEdition = message.newestEra =
            0; // objects come from the data centre, not over paid links
    }
    m_proofs->onAsked(number, key, now);
    out.push_back({target.inner, std::move(message)});
}

void Membership::checkWatchers(Millis now, std::vector<OutgoingGossip> &out)
{
    for (const std::string &key : m_watcherMonitor.takeDue(now)) {
        const auto target = m_members.find(key);
        if (target != m_members.end()) {
            const std::uint64_t number = m_nextProbeNumber++;
            m_watcherMonitor.onAsked(number, key, now);
            out.push_back({target->second.member.inner, newPing(number, key)});
        }
    }
}

std::string Membership::proofTarget(ProofPeer kind)
{
    for (unsigned step = 0; step < PROOF_PEER_KINDS; ++step) {
        const auto next = static_cast<ProofPeer>((static_cast<unsigned>(kind) + step) % PROOF_PEER_KINDS);
        const auto pool = proofPeers(next);
        if (pool.empty()) {
            continue;
        }
        const bool inTurn = next == ProofPeer::Watcher; // one of two may not answer
        return pool[inTurn ? m_proofs->nextTurn() % pool.size() : m_random.below(pool.size())];
    }
    return {};
}

std::vector<std::string> Membership::proofPeers(ProofPeer kind) const
{
    if (kind == ProofPeer::SameDataCentre) {
        return peers(true);
    }
    std::vector<std::string> keys;
    if (kind == ProofPeer::OtherDataCentre) {
        // In data centres that are cut off from the store, proofs are older than elsewhere.
        const auto remote = peers(false);
        std::copy_if(remote.begin(), remote.end(), std::back_inserter(keys),
                     [this](const std::string &key) { return m_members.at(key).member.seesPlatform; });
        return keys.empty() ? remote : keys;
    }
    for (const std::string &key : m_proofs->watchers()) {
        const auto found = m_members.find(key);
        if (found != m_members.end() && key != toString(m_self.incarnation) && acceptsRequests(found->second.member)) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace mustardpond
