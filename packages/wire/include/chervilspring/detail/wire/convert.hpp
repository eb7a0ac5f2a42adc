/// @file
/// @brief Generic conversion between described structs and Cap'n Proto dynamic structs.
///
/// The schema and the C++ structs have the same member names, so that storeStruct() and
/// loadStruct() convert all messages.
#pragma once

#include "chervilspring/detail/describe.hpp"

#include <capnp/dynamic.h>

#include <array>

namespace chervilspring::detail {

/// @brief Whether a type is bool or a number.
template<typename T>
inline constexpr bool isScalar = std::is_same_v<T, bool> || std::is_arithmetic_v<T>;

/// @brief Returns the schema fields of a described struct in the order of its members.
/// @param schema schema of the struct; used at the first call only, which looks the fields up
template<typename Struct> const auto &schemaFields(capnp::StructSchema schema)
{
    using Members = boost::describe::describe_members<Struct, boost::describe::mod_any_access>;
    using Fields = std::array<capnp::StructSchema::Field, boost::mp11::mp_size<Members>::value>;
    static const Fields fields = [&] {
        Fields found{};
        std::size_t index = 0;
        boost::mp11::mp_for_each<Members>([&](auto member) {
            const std::string name(publicName(member.name));
            found[index++] = schema.getFieldByName(name.c_str());
        });
        return found;
    }();
    return fields;
}

template<typename T> void storeStruct(const T &value, capnp::DynamicStruct::Builder builder);

inline capnp::DynamicValue::Reader textOrDataReader(const std::string &value, capnp::Type type)
{
    if (type.isData())
        return capnp::Data::Reader(reinterpret_cast<const kj::byte *>(value.data()), value.size());
    return capnp::Text::Reader(value.c_str(), value.size());
}

template<typename T> capnp::DynamicValue::Reader scalarReader(const T &value, capnp::Type type)
{
    if constexpr (std::is_same_v<T, std::string>)
        return textOrDataReader(value, type);
    else if constexpr (std::is_enum_v<T>)
        return capnp::DynamicEnum(type.asEnum(), static_cast<std::uint16_t>(value));
    else if constexpr (IsDuration<T>::value)
        return static_cast<std::int64_t>(value.count());
    else if constexpr (IsTimePoint<T>::value)
        return static_cast<std::int64_t>(value.time_since_epoch().count());
    else
        return value;
}

/// @brief Whether a type is a Cap'n Proto struct in the schema.
template<typename T> inline constexpr bool isStructLike = DescribedStruct<T> || IsVariant<T>::value;

template<typename Item>
void storeList(const std::vector<Item> &items, capnp::StructSchema::Field field,
               capnp::DynamicStruct::Builder builder)
{
    const auto size = static_cast<unsigned int>(items.size());
    auto list = builder.init(field, size).template as<capnp::DynamicList>();
    const capnp::Type type = field.getType().asList().getElementType();
    for (unsigned int i = 0; i < size; ++i) {
        if constexpr (isStructLike<Item>)
            storeStruct(items[i], list[i].template as<capnp::DynamicStruct>());
        else
            list.set(i, scalarReader(items[i], type));
    }
}

template<typename T>
void storeField(const T &value, capnp::StructSchema::Field field,
                capnp::DynamicStruct::Builder builder)
{
    if constexpr (IsVector<T>::value) {
        if (!value.empty())
            storeList(value, field, builder);
    } else if constexpr (IsOptional<T>::value) {
        if (value)
            storeStruct(*value, builder.init(field).template as<capnp::DynamicStruct>());
    } else if constexpr (isStructLike<T>) {
        storeStruct(value, builder.init(field).template as<capnp::DynamicStruct>());
    } else {
        builder.set(field, scalarReader(value, field.getType()));
    }
}

/// @brief Writes a described struct or a variant of described structs.
/// @param value the value
/// @param builder receives the value; an empty struct of the schema type with the same name
template<typename T> void storeStruct(const T &value, capnp::DynamicStruct::Builder builder)
{
    if constexpr (IsVariant<T>::value) {
        const auto index = static_cast<unsigned int>(value.index());
        const auto field = builder.getSchema().getUnionFields()[index];
        std::visit(
            [&](const auto &item) {
                storeStruct(item, builder.init(field).template as<capnp::DynamicStruct>());
            },
            value);
    } else {
        const auto &fields = schemaFields<T>(builder.getSchema());
        std::size_t index = 0;
        forEachMember(value, [&](std::string_view, const auto &member) {
            storeField(member, fields[index++], builder);
        });
    }
}

template<typename T> void loadStruct(T &value, capnp::DynamicStruct::Reader reader);

template<typename T> void loadScalar(T &value, const capnp::DynamicValue::Reader &reader)
{
    if constexpr (std::is_same_v<T, std::string>) {
        if (reader.getType() == capnp::DynamicValue::DATA) {
            const auto data = reader.as<capnp::Data>();
            value.assign(reinterpret_cast<const char *>(data.begin()), data.size());
        } else {
            const auto text = reader.as<capnp::Text>();
            value.assign(text.cStr(), text.size());
        }
    } else if constexpr (std::is_enum_v<T>) {
        const auto raw = reader.as<capnp::DynamicEnum>();
        KJ_REQUIRE(raw.getEnumerant() != nullptr, "unknown enumerant");
        value = static_cast<T>(raw.getRaw());
    } else if constexpr (IsDuration<T>::value) {
        value = T(reader.as<std::int64_t>());
    } else if constexpr (IsTimePoint<T>::value) {
        value = T(typename T::duration(reader.as<std::int64_t>()));
    } else {
        value = reader.as<T>();
    }
}

template<typename Item>
void loadList(std::vector<Item> &items, const capnp::DynamicList::Reader &list)
{
    items.clear();
    items.reserve(list.size());
    for (const auto element : list) {
        Item item{};
        if constexpr (isStructLike<Item>)
            loadStruct(item, element.template as<capnp::DynamicStruct>());
        else
            loadScalar(item, element);
        items.push_back(std::move(item));
    }
}

template<typename T>
void loadField(T &value, capnp::StructSchema::Field field, capnp::DynamicStruct::Reader reader)
{
    if constexpr (IsVector<T>::value) {
        loadList(value, reader.get(field).template as<capnp::DynamicList>());
    } else if constexpr (IsOptional<T>::value) {
        value.reset();
        if (!reader.has(field))
            return;
        value.emplace();
        loadStruct(*value, reader.get(field).template as<capnp::DynamicStruct>());
    } else if constexpr (isStructLike<T>) {
        loadStruct(value, reader.get(field).template as<capnp::DynamicStruct>());
    } else {
        loadScalar(value, reader.get(field));
    }
}

/// @brief Reads a struct or variant that storeStruct() has written.
/// @param value receives the value
/// @param reader the struct to read
/// @throws kj::Exception on an unknown alternative or enumerant
template<typename T> void loadStruct(T &value, capnp::DynamicStruct::Reader reader)
{
    if constexpr (IsVariant<T>::value) {
        KJ_IF_MAYBE (field, reader.which()) {
            const std::size_t index = field->getProto().getDiscriminantValue();
            boost::mp11::mp_with_index<std::variant_size_v<T>>(index, [&](auto alternative) {
                loadStruct(value.template emplace<alternative>(),
                           reader.get(*field).template as<capnp::DynamicStruct>());
            });
        } else {
            KJ_FAIL_REQUIRE("unknown union alternative");
        }
    } else {
        const auto &fields = schemaFields<T>(reader.getSchema());
        std::size_t index = 0;
        forEachMember(value, [&](std::string_view, auto &member) {
            loadField(member, fields[index++], reader);
        });
    }
}

} // namespace chervilspring::detail
