/// One caller's connection to the router.
#pragma once

#include "callerbody.h"
#include "callerdialect.h"
#include "config/objects.h"
#include "dispatch.h"

#include <memory>
#include <optional>
#include <string>

namespace mustardpond {

class Router;

/// Serves the requests of one connection in their order, so that an answer can only be that of its request.
class CallerSession
{
public:
    CallerSession(Router &router, tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void run(const Yield &yield);
    /// Time since the last answer, or since the connection; zero while a request is being read or served.
    Millis idleTime(Millis now) const;
    /// Whether a request is being read or served.
    bool isBusy() const
    {
        return m_busy;
    }
    /// The router stops: answers the request that is waiting, if any, with what is known of it.
    void abortPending();

private:
    using RequestParser = http::request_parser<http::buffer_body>;

    void drain(const Yield &yield);
    bool readHead(const Yield &yield);
    void rejectMalformed(ErrorCode error, const Yield &yield);
    void handle(const Yield &yield);
    void openOperation(const Yield &yield);
    void proxy(const Yield &yield);
    bool classify(CallerRequest &request, const Yield &yield);
    bool refuse(const CallerRequest &request, const Yield &yield);
    bool readBody(CallerRequest &request, const Yield &yield);
    void takeHeaders(CallerRequest &request) const;
    void reply(const CallerRequest &request, DispatchResult result, Millis startedAt, const Yield &yield);
    void replyRan(const CallerRequest &request, DispatchResult &result, const Yield &yield);
    void replyStreamed(DispatchResult &result, http::response<http::buffer_body> &response, Millis deadline,
                       const Yield &yield);
    /// Gives back what a large body needed; most connections are idle.
    void releaseBuffer();
    CallerBody bodyReader();
    void replyProblem(http::status status, const std::string &detail, const Yield &yield);
    void replyOwn(http::status status, const RouterAnswer &answer, const Yield &yield);
    void logOwn(const CallerRequest &request, const RouterAnswer &answer, const DispatchResult &result,
                Millis startedAt);
    /// Tells the dispatch when the caller closes its connection.
    void watchCaller(const CallerRequest &request, Dispatch &dispatch);
    void stopWatching();
    CallerLimits callerLimits() const;
    bool isConnectionField(const std::string &name) const;
    /// Whether the upstream beside this daemon calls, for a request that it is running.
    bool isInner(const CallerMetadata &terms) const;
    void replyText(http::response<http::string_body> &response, const Yield &yield);
    void record(const CallerRequest &request, const DispatchResult &result, Millis startedAt);
    bool keepAlive() const;

    Router &m_router;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    Millis m_idleSince;
    bool m_busy = false;
    Dispatch *m_dispatch = nullptr; ///< of the request that is being served
    bool m_open = true;
    std::shared_ptr<bool> m_watch; ///< whether the caller is being watched
};

} // namespace mustardpond
