/// The micro-kernel: holds the services of a process, which find each other by name.
#pragma once

#include "foundation/errors.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace mustardpond {

/// A part of the process with a life cycle of its own.
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
    /// Registers a service. Throws Exception(UnknownService) if the name is taken.
    void add(const std::string &name, std::shared_ptr<Service> service);

    /// Finds a service of the given type. Throws Exception(UnknownService) if there is none.
    template <typename T>
    std::shared_ptr<T> find(const std::string &name) const
    {
        auto typed = std::dynamic_pointer_cast<T>(lookUp(name));
        if (!typed) {
            throw Exception(ErrorKind::UnknownService, fmt::format(ErrorMsg::UNKNOWN_SERVICE, name));
        }
        return typed;
    }

    /// Starts all services in the order of their registration.
    void start();
    /// Stops the started services, the last one first.
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
