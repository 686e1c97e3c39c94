/// The implementations of the dialect in use, chosen once at start-up.
#pragma once

#include "announcementdialect.h"
#include "callerdialect.h"
#include "config/objectstore.h"
#include "upstreamdialect.h"

#include <functional>
#include <memory>

namespace mustardpond {

struct Dialects {
    std::shared_ptr<const CallerDialect> caller;
    std::shared_ptr<const UpstreamDialect> upstream;
    std::shared_ptr<const AnnouncementDialect> announcement;
    /// Creates a client of the platform's store. Each client is used by one thread.
    std::function<std::unique_ptr<ObjectStore>()> openStore;
};

} // namespace mustardpond
