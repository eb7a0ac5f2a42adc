/// @file
/// @brief Limits on what is read from the peer of a connection, and the length of its messages.
///
/// Beast's parser applies its limits only to the bytes that are in the buffer at one time: a head
/// or trailer that arrives in small pieces bypasses them, and the header line of a chunk has no
/// limit.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace chervilspring {

/// @brief Maximum bytes of a head, and of buffered bytes that could not be parsed yet.
inline constexpr std::size_t maxUnparsedBytes = 64u << 10;

/// @brief Maximum bytes per read.
inline constexpr std::size_t maxReadBytes = 16u << 10;

/// @brief Maximum bytes of chunk headers and trailers per byte of the body.
inline constexpr std::size_t maxOverheadPerBodyByte =
    8; // a chunk with one byte of data has 6 bytes

/// @brief Bytes of one message that were read so far.
struct MessageSize
{
    std::size_t totalBytes_ = 0; ///< bytes that the parser consumed
    std::size_t bodyBytes_ = 0; ///< bytes of the body among them
};

/// @brief Whether the bytes outside the body are within the limits.
inline bool isWithinLimit(const MessageSize &messageSize)
{
    return messageSize.totalBytes_ - messageSize.bodyBytes_
        <= maxUnparsedBytes + maxOverheadPerBodyByte * messageSize.bodyBytes_;
}

/// @brief Whether the head of a message tells without doubt where its body ends.
///
/// Beast's parser ignores a transfer coding that does not end in chunked. Another process that
/// evaluates it would take other bytes for the body (RFC 9112, sections 6.1 and 6.3).
/// @param head a complete request or response head
/// @return false if it has a transfer coding other than exactly one "chunked", a content length
/// beside one, or one in HTTP/1.0
template<typename Head> bool hasClearLength(const Head &head)
{
    namespace http = boost::beast::http;
    constexpr unsigned http11 = 11;
    const auto codings = head.equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second)
        return true;
    return std::next(codings.first) == codings.second
        && boost::beast::iequals(codings.first->value(), "chunked") && head.version() >= http11
        && head.count(http::field::content_length) == 0;
}

/// @brief Advances the reading of a message by one step: parses buffered bytes, or reads more bytes
/// if none could be parsed.
///
/// Replaces Beast's own read functions, which do not return as long as lines keep arriving, so that
/// the limits can be checked between steps.
/// @param messageSize totalBytes_ is updated; updating bodyBytes_ is left to the caller
/// @param error receives the error of the connection or the parser, or buffer_overflow if a line
/// does not fit into the buffer
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> parseOrReadSome(Stream &stream, Buffer &buffer, Parser &parser,
                                             MessageSize &messageSize,
                                             boost::system::error_code &error)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    if (buffer.size() > 0) {
        const std::size_t parsed = parser.put(buffer.data(), error);
        buffer.consume(parsed);
        messageSize.totalBytes_ += parsed;
        if (error == http::error::need_more)
            error = {};
        if (error || parsed > 0)
            co_return;
    }
    const std::size_t room = std::min(buffer.max_size() - buffer.size(), maxReadBytes);
    if (room == 0) {
        error = http::error::buffer_overflow;
        co_return;
    }
    const std::size_t count = co_await stream.async_read_some(
        buffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(count);
    if (error != asio::error::eof)
        co_return;
    error = {};
    if (parser.got_some())
        parser.put_eof(error);
    else
        error = http::error::end_of_stream;
}

/// @brief Reads until the head of a message is complete.
/// @param messageSize receives the numbers of bytes
/// @param error receives header_limit if the head is too long, and bad_transfer_encoding if the
/// length of the body is unclear
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> readHead(Stream &stream, Buffer &buffer, Parser &parser,
                                      MessageSize &messageSize, boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    while (!error && !parser.is_header_done()) {
        co_await parseOrReadSome(stream, buffer, parser, messageSize, error);
        if (!error && !isWithinLimit(messageSize))
            error = http::error::header_limit;
    }
    if (!error && !hasClearLength(parser.get()))
        error = http::error::bad_transfer_encoding;
}

/// @brief Reads the rest of a message with a string body.
/// @param messageSize receives the numbers of bytes
/// @param error receives body_limit if there are too many bytes outside the body
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> readBody(Stream &stream, Buffer &buffer, Parser &parser,
                                      MessageSize &messageSize, boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    while (!error && !parser.is_done()) {
        co_await parseOrReadSome(stream, buffer, parser, messageSize, error);
        messageSize.bodyBytes_ = parser.get().body().size();
        if (!error && !isWithinLimit(messageSize))
            error = http::error::body_limit;
    }
}

} // namespace chervilspring
