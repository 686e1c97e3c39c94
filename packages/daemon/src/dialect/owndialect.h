/// The product's own way of speaking with callers and upstreams.
#pragma once

#include "announcementdialect.h"
#include "callerdialect.h"
#include "upstreamdialect.h"

namespace mustardpond {

class OwnCallerDialect : public CallerDialect
{
public:
    CallerTerms read(const http::fields &head) const override;
    bool isForRouter(beast::string_view name) const override;
    std::string callerField() const override;
    bool hasOperations() const override;
    http::status statusOf(const RouterAnswer &answer) const override;
    void spell(const RouterAnswer &answer, http::response<http::string_body> &response) const override;
    void decorate(const ServedBy &served, http::fields &head) const override;
};

class OwnUpstreamDialect : public UpstreamDialect
{
public:
    void spell(const UpstreamTerms &terms, http::fields &head) const override;
    std::string requestIdOf(const http::fields &head) const override;
    AnswerVerdict judge(const http::fields &request, unsigned status, const http::fields &answer) const override;
};

/// POST /announce with a JSON object.
class OwnAnnouncementDialect : public AnnouncementDialect
{
public:
    std::optional<Announcement> read(const AnnouncementCall &call) const override;
};

} // namespace mustardpond
