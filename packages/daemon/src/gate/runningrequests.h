/// The callers' requests that upstreams beside this daemon are running, by the id that the caller gave.
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
    friend class RunningMark;

    std::unordered_multiset<std::string> m_ids;
};

/// Counts a request while it runs.
class RunningMark
{
public:
    RunningMark(RunningRequests &requests, std::string id)
        : m_requests(requests)
        , m_id(std::move(id))
    {
        m_requests.m_ids.insert(m_id);
    }
    ~RunningMark()
    {
        m_requests.m_ids.erase(m_requests.m_ids.find(m_id));
    }
    RunningMark(const RunningMark &) = delete;
    RunningMark &operator=(const RunningMark &) = delete;

private:
    RunningRequests &m_requests;
    std::string m_id;
};

} // namespace mustardpond
