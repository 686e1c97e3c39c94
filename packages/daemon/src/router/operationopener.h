/// Opens an operation at a gate of a service, on a caller's behalf.
#pragma once

#include "dispatch.h"

#include <string>

namespace mustardpond {

class OperationOpener
{
public:
    OperationOpener(DispatchContext &shared, const CallerRequest &request)
        : m_shared(shared)
        , m_request(request)
    {
    }

    /// Returns the operation's id; empty when no gate could open one before the request's deadline.
    std::string open(const Yield &yield);

private:
    std::string openAt(const std::string &gate, const Yield &yield);
    void pause(const Yield &yield);

    DispatchContext &m_shared;
    const CallerRequest &m_request;
    bool m_mustServe = false; ///< all gates have failed or declined, so suspect upstreams must serve too
};

} // namespace mustardpond
