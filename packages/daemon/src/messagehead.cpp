#include "messagehead.h"

namespace mustardpond {

namespace {

constexpr unsigned HTTP_1_1 = 11;
constexpr unsigned MIN_STATUS = 100;
constexpr unsigned MAX_STATUS = 599;
constexpr unsigned FIRST_FINAL_STATUS = 200;

} // namespace

bool hasUnclearFraming(const http::fields &fields, unsigned version)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    if (codings == 0) {
        return false;
    }
    return codings > 1 || version != HTTP_1_1 || !beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

std::string problemOfRequestHead(const http::fields &fields, unsigned version)
{
    if (hasUnclearFraming(fields, version)) {
        return "the end of the body is unclear: send Content-Length, or Transfer-Encoding: chunked alone";
    }
    const auto hosts = fields.count(http::field::host);
    if (hosts > 1) {
        return "there is more than one Host field: send one";
    }
    if (hosts == 0 && version == HTTP_1_1) {
        return "the Host field is missing: send it";
    }
    return {};
}

bool isValidStatus(unsigned status)
{
    return status >= MIN_STATUS && status <= MAX_STATUS;
}

bool isInterim(unsigned status)
{
    return status < FIRST_FINAL_STATUS;
}

} // namespace mustardpond
