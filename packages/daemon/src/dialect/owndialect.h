/// The product's own HTTP conventions for callers, upstreams and announcements.
#pragma once

#include "announcementdialect.h"
#include "callerdialect.h"
#include "upstreamdialect.h"

namespace mustardpond {

class OwnCallerDialect : public CallerDialect
{
public:
    CallerMetadata read(const http::fields &head) const override;
    bool isForRouter(beast::string_view name) const override;
    std::string callerField() const override;
    std::string organisationField() const override;
    bool hasOperations() const override;
    http::status statusOf(const RouterAnswer &answer) const override;
    void writeAnswer(const RouterAnswer &answer, http::response<http::string_body> &response) const override;
    void setAnswerFields(const ServedBy &served, http::fields &head) const override;
};

class OwnUpstreamDialect : public UpstreamDialect
{
public:
    void setRequestFields(const UpstreamMetadata &metadata, http::fields &head) const override;
    std::string requestIdOf(const http::fields &head) const override;
    AnswerClassification classifyAnswer(const http::fields &request, unsigned status,
                                        const http::fields &answer) const override;
};

/// Reads POST /announce with a JSON object.
class OwnAnnouncementDialect : public AnnouncementDialect
{
public:
    std::optional<Announcement> read(const AnnouncementCall &call) const override;
};

} // namespace mustardpond
