/// The interface for the HTTP conventions between the gate and upstreams.
#pragma once

#include "decision/outcome.h"
#include "net/net.h"

#include "foundation/clock.h"

#include <cstdint>
#include <string>

namespace mustardpond {

/// What the gate adds to a request.
struct UpstreamMetadata {
    std::string upstream; ///< id of the upstream that runs the request
    Millis timeLeft;
};

enum class AnswerKind : std::uint8_t {
    Own, ///< the upstream's answer to this request
    NotRun, ///< the upstream reports that it did not run the request
    Foreign, ///< the answer to another request; the expected one may follow
    Broken, ///< not a valid answer of this upstream; must not reach the caller
};

/// The result of examining the head of an answer.
struct AnswerClassification {
    AnswerKind kind = AnswerKind::Own;
    NotRunReason reason = NotRunReason::None; ///< why the request did not run
};

class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;
    virtual void setRequestFields(const UpstreamMetadata &metadata, http::fields &head) const = 0;
    /// The id that the caller gave the request; empty when it gave none.
    virtual std::string requestIdOf(const http::fields &head) const = 0;
    /// @param request the head that was sent
    virtual AnswerClassification classifyAnswer(const http::fields &request, unsigned status,
                                                const http::fields &answer) const = 0;
};

} // namespace mustardpond
