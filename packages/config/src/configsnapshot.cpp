#include "config/configsnapshot.h"

#include "foundation/errors.h"

#include <algorithm>

namespace mustardpond {

namespace {

template <typename Map>
const typename Map::mapped_type *findIn(const Map &map, const std::string &name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

bool matchesMethod(const RouteObject &route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

std::string_view withoutQuery(std::string_view path)
{
    return path.substr(0, path.find('?'));
}

/// Returns the next shorter prefix, or an empty string: "/a/b" gives "/a/", and "/a/" gives "/a".
std::string_view parentOf(std::string_view path)
{
    if (path.size() > 1 && path.back() == '/') {
        return path.substr(0, path.size() - 1);
    }
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos || path == "/") {
        return {};
    }
    return path.substr(0, slash + 1);
}

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

} // namespace

RouteMatch ConfigSnapshot::route(std::string_view path, std::string_view method, std::string_view host) const
{
    const RouteMatch match = routeForHost(host, path, method);
    return match.route || host.empty() ? match : routeForHost({}, path, method);
}

RouteMatch ConfigSnapshot::routeForHost(std::string_view host, std::string_view path, std::string_view method) const
{
    for (std::string_view prefix = withoutQuery(path); !prefix.empty(); prefix = parentOf(prefix)) {
        const RouteMatch match = routeForPrefix(host, prefix, method);
        if (match.route) {
            return match;
        }
    }
    return {};
}

RouteMatch ConfigSnapshot::routeForPrefix(std::string_view host, std::string_view prefix, std::string_view method) const
{
    const auto found = m_routes.find(routeKey(host, prefix));
    if (found == m_routes.end()) {
        return {};
    }
    for (const RouteObject &route : found->second) {
        const RouteMatch match{&route, service(route.parts.front().service), workClass(route.workClass)};
        if (matchesMethod(route, method) && match.service && match.workClass) {
            return match;
        }
    }
    return {};
}

const ServiceObject *ConfigSnapshot::service(const std::string &name) const
{
    return findIn(m_services, name);
}

const WorkClass *ConfigSnapshot::workClass(const std::string &name) const
{
    return findIn(m_workClasses, name);
}

void ConfigBuilder::apply(const StoredObject &object)
{
    const auto kind = valueOf(OBJECT_KIND_NAMES, object.kind);
    if (!kind) {
        m_onInvalid(object, "this version does not support objects of this kind");
        return;
    }
    if (object.deleted) {
        remove(*kind, object.name);
        m_versions[ObjectTable::keyOf(object.kind, object.name)] = object.version;
        return;
    }
    try {
        parse(*kind, object);
        m_versions[ObjectTable::keyOf(object.kind, object.name)] = object.version;
    } catch (const Exception &error) {
        m_onInvalid(object, error.what());
    }
}

void ConfigBuilder::parse(ObjectKind kind, const StoredObject &object)
{
    switch (kind) {
    case ObjectKind::WorkClass:
        m_workClasses[object.name] = parseWorkClass(object);
        break;
    case ObjectKind::Service:
        m_services[object.name] = parseService(object);
        break;
    case ObjectKind::Route:
        m_routes[object.name] = parseRoute(object);
        break;
    case ObjectKind::Refusal:
        m_refusals[object.name] = parseRefusal(object);
        break;
    case ObjectKind::Bundle:
        replaceAll(parseBundle(object));
        break;
    case ObjectKind::Director:
    case ObjectKind::Node:
    case ObjectKind::Crash:
        break;
    }
}

void ConfigBuilder::replaceAll(BundleObject bundle)
{
    m_workClasses.clear();
    m_services.clear();
    m_routes.clear();
    for (WorkClass &workClass : bundle.workClasses) {
        m_workClasses[workClass.name] = std::move(workClass);
    }
    for (ServiceObject &service : bundle.services) {
        m_services[service.name] = std::move(service);
    }
    for (RouteObject &route : bundle.routes) {
        m_routes[route.name] = std::move(route);
    }
    m_callerLimits = bundle.callerLimits;
    m_organisations =
        bundle.organisations ? std::make_shared<const OrganisationTable>(*bundle.organisations, m_onLeftOut) : nullptr;
}

void ConfigBuilder::remove(ObjectKind kind, const std::string &name)
{
    switch (kind) {
    case ObjectKind::WorkClass:
        m_workClasses.erase(name);
        break;
    case ObjectKind::Service:
        m_services.erase(name);
        break;
    case ObjectKind::Route:
        m_routes.erase(name);
        break;
    case ObjectKind::Refusal:
        m_refusals.erase(name);
        break;
    case ObjectKind::Bundle:
    case ObjectKind::Director:
    case ObjectKind::Node:
    case ObjectKind::Crash:
        break;
    }
}

std::shared_ptr<const ConfigSnapshot> ConfigBuilder::build() const
{
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->m_services = m_services;
    snapshot->m_workClasses = m_workClasses;
    for (const auto &[name, workClass] : m_workClasses) {
        snapshot->m_longestDeadline = std::max(snapshot->m_longestDeadline, workClass.deadline);
    }
    snapshot->m_versions = m_versions;
    for (const auto &[object, version] : m_versions) {
        if (supersedes(version, snapshot->m_newestVersion)) {
            snapshot->m_newestVersion = version;
        }
    }
    snapshot->m_callerLimits = m_callerLimits;
    snapshot->m_organisations = m_organisations;
    for (const auto &[name, route] : m_routes) {
        snapshot->m_routes[routeKey(route.host, route.prefix)].push_back(route);
    }
    for (auto &[prefix, routes] : snapshot->m_routes) {
        std::sort(routes.begin(), routes.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    }
    snapshot->m_routeCount = m_routes.size();
    for (const auto &[name, refusal] : m_refusals) {
        if (refusal.state == RefusalState::Approved) {
            snapshot->m_refusals.push_back(refusal.terms);
        }
    }
    return snapshot;
}

} // namespace mustardpond
