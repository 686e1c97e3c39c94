/// Decides who may hold how much memory for bodies, and whose is freed when there is none left.
#pragma once

#include "foundation/bytes.h"
#include "foundation/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mustardpond {

/// One budget of bytes for all bodies, read buffers and buffered responses of a process.
///
/// Answers the load of callers that nobody controls: any number of them send bodies of legal size that they do not
/// finish, slowly or not at all. 150 uploads of 2 MB took a router on a host of 160 MB to 250 MB. Those who hold much
/// and send nothing lose their place to those who send; requests that need little always find room.
///
/// Not thread-safe.
class ByteBudget
{
public:
    using Holder = std::uint64_t;

    /// A quarter of the budget is left to requests that need no more than this.
    static constexpr std::size_t SMALL_BYTES = 64 * KIB;
    /// Nobody who has made progress within this time is evicted.
    static constexpr Millis PROGRESS_TIME{1000};
    /// Fewer bytes are no progress, so that one byte a second does not protect a caller.
    static constexpr std::size_t PROGRESS_BYTES = 1 * KIB;

    explicit ByteBudget(std::size_t total)
        : m_total(total)
    {
    }

    void setTotal(std::size_t total)
    {
        m_total = total;
    }
    std::size_t total() const
    {
        return m_total;
    }
    std::size_t used() const
    {
        return m_used;
    }

    /// Returns a new holder, which has no bytes and cannot be evicted.
    Holder open(Millis now);
    /// Returns all bytes of a holder and forgets it.
    void close(Holder holder);
    /// Takes bytes if there is room. Returns whether there was.
    /// @param expected all that the request needs; 0 while that is unknown
    bool take(Holder holder, std::size_t bytes, std::size_t expected);
    /// Takes bytes without asking, for what has been admitted already. The budget may be exceeded by that; nothing else
    /// is admitted then.
    void charge(Holder holder, std::size_t bytes);
    void giveBack(Holder holder, std::size_t bytes);
    /// Returns the bytes that a holder has.
    std::size_t held(Holder holder) const;

    /// Records that a holder's peer has sent or received bytes.
    void onProgress(Holder holder, std::size_t bytes, Millis now);
    /// Sets whether the holder waits for its peer and may be evicted. Being set counts as progress.
    void setEvictable(Holder holder, bool evictable, Millis now);
    /// Returns the time without progress of a holder that may be evicted; nothing for others.
    std::optional<Millis> silence(Holder holder, Millis now) const;
    /// Returns the holder with the highest product of bytes and time without progress, if any may be evicted.
    std::optional<Holder> victim(Millis now) const;
    /// Returns the time until some holder may be evicted if it makes no progress; PROGRESS_TIME if there is none.
    Millis timeUntilVictim(Millis now) const;

private:
    struct State {
        std::size_t held = 0;
        std::size_t progress = 0; ///< bytes since lastProgress
        Millis lastProgress;
        bool evictable = false;
    };

    std::size_t m_total;
    std::size_t m_used = 0;
    Holder m_lastHolder = 0;
    std::unordered_map<Holder, State> m_holders;
};

} // namespace mustardpond
