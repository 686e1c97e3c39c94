/// Everything that depends on whose words are spoken, chosen once at the start.
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
    /// A client of the platform's store; each is used by one thread.
    std::function<std::unique_ptr<ObjectStore>()> openStore;
};

} // namespace mustardpond
