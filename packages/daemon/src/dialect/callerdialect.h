/// The interface for the HTTP conventions between callers and the router.
#pragma once

#include "decision/outcome.h"
#include "net/net.h"

#include "foundation/clock.h"

#include <optional>
#include <string>

namespace mustardpond {

/// What the router reads from the head of a caller's request.
struct CallerMetadata {
    std::string requestId; ///< empty if the caller gives none
    std::string parentId; ///< id of the running request that may have made this one; empty if the head names none
    std::string organisation;
    std::string operation; ///< empty when the caller opened none
    std::optional<Millis> timeLeft; ///< how long the caller will wait
    std::string problem; ///< why the head is rejected, with a remedy; empty if it is valid
};

/// An answer of the router itself.
struct RouterAnswer {
    Outcome outcome = Outcome::NotRun;
    NotRunReason reason = NotRunReason::None;
    std::string detail; ///< what happened, with a remedy
    Millis retryAfter; ///< delay before the caller may retry, if the request has not run
    bool timedOut = false; ///< the deadline passed before there was an answer
    bool overQuota = false; ///< the request's organisation is over its limit
};

/// The origin of a forwarded answer.
struct ServedBy {
    std::string upstream; ///< empty for a request of an operation
};

class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual CallerMetadata read(const http::fields &head) const = 0;
    /// Whether a field is meant for the router only and must not reach the upstream.
    virtual bool isForRouter(beast::string_view name) const = 0;
    /// Returns the name of the field that carries the caller's service to an upstream; empty if there is none.
    virtual std::string callerField() const = 0;
    /// Returns the name of the field that carries the organisation of the caller's key to an upstream.
    virtual std::string organisationField() const = 0;
    /// Whether callers may open operations.
    virtual bool hasOperations() const = 0;
    virtual http::status statusOf(const RouterAnswer &answer) const = 0;
    /// Sets fields and body of the router's own answer, whose status is set.
    virtual void writeAnswer(const RouterAnswer &answer, http::response<http::string_body> &response) const = 0;
    /// Adds the router's fields to an upstream's answer.
    virtual void setAnswerFields(const ServedBy &served, http::fields &head) const = 0;
};

} // namespace mustardpond
