/// The micro-kernel: registers, starts and stops the services of a process. Services find each other by name.
#pragma once

#include "foundation/errors.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// A component of the process that is started and stopped with it.
class Service
{
public:
    virtual ~Service() = default;
    virtual void start() = 0;
    virtual void stop() = 0;
};

/// Registry and life cycle of services. Not thread-safe until all services are registered.
class Kernel
{
public:
    /// Registers a service. Throws Exception(UnknownService) if the name is already in use.
    void add(const std::string &name, std::shared_ptr<Service> service);

    /// Returns the named service. Throws Exception(UnknownService) if there is none of that name and type.
    template <typename T>
    std::shared_ptr<T> find(const std::string &name) const
    {
        auto typed = std::dynamic_pointer_cast<T>(lookUp(name));
        if (!typed) {
            throw Exception(ErrorKind::UnknownService, fmt::format(ErrorMsg::UNKNOWN_SERVICE, name));
        }
        return typed;
    }

    /// Starts all services in the order of registration.
    void start();
    /// Stops the started services in reverse order.
    void stop();

private:
    struct Entry {
        std::string name;
        std::shared_ptr<Service> service;
    };
    std::shared_ptr<Service> lookUp(const std::string &name) const;

    std::vector<Entry> m_entries;
    std::size_t m_started = 0;
};

} // namespace mustardpond
