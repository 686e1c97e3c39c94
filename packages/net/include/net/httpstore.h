/// Client of the platform's object API over HTTP.
#pragma once

#include "config/daemonsettings.h"
#include "config/objectstore.h"
#include "net/httpcall.h"

namespace mustardpond {

/// Timeout of a request to the platform.
constexpr Millis STORE_TIMEOUT{2000};

/// Each call opens a connection of its own and blocks the calling thread.
class HttpStore : public ObjectStore
{
public:
    HttpStore(Endpoint endpoint, Millis timeout);

    Listing list() override;
    StoredObject read(const std::string &kind, const std::string &name) override;
    std::uint64_t write(const StoredObject &object, std::uint64_t expectedRevision) override;
    Listing watch(std::uint64_t revision, Millis timeout) override;

private:
    HttpReply call(const std::string &method, const std::string &target, const std::string &body, Millis timeout) const;
    [[noreturn]] void throwStoreOutage(const HttpReply &reply) const;

    Endpoint m_endpoint;
    Millis m_timeout;
};

} // namespace mustardpond
