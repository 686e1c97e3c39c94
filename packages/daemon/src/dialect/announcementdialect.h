/// How backend servers announce themselves.
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
    /// Nothing if the call is no announcement. Throws InvalidDocument or InvalidField if it is one that cannot be read.
    virtual std::optional<Announcement> read(const AnnouncementCall &call) const = 0;
};

} // namespace mustardpond
