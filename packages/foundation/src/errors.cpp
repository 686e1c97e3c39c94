#include "foundation/errors.h"

#include <fmt/format.h>

namespace mustardpond {

InvalidField::InvalidField(const std::string &field, const std::string &value, const std::string &remedy)
    : Exception(ErrorKind::InvalidField, fmt::format(ErrorMsg::INVALID_FIELD, field, value, remedy))
    , m_field(field)
{
}

StoreOutage::StoreOutage(const std::string &endpoint, const std::string &cause)
    : Exception(ErrorKind::StoreOutage, fmt::format(ErrorMsg::STORE_OUTAGE, endpoint, cause))
{
}

} // namespace mustardpond
