#include "foundation/kernel.h"

namespace mustardpond {

void Kernel::add(const std::string &name, std::shared_ptr<Service> service)
{
    if (lookUp(name)) {
        throw Exception(ErrorKind::UnknownService, fmt::format(ErrorMsg::DUPLICATE_SERVICE, name));
    }
    m_entries.push_back({name, std::move(service)});
}

void Kernel::start()
{
    while (m_started < m_entries.size()) {
        m_entries[m_started].service->start();
        ++m_started;
    }
}

void Kernel::stop()
{
    while (m_started > 0) {
        --m_started;
        m_entries[m_started].service->stop();
    }
}

std::shared_ptr<Service> Kernel::lookUp(const std::string &name) const
{
    for (const Entry &entry : m_entries) {
        if (entry.name == name) {
            return entry.service;
        }
    }
    return nullptr;
}

} // namespace mustardpond
