/// @file
/// @brief Conversion of described structs to Boost.JSON values.
///
/// Member names lose their trailing underscore. Durations and times since the epoch of their clock
/// become integers in their own unit, enums become the names of their values, and a variant becomes
/// an object whose only key is the type name.
#pragma once

#include "chervilspring/detail/describe.hpp"

#include <boost/json.hpp>

#include <stdexcept>

namespace chervilspring {

/// @brief Converts a value to JSON.
/// @param value scalar, string, enum, duration, time point, vector, optional, variant or described
/// struct
/// @return the JSON value
/// @note Complexity: linear in the size of the value.
/// @since 0.1.0
template<typename T> boost::json::value toJson(const T &value)
{
    if constexpr (std::is_same_v<T, bool> || std::is_arithmetic_v<T>) {
        return value;
    } else if constexpr (std::is_enum_v<T>) {
        return boost::describe::enum_to_string(value, "unknown");
    } else if constexpr (std::is_same_v<T, std::string>) {
        return boost::json::string(value);
    } else if constexpr (detail::IsDuration<T>::value) {
        return value.count();
    } else if constexpr (detail::IsTimePoint<T>::value) {
        return value.time_since_epoch().count();
    } else if constexpr (detail::IsVector<T>::value) {
        boost::json::array array;
        for (const auto &item : value)
            array.push_back(toJson(item));
        return array;
    } else if constexpr (detail::IsOptional<T>::value) {
        return value ? toJson(*value) : boost::json::value(nullptr);
    } else if constexpr (detail::IsVariant<T>::value) {
        return std::visit(
            [](const auto &alternative) -> boost::json::value {
                using Alternative = std::decay_t<decltype(alternative)>;
                boost::json::object object;
                object[detail::shortTypeName<Alternative>()] = toJson(alternative);
                return object;
            },
            value);
    } else {
        boost::json::object object;
        detail::forEachMember(value, [&](std::string_view name, const auto &member) {
            object[name] = toJson(member);
        });
        return object;
    }
}

} // namespace chervilspring
