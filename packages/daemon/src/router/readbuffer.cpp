#include "readbuffer.h"

#include <algorithm>

namespace mustardpond {

bool ReadBuffer::grow(std::size_t bytes, std::size_t expected, const Yield &yield)
{
    if (bytes > m_limit) {
        if (!m_hold.take(bytes - m_limit, expected, yield)) {
            return false;
        }
        m_limit = bytes;
        m_buffer.max_size(m_limit);
    }
    m_buffer.reserve(bytes); // Beast reads at most the capacity at a time
    return true;
}

void ReadBuffer::shrink()
{
    if (m_limit == FREE_BYTES) {
        return;
    }
    const std::size_t limit = std::max(FREE_BYTES, m_buffer.size());
    m_buffer.shrink_to_fit();
    m_buffer.max_size(limit);
    m_hold.giveBack(m_limit - limit);
    m_limit = limit;
}

} // namespace mustardpond
