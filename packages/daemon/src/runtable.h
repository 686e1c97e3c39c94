/// Requests that upstreams run, with those whose end was not seen.
#pragma once

#include "requestkey.h"

#include "foundation/clock.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace mustardpond {

/// How long after its deadline a request may still run at an upstream, which gets the time left, not the deadline.
constexpr Millis RUN_DEADLINE_SLACK{1000};

/// Requests by the place at which they run. A run whose end was not seen is kept until its deadline. Not thread-safe.
/// @tparam Place ordered by operator<
template <typename Place>
class RunTable
{
public:
    struct Run {
        std::size_t active = 0; ///< runs in progress: a request can be sent to one place more than once
        bool kept = false; ///< whether the end of a run was not seen
        Millis until; ///< the run has ended by then
    };
    using Runs = std::unordered_map<RequestKey, Run, RequestKeyHasher>;

    /// Keeps a request in the table while it runs.
    class Handle
    {
    public:
        Handle() = default;
        Handle(RunTable &table, Place place, RequestKey key, Millis deadline)
            : m_table(&table)
            , m_place(std::move(place))
            , m_key(key)
            , m_deadline(deadline)
        {
        }
        /// The end of the run has not been seen.
        ~Handle()
        {
            release(false);
        }
        Handle(Handle &&other) noexcept
            : m_table(std::exchange(other.m_table, nullptr))
            , m_place(std::move(other.m_place))
            , m_key(other.m_key)
            , m_deadline(other.m_deadline)
        {
        }
        Handle &operator=(Handle &&other) noexcept
        {
            if (this != &other) {
                release(false);
                m_table = std::exchange(other.m_table, nullptr);
                m_place = std::move(other.m_place);
                m_key = other.m_key;
                m_deadline = other.m_deadline;
            }
            return *this;
        }
        Handle(const Handle &) = delete;
        Handle &operator=(const Handle &) = delete;

        /// To be called when the upstream has ended the run, or has said that there was none.
        void finish()
        {
            release(true);
        }

    private:
        void release(bool finished)
        {
            if (RunTable *table = std::exchange(m_table, nullptr)) {
                table->end(m_place, m_key, finished, m_deadline);
            }
        }

        RunTable *m_table = nullptr; ///< null without a run
        Place m_place;
        RequestKey m_key;
        Millis m_deadline;
    };

    /// @param maxKept number of runs without a seen end that are kept
    RunTable(const Clock &clock, std::size_t maxKept)
        : m_clock(clock)
        , m_maxKept(maxKept)
    {
    }

    /// A request without an id is not counted.
    Handle begin(const Place &place, const std::string &id, Millis deadline)
    {
        if (id.empty()) {
            return {};
        }
        const RequestKey key = keyOfRequest(id);
        Run &run = m_places[place][key];
        ++run.active;
        run.until = std::max(run.until, deadline + RUN_DEADLINE_SLACK);
        return Handle(*this, place, key, deadline);
    }
    /// Adds a run whose end will not be seen.
    void keep(const Place &place, const RequestKey &key, Millis deadline)
    {
        const Millis until = deadline + RUN_DEADLINE_SLACK;
        if (m_clock.now() - m_expiredAt > EXPIRY_INTERVAL) {
            removeExpired();
        }
        if (m_kept >= m_maxKept) {
            m_incompleteUntil = std::max(m_incompleteUntil, until);
            return;
        }
        Run &run = m_places[place][key];
        m_kept += run.kept ? 0 : 1;
        run.kept = true;
        run.until = std::max(run.until, until);
    }
    bool mayRun(const Place &place, const RequestKey &key) const
    {
        const auto runs = m_places.find(place);
        return runs != m_places.end() && mayRun(runs->second, key);
    }
    bool mayRun(const Runs &runs, const RequestKey &key) const
    {
        const auto run = runs.find(key);
        return run != runs.end() && isCurrent(run->second);
    }
    bool isCurrent(const Run &run) const
    {
        return run.active > 0 || (run.kept && m_clock.now() < run.until);
    }
    /// May contain runs whose time is over.
    const std::map<Place, Runs> &places() const
    {
        return m_places;
    }
    /// Returns the time until which a request that is not in the table may run, for want of room in it.
    Millis incompleteUntil() const
    {
        return m_incompleteUntil;
    }
    void removeExpired()
    {
        m_expiredAt = m_clock.now();
        for (auto place = m_places.begin(); place != m_places.end();) {
            Runs &runs = place->second;
            for (auto run = runs.begin(); run != runs.end();) {
                run = isCurrent(run->second) ? std::next(run) : erase(runs, run);
            }
            place = runs.empty() ? m_places.erase(place) : std::next(place);
        }
    }

private:
    friend class Handle;

    static constexpr Millis EXPIRY_INTERVAL{1000};

    typename Runs::iterator erase(Runs &runs, typename Runs::iterator run)
    {
        m_kept -= run->second.kept ? 1 : 0;
        return runs.erase(run);
    }

    void end(const Place &place, const RequestKey &key, bool finished, Millis deadline)
    {
        const auto runs = m_places.find(place);
        const auto run = runs->second.find(key);
        if (!finished) {
            keep(place, key, deadline);
        }
        --run->second.active;
        if (!isCurrent(run->second)) {
            erase(runs->second, run);
            if (runs->second.empty()) {
                m_places.erase(runs);
            }
        }
    }

    const Clock &m_clock;
    std::size_t m_maxKept;
    std::size_t m_kept = 0;
    Millis m_incompleteUntil;
    Millis m_expiredAt; ///< last call of removeExpired()
    std::map<Place, Runs> m_places;
};

} // namespace mustardpond
