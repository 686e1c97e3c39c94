/// The buffer that a caller's connection is read through.
#pragma once

#include "bodybudget.h"

namespace mustardpond {

/// What exceeds a small size counts against the byte budget and is taken before it is read. Beast keeps what it cannot
/// parse yet, such as an incomplete head or chunk extension, in the buffer; its size is the only limit to that.
class ReadBuffer
{
public:
    /// Most connections are idle or read small requests; so much is free for each.
    static constexpr std::size_t FREE_BYTES = 4 * KIB;

    explicit ReadBuffer(BodyHold &hold)
        : m_hold(hold)
    {
        m_buffer.max_size(FREE_BYTES);
    }

    beast::flat_buffer &data()
    {
        return m_buffer;
    }
    std::size_t size() const
    {
        return m_buffer.size();
    }
    /// Whether more can be read without growing.
    bool hasRoom() const
    {
        return m_buffer.size() < m_limit;
    }
    std::size_t limit() const
    {
        return m_limit;
    }
    /// Bytes that count against the budget.
    std::size_t chargedBytes() const
    {
        return m_limit - FREE_BYTES;
    }
    /// Allows the buffer to hold so many bytes and reserves them. Returns false if the budget has no room for them.
    bool grow(std::size_t bytes, std::size_t expected, const Yield &yield);
    /// Frees what unread bytes do not need.
    void shrink();

private:
    BodyHold &m_hold;
    beast::flat_buffer m_buffer;
    std::size_t m_limit = FREE_BYTES;
};

} // namespace mustardpond
