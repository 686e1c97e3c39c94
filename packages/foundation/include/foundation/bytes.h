/// Byte sizes.
#pragma once

#include <cstddef>

namespace mustardpond {

constexpr std::size_t KIB = 1024;
constexpr std::size_t MIB = 1024 * KIB;

} // namespace mustardpond
