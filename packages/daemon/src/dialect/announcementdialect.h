/// The interface for reading the announcements of backend servers.
#pragma once

#include "announcement.h"

#include <optional>
#include <string>

namespace mustardpond {

struct AnnouncementCall {
    std::string method;
    std::string target;
    std::string body;
};

class AnnouncementDialect
{
public:
    virtual ~AnnouncementDialect() = default;
    /// Returns nothing if the call is not an announcement. Throws InvalidDocument or InvalidField for an invalid
    /// announcement.
    virtual std::optional<Announcement> read(const AnnouncementCall &call) const = 0;
};

} // namespace mustardpond
