/// @file
/// @brief Approximate memory size of described structs.
#pragma once

#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace chervilspring {

/// @brief Returns the bytes that a value owns on the heap, without reserves and allocator overhead.
/// @param value a trivial value, a described struct, or a string, container, optional or variant of
/// such values
/// @return the size in bytes, without sizeof(value)
template<typename T> std::size_t heapBytes(const T &value);

namespace detail {

template<typename T> std::size_t heapBytesOf(const std::vector<T> &items)
{
    std::size_t bytes = items.size() * sizeof(T);
    for (const T &item : items)
        bytes += heapBytes(item);
    return bytes;
}

template<typename K, typename V> std::size_t heapBytesOf(const std::map<K, V> &items)
{
    std::size_t bytes = items.size() * sizeof(std::pair<const K, V>);
    for (const auto &[key, value] : items)
        bytes += heapBytes(key) + heapBytes(value);
    return bytes;
}

template<typename T> std::size_t heapBytesOf(const std::optional<T> &item)
{
    return item ? heapBytes(*item) : 0;
}

template<typename... Ts> std::size_t heapBytesOf(const std::variant<Ts...> &item)
{
    return std::visit([](const auto &value) { return heapBytes(value); }, item);
}

inline std::size_t heapBytesOf(const std::string &text)
{
    return text.size();
}

template<typename T> std::size_t heapBytesOf(const T &value)
{
    std::size_t bytes = 0;
    using Members = boost::describe::describe_members<T, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>(
        [&](auto member) { bytes += heapBytes(value.*member.pointer); });
    return bytes;
}

} // namespace detail

template<typename T> std::size_t heapBytes(const T &value)
{
    if constexpr (std::is_trivially_copyable_v<T>)
        return 0;
    else
        return detail::heapBytesOf(value);
}

/// @brief Returns the approximate memory size of a value, including what it owns on the heap.
/// @param value see heapBytes()
/// @return the size in bytes
template<typename T> std::size_t memorySize(const T &value)
{
    return sizeof(T) + heapBytes(value);
}

} // namespace chervilspring
