/// An immutable snapshot of the configuration in force, read on the request path.
#pragma once

#include "config/objects.h"
#include "config/objecttable.h"
#include "config/organisationtable.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// The route, service and class of work of a request.
struct RouteMatch {
    const RouteObject *route = nullptr;
    const ServiceObject *service = nullptr; ///< of the route's first part
    const WorkClass *workClass = nullptr;
};

class ConfigSnapshot
{
public:
    /// Returns the most specific route for the path and method; all members are null if there is none. Routes for the
    /// host take precedence over routes for any host.
    RouteMatch route(std::string_view path, std::string_view method, std::string_view host = {}) const;

    const ServiceObject *service(const std::string &name) const;
    const WorkClass *workClass(const std::string &name) const;
    /// Returns nothing if the configuration does not limit callers.
    const std::optional<CallerLimits> &callerLimits() const
    {
        return m_callerLimits;
    }
    /// Returns null if the configuration has no organisations, so that callers need no key.
    const std::shared_ptr<const OrganisationTable> &organisations() const
    {
        return m_organisations;
    }
    const std::vector<ApprovedRefusal> &refusals() const
    {
        return m_refusals;
    }
    const std::unordered_map<std::string, ServiceObject> &services() const
    {
        return m_services;
    }
    const std::unordered_map<std::string, WorkClass> &workClasses() const
    {
        return m_workClasses;
    }
    /// Returns the longest deadline of all classes of work; zero without any.
    Millis longestDeadline() const
    {
        return m_longestDeadline;
    }
    std::size_t routeCount() const
    {
        return m_routeCount;
    }
    /// Returns the newest version of all objects in force, or one without a revision if there are no objects.
    const ObjectVersion &newestVersion() const
    {
        return m_newestVersion;
    }
    /// Returns the version in force of each object by "kind/name".
    const std::unordered_map<std::string, ObjectVersion> &versions() const
    {
        return m_versions;
    }

private:
    friend class ConfigBuilder;

    RouteMatch routeForPrefix(std::string_view host, std::string_view prefix, std::string_view method) const;
    RouteMatch routeForHost(std::string_view host, std::string_view path, std::string_view method) const;

    std::unordered_map<std::string, ServiceObject> m_services;
    std::unordered_map<std::string, WorkClass> m_workClasses;
    std::unordered_map<std::string, std::vector<RouteObject>> m_routes; ///< by host and prefix
    std::optional<CallerLimits> m_callerLimits;
    std::shared_ptr<const OrganisationTable> m_organisations;
    std::vector<ApprovedRefusal> m_refusals;
    std::unordered_map<std::string, ObjectVersion> m_versions;
    Millis m_longestDeadline;
    std::size_t m_routeCount = 0;
    ObjectVersion m_newestVersion;
};

/// Called with an invalid object and the reason.
using InvalidObjectHandler = std::function<void(const StoredObject &, const std::string &)>;

/// Builds snapshots. When an object is invalid, the last valid version of its name stays in force.
class ConfigBuilder
{
public:
    explicit ConfigBuilder(InvalidObjectHandler onInvalid, LeftOutHandler onLeftOut = {})
        : m_onInvalid(std::move(onInvalid))
        , m_onLeftOut(std::move(onLeftOut))
    {
    }

    /// Applies a new version of an object.
    void apply(const StoredObject &object);
    std::shared_ptr<const ConfigSnapshot> build() const;

private:
    template <typename Parsed>
    using ByName = std::unordered_map<std::string, Parsed>;

    void parse(ObjectKind kind, const StoredObject &object);
    void replaceAll(BundleObject bundle);
    void remove(ObjectKind kind, const std::string &name);

    InvalidObjectHandler m_onInvalid;
    LeftOutHandler m_onLeftOut;
    ByName<ServiceObject> m_services;
    ByName<WorkClass> m_workClasses;
    ByName<RouteObject> m_routes;
    ByName<RefusalObject> m_refusals;
    std::optional<CallerLimits> m_callerLimits;
    std::shared_ptr<const OrganisationTable> m_organisations;
    std::unordered_map<std::string, ObjectVersion> m_versions;
};

} // namespace mustardpond
