/// One caller's connection to the router.
#pragma once

#include "bodybudget.h"
#include "callerauthentication.h"
#include "callerbody.h"
#include "callerdialect.h"
#include "callerwatch.h"
#include "config/objects.h"
#include "dispatch.h"
#include "inputproblem.h"
#include "readbuffer.h"

#include <memory>
#include <optional>
#include <string>

namespace mustardpond {

class Router;

/// Serves the requests of one connection one after the other, so that answers are in the order of the requests.
class CallerSession
{
public:
    CallerSession(Router &router, tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void run(const Yield &yield);
    /// Returns the time since the last answer, or since the connection was accepted; zero while a request is being read
    /// or served.
    Millis idleTime(Millis now) const;
    /// Whether a request is being read or served.
    bool isBusy() const
    {
        return m_busy;
    }
    /// Interrupts the current request, if any, because the router stops. Its answer states whether it may have run.
    void abortPending();
    /// Returns for how long the router has waited for this caller; nothing while a request is being served.
    std::optional<Millis> callerSilence(Millis now) const
    {
        return m_hold.silence(now);
    }
    /// Whether the connection may be closed in favour of another caller's: it is idle, or has stopped in the middle of
    /// a request for a while.
    bool mayBeClosed(Millis silence) const;
    /// Closes the connection in favour of another caller's.
    void closeForOther();

private:
    using RequestParser = http::request_parser<http::buffer_body>;

    bool readHead(const Yield &yield);
    /// Answers a request that could not be read, if its caller is to be told.
    void rejectInput(const std::optional<InputProblem> &problem, const Yield &yield);
    void handle(const Yield &yield);
    void openOperation(const Yield &yield);
    void proxy(const Yield &yield);
    bool classify(CallerRequest &request, const Yield &yield);
    /// Answers 401 if the request lacks a key that its route needs, or 503 if the key may have been withdrawn without
    /// this router's knowledge. Returns whether it did.
    bool refuseUnauthenticated(CallerRequest &request, const RouteObject &route, const Yield &yield);
    /// Does the same for a key that has been checked before, since a body may take long to arrive.
    bool refuseWithdrawn(const CallerRequest &request, const Yield &yield);
    bool refuseByKey(const CallerRequest &request, KeyProblem problem, const Yield &yield);
    bool refuse(const CallerRequest &request, const Yield &yield);
    bool readBody(CallerRequest &request, const Yield &yield);
    void copyHeaders(CallerRequest &request) const;
    void reply(const CallerRequest &request, DispatchResult result, Millis startedAt, const Yield &yield);
    void replyRan(const CallerRequest &request, DispatchResult &result, const Yield &yield);
    void replyStreamed(DispatchResult &result, http::response<http::buffer_body> &response, Millis deadline,
                       const Yield &yield);
    /// Frees what the last request has needed; most connections are idle.
    void releaseMemory();
    CallerBody bodyReader();
    void replyProblem(http::status status, const std::string &detail, const Yield &yield);
    void replyRouterAnswer(http::status status, const RouterAnswer &answer, const Yield &yield);
    /// Answers a request that arrives late in a planned stop and might outlast it as not run. Returns whether it did.
    bool refuseLate(const CallerRequest &request, Millis startedAt, const Yield &yield);
    /// Calls Dispatch::leave() when the caller closes its connection.
    void watchCaller(const CallerRequest &request, Dispatch &dispatch);
    void stopWatching();
    CallerLimits callerLimits() const;
    bool isConnectionField(const std::string &name) const;
    /// Whether the call comes from the upstream on this host, on behalf of a request that it is running.
    void replyText(http::response<http::string_body> &response, const Yield &yield);
    bool keepAlive() const;

    Router &m_router;
    beast::tcp_stream m_stream;
    BodyHold m_hold;
    ReadBuffer m_buffer;
    std::optional<RequestParser> m_parser;
    Millis m_idleSince;
    bool m_busy = false;
    Dispatch *m_dispatch = nullptr; ///< of the current request
    bool m_keepOpen = true;
    std::unique_ptr<CallerWatch> m_watch; ///< while a request is being served
};

} // namespace mustardpond
