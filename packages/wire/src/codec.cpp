#include "chervilspring/codec.hpp"

#include "chervilspring/detail/wire/convert.hpp"
#include "fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

namespace chervilspring {

namespace {

constexpr int nestingLimit = 32; // levels of structs and lists inside each other

template<typename SchemaType, typename T> std::string encode(const T &value)
{
    capnp::MallocMessageBuilder builder;
    detail::storeStruct(value,
                        builder.initRoot<capnp::DynamicStruct>(capnp::Schema::from<SchemaType>()));
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

leaf::error_id invalidFrame(const std::string &detail)
{
    return leaf::new_error(Error{ErrorId::FrameInvalid, "decode", "", detail});
}

template<typename SchemaType, typename T> leaf::result<T> decode(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return invalidFrame("length is not a positive multiple of 8");
    // Copies the bytes, as they may be unaligned and the reader needs word alignment.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    T value{};
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions options;
        // Prevents pointers that refer to the same data from multiplying the work of decoding.
        options.traversalLimitInWords = 4 * words.size() + 1024;
        options.nestingLimit = nestingLimit;
        capnp::FlatArrayMessageReader reader(words, options);
        detail::loadStruct(value,
                           reader.getRoot<capnp::DynamicStruct>(capnp::Schema::from<SchemaType>()));
    });
    KJ_IF_MAYBE (exception, failure)
        return invalidFrame(exception->getDescription().cStr());
    return value;
}

} // namespace

std::string encodeMessage(const Message &message)
{
    return encode<schema::Message>(message);
}

leaf::result<Message> decodeMessage(std::string_view bytes)
{
    return decode<schema::Message, Message>(bytes);
}

std::string encodeEntry(const LogEntry &entry)
{
    return encode<schema::LogEntry>(entry);
}

leaf::result<LogEntry> decodeEntry(std::string_view bytes)
{
    return decode<schema::LogEntry, LogEntry>(bytes);
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    return encode<schema::Snapshot>(snapshot);
}

leaf::result<Snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode<schema::Snapshot, Snapshot>(bytes);
}

} // namespace chervilspring
