/// @file
/// @brief Bounds on what is read from the other end of a connection.
#pragma once

#include <cstddef>

namespace chervilspring {

/// @brief Most bytes that are read without being understood.
///
/// A line of a chunk or a trailer has no limit in the parser; an endless one fills the buffer.
/// Larger than the longest head that is accepted, and as much as is read at once.
inline constexpr std::size_t maxUnparsedBytes = 64u << 10;

} // namespace chervilspring
