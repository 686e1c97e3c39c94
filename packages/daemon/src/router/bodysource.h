/// The part of a caller's body that has not been read yet.
#pragma once

#include "net/net.h"

#include <cstdint>
#include <vector>

namespace mustardpond {

class BodySource
{
public:
    virtual ~BodySource() = default;
    /// Reads the next piece. Returns false when it was the last one. Throws boost::system::system_error.
    virtual bool next(std::vector<std::uint8_t> &piece, const Yield &yield) = 0;
    /// Makes a pending call of next() fail. To be called while it waits.
    virtual void interrupt() = 0;
};

} // namespace mustardpond
