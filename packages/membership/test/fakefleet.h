/// Simulated fleet of members in one process, with in-memory messages and a simulated clock.
#pragma once

#include "foundation/clock.h"
#include "membership/membership.h"
#include "wire/frame.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mustardpond::testing {

/// Whether the link from one address to another is up; messages on a link that is down are lost.
using LinkFilter = std::function<bool(const std::string &from, const std::string &to)>;

class FakeFleet
{
public:
    /// @param countBytes whether messages are serialised to measure their size
    FakeFleet(std::size_t dataCentres, std::size_t perDataCentre, std::uint64_t seed, bool countBytes = false)
        : m_random(seed)
        , m_countBytes(countBytes)
    {
        for (std::size_t index = 0; index < dataCentres * perDataCentre; ++index) {
            add(index / perDataCentre);
        }
    }

    /// Starts a member in a data centre and returns its address.
    std::string add(std::size_t dataCentre)
    {
        Member self;
        self.node = "n" + std::to_string(m_started);
        self.incarnation = newIncarnation(m_random);
        self.dataCentre = "dc" + std::to_string(dataCentre);
        self.region = "region" + std::to_string(dataCentre / 2);
        self.inner = "a" + std::to_string(m_started++);
        self.upstreams = {{self.node + "-u", "sicil", UpstreamState::Ready, 5}};
        auto member = std::make_unique<Membership>(self, MembershipTimings(), m_random);
        member->setSeeds({{"a0", ""}, {"a1", ""}, {"a2", ""}});
        m_members[self.inner] = std::move(member);
        return self.inner;
    }

    void stop(const std::string &address)
    {
        m_members.erase(address);
    }
    void setLinks(LinkFilter filter)
    {
        m_filter = std::move(filter);
    }
    Membership &at(const std::string &address)
    {
        return *m_members.at(address);
    }
    std::map<std::string, std::unique_ptr<Membership>> &members()
    {
        return m_members;
    }
    Millis now() const
    {
        return m_now;
    }
    std::uint64_t bytes() const
    {
        return m_bytes;
    }

    void run(Millis time)
    {
        const Millis end = m_now + time;
        while (m_now < end) {
            m_now = m_now + STEP;
            deliver();
            for (auto &[address, member] : m_members) {
                send(address, member->tick(m_now));
            }
        }
    }

    /// Runs until the condition holds for every member. Returns false when it does not within the timeout.
    bool runUntil(const std::function<bool(Membership &)> &condition, Millis timeout)
    {
        const Millis end = m_now + timeout;
        while (m_now < end) {
            bool all = true;
            for (auto &[address, member] : m_members) {
                all = all && condition(*member);
            }
            if (all) {
                return true;
            }
            run(STEP);
        }
        return false;
    }

private:
    static constexpr Millis STEP{50};
    static constexpr Millis LATENCY{10};

    struct InFlight {
        Millis due;
        std::uint64_t order;
        std::string to;
        std::shared_ptr<wire::GossipT> message;
        bool operator<(const InFlight &other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void send(const std::string &from, std::vector<OutgoingGossip> messages)
    {
        for (OutgoingGossip &outgoing : messages) {
            if (m_filter && !m_filter(from, outgoing.address)) {
                continue;
            }
            auto message = std::make_shared<wire::GossipT>(std::move(outgoing.message));
            if (m_countBytes) {
                m_bytes += packMessage(*message).size();
            }
            m_inFlight.push({m_now + LATENCY, m_order++, outgoing.address, message});
        }
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.top().due <= m_now) {
            const InFlight next = m_inFlight.top();
            m_inFlight.pop();
            const auto member = m_members.find(next.to);
            if (member != m_members.end()) {
                send(next.to, member->second->receive(*next.message, m_now));
            }
        }
    }

    SeededRandom m_random;
    bool m_countBytes;
    std::map<std::string, std::unique_ptr<Membership>> m_members;
    std::priority_queue<InFlight> m_inFlight;
    LinkFilter m_filter;
    Millis m_now{1};
    std::uint64_t m_order = 0;
    std::uint64_t m_bytes = 0;
    std::size_t m_started = 0;
};

/// Returns how many members, including itself, a member considers alive.
inline std::size_t aliveAt(const Membership &member)
{
    std::size_t count = 0;
    for (const Member &known : member.members()) {
        count += known.state == MemberState::Alive ? 1 : 0;
    }
    return count;
}

} // namespace mustardpond::testing
