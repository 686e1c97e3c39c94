/// One caller's connection to the router.
#pragma once

#include "dispatch.h"

#include <optional>
#include <string>

namespace mustardpond {

class Router;

/// Serves the requests of one connection in their order, so that an answer can only be that of its request.
class CallerSession
{
public:
    CallerSession(Router &router, tcp::socket socket);
    void run(Yield yield);

private:
    using RequestParser = http::request_parser<http::buffer_body>;

    void drain(Yield yield);
    bool readHead(Yield yield);
    void rejectMalformed(ErrorCode error, Yield yield);
    void handle(Yield yield);
    void openOperation(Yield yield);
    void proxy(Yield yield);
    bool classify(CallerRequest &request, Yield yield);
    bool refuse(const CallerRequest &request, Yield yield);
    bool readBody(CallerRequest &request, Yield yield);
    void takeHeaders(CallerRequest &request) const;
    void reply(const CallerRequest &request, DispatchResult result, Millis startedAt, Yield yield);
    void replyRan(DispatchResult &result, Yield yield);
    void streamAnswer(DispatchResult &result, http::response<http::buffer_body> &response, Yield yield);
    void replyProblem(http::status status, const std::string &detail, Yield yield);
    void replyOutcome(http::status status, const wire::AnswerT &answer, Yield yield);
    void replyText(http::response<http::string_body> &response, Yield yield);
    void record(const CallerRequest &request, const DispatchResult &result, Millis startedAt);
    std::string field(const std::string &name) const;
    Millis deadlineFor(const WorkClass &workClass) const;
    bool keepAlive() const;

    friend class CallerBody;

    Router &m_router;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    bool m_open = true;
};

} // namespace mustardpond
