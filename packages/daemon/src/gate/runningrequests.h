/// Callers' requests that upstreams of this host are running, by the id that the caller gave.
#pragma once

#include <string>
#include <unordered_set>

namespace mustardpond {

/// Not thread-safe. Requests without an id are not counted.
class RunningRequests
{
public:
    bool contains(const std::string &id) const
    {
        return !id.empty() && m_ids.count(id) > 0;
    }

private:
    friend class RunningRequestGuard;

    std::unordered_multiset<std::string> m_ids;
};

/// Registers a request as running for the lifetime of a scope.
class RunningRequestGuard
{
public:
    RunningRequestGuard(RunningRequests &requests, std::string id)
        : m_requests(requests)
        , m_id(std::move(id))
    {
        m_requests.m_ids.insert(m_id);
    }
    ~RunningRequestGuard()
    {
        m_requests.m_ids.erase(m_requests.m_ids.find(m_id));
    }
    RunningRequestGuard(const RunningRequestGuard &) = delete;
    RunningRequestGuard &operator=(const RunningRequestGuard &) = delete;

private:
    RunningRequests &m_requests;
    std::string m_id;
};

} // namespace mustardpond
