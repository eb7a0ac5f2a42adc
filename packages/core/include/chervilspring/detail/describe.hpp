/// @file
/// @brief Compile-time reflection helpers shared by the JSON and Cap'n Proto codecs.
#pragma once

#include <boost/core/type_name.hpp>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace chervilspring::detail {

/// @name Traits that recognise the standard templates supported by the codecs
/// @{
template<typename T> struct IsVector : std::false_type
{ };
template<typename T> struct IsVector<std::vector<T>> : std::true_type
{ };
template<typename T> struct IsOptional : std::false_type
{ };
template<typename T> struct IsOptional<std::optional<T>> : std::true_type
{ };
template<typename T> struct IsVariant : std::false_type
{ };
template<typename... Ts> struct IsVariant<std::variant<Ts...>> : std::true_type
{ };
template<typename T> struct IsDuration : std::false_type
{ };
template<typename R, typename P> struct IsDuration<std::chrono::duration<R, P>> : std::true_type
{ };
template<typename T> struct IsTimePoint : std::false_type
{ };
template<typename C, typename D> struct IsTimePoint<std::chrono::time_point<C, D>> : std::true_type
{ };
/// @}

/// @brief Satisfied by structs that are described with BOOST_DESCRIBE_STRUCT.
template<typename T>
concept DescribedStruct = std::is_class_v<T> && boost::describe::has_describe_members<T>::value;

/// @brief Removes the trailing underscore of a member name.
/// @param member name of the data member, such as "deadline_"
/// @return the name used in JSON and in the Cap'n Proto schema, such as "deadline"
inline std::string_view publicName(std::string_view member)
{
    if (!member.empty() && member.back() == '_')
        member.remove_suffix(1);
    return member;
}

/// @brief Calls a function for each described member.
/// @param object a described struct, const or not
/// @param visit callable taking the public name (std::string_view) and a reference to the member
template<typename Struct, typename Visit> void forEachMember(Struct &object, Visit &&visit)
{
    using Plain = std::remove_const_t<Struct>;
    using Members = boost::describe::describe_members<Plain, boost::describe::mod_any_access>;
    boost::mp11::mp_for_each<Members>(
        [&](auto member) { visit(publicName(member.name), object.*member.pointer); });
}

/// @brief Returns the name of a type without its namespace.
template<typename T> std::string shortTypeName()
{
    std::string name = boost::core::type_name<T>();
    const auto lastColon = name.rfind(':');
    return lastColon == std::string::npos ? name : name.substr(lastColon + 1);
}

} // namespace chervilspring::detail
