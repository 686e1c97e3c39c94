#include "net/httpstore.h"

#include "foundation/errors.h"
#include "foundation/events.h"
#include "foundation/lenientjson.h"

#include <boost/system/system_error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr unsigned OK = 200;
constexpr unsigned NOT_FOUND = 404;
constexpr unsigned CONFLICT = 409;

StoredObject objectFrom(const nlohmann::json &document)
{
    StoredObject object;
    object.kind = document.at("kind").get<std::string>();
    object.name = document.at("name").get<std::string>();
    object.version = document.at("version").get<std::uint64_t>();
    object.deleted = document.value("deleted", false);
    object.value = document.value("value", "");
    return object;
}

std::string textIn(const nlohmann::json &document, const char *field)
{
    const bool given = document.is_object() && document.contains(field) && document[field].is_string();
    return given ? document[field].get<std::string>() : std::string();
}

Listing listingFrom(const std::string &text)
{
    const auto document = parseJsonLeniently(text, "the platform's list");
    Listing listing;
    listing.revision = document.at("revision").get<std::uint64_t>();
    for (const auto &entry : document.at("objects")) {
        try {
            listing.objects.push_back(objectFrom(entry));
        } catch (const nlohmann::json::exception &error) {
            logEvent(Event::ObjectInvalid, {{"entry", listing.objects.size()}, {"cause", error.what()}});
            listing.unreadable.push_back({textIn(entry, "kind"), textIn(entry, "name"), 0, false, ""});
        }
    }
    return listing;
}

std::string pathOf(const std::string &kind, const std::string &name)
{
    return "/v1/objects/" + kind + "/" + name;
}

} // namespace

HttpStore::HttpStore(Endpoint endpoint, Millis timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

Listing HttpStore::list()
{
    const HttpReply reply = call("GET", "/v1/objects", "", m_timeout);
    if (reply.status != OK) {
        throwStoreOutage(reply);
    }
    Listing listing = listingFrom(reply.body);
    listing.complete = true;
    return listing;
}

StoredObject HttpStore::read(const std::string &kind, const std::string &name)
{
    const HttpReply reply = call("GET", pathOf(kind, name), "", m_timeout);
    if (reply.status == NOT_FOUND) {
        throw Exception(ErrorKind::NotFound, fmt::format(ErrorMsg::OBJECT_NOT_FOUND, kind, name, kind));
    }
    if (reply.status != OK) {
        throwStoreOutage(reply);
    }
    return objectFrom(nlohmann::json::parse(reply.body));
}

std::uint64_t HttpStore::write(const StoredObject &object, std::uint64_t expectedRevision)
{
    const std::string target = fmt::format("{}?ifVersion={}", pathOf(object.kind, object.name), expectedRevision);
    const HttpReply reply = call(object.deleted ? "DELETE" : "PUT", target, object.value, m_timeout);
    if (reply.status == CONFLICT) {
        const StoredObject current = objectFrom(nlohmann::json::parse(reply.body));
        throw Conflict(fmt::format(ErrorMsg::OBJECT_CONFLICT, object.kind, object.name, current.version.revision),
                       current.value);
    }
    if (reply.status != OK) {
        throwStoreOutage(reply);
    }
    return nlohmann::json::parse(reply.body).at("version").get<std::uint64_t>();
}

Listing HttpStore::watch(std::uint64_t revision, Millis timeout)
{
    const std::string target = fmt::format("/v1/watch?since={}&timeoutMs={}", revision, timeout.value);
    const HttpReply reply = call("GET", target, "", timeout + m_timeout);
    if (reply.status != OK) {
        throwStoreOutage(reply);
    }
    return listingFrom(reply.body);
}

HttpReply HttpStore::call(const std::string &method, const std::string &target, const std::string &body,
                          Millis timeout) const
{
    try {
        return callHttp({m_endpoint, method, target, body}, timeout);
    } catch (const boost::system::system_error &error) {
        throw StoreOutage(toString(m_endpoint), error.code().message());
    }
}

void HttpStore::throwStoreOutage(const HttpReply &reply) const
{
    throw StoreOutage(toString(m_endpoint), fmt::format("status {}", reply.status));
}

} // namespace mustardpond
