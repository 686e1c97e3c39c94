/// How callers' requests and the router's own answers are spelled.
#pragma once

#include "decision/outcome.h"
#include "net/net.h"

#include "foundation/clock.h"

#include <optional>
#include <string>

namespace mustardpond {

/// What the head of a caller's request says to the router.
struct CallerMetadata {
    std::string requestId; ///< empty when the caller gives none
    std::string parentId; ///< of the running request that this may be a call of, as far as the head tells
    std::string organisation;
    std::string operation; ///< empty when the caller opened none
    std::optional<Millis> timeLeft; ///< how long the caller will wait
    std::string problem; ///< why the head cannot be accepted, with a remedy; empty when it can
};

/// An answer of the router itself.
struct RouterAnswer {
    Outcome outcome = Outcome::NotRun;
    NotRunReason reason = NotRunReason::None;
    std::string detail; ///< what happened, with a remedy
    Millis retryAfter; ///< when the caller may come again, if the request has not run
    bool timedOut = false; ///< the time for the answer has run out
};

/// What a forwarded answer says of its way.
struct ServedBy {
    std::string upstream; ///< empty for the answer of an operation
};

class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual CallerMetadata read(const http::fields &head) const = 0;
    /// Whether a field is for the router and must not reach the upstream.
    virtual bool isForRouter(beast::string_view name) const = 0;
    /// The field by which an upstream knows the caller's service; an empty name for none.
    virtual std::string callerField() const = 0;
    /// Whether callers may open operations.
    virtual bool hasOperations() const = 0;
    virtual http::status statusOf(const RouterAnswer &answer) const = 0;
    /// Sets fields and body of the router's own answer, whose status is set.
    virtual void writeAnswer(const RouterAnswer &answer, http::response<http::string_body> &response) const = 0;
    /// Adds the router's fields to an upstream's answer.
    virtual void setAnswerFields(const ServedBy &served, http::fields &head) const = 0;
};

} // namespace mustardpond
