/// @file
/// @brief Bounds on what is read from the other end of a connection.
///
/// The parser's own limits hold for what lies in the buffer at once: a head or trailer that comes
/// in small pieces passes them, and a line of a chunk has none.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>

namespace chervilspring {

/// @brief Most bytes that are read without being understood, and of a head.
inline constexpr std::size_t maxUnparsedBytes = 64u << 10;

/// @brief Most bytes that are read at once.
inline constexpr std::size_t readAtOnce = 16u << 10;

/// @brief Most bytes of chunk lines and trailers for each byte of a body.
inline constexpr std::size_t maxOverhead = 8; // a chunk of one byte has six

/// @brief What was read of one message.
struct ReadAmount
{
    std::size_t all_ = 0; ///< bytes that the parser took
    std::size_t body_ = 0; ///< of them, those of the body
};

/// @brief Whether so much besides the body may be part of a message.
inline bool isAllowed(const ReadAmount &amount)
{
    return amount.all_ - amount.body_ <= maxUnparsedBytes + maxOverhead * amount.body_;
}

/// @brief Takes a step in reading a message: parses what is in the buffer, or reads more.
///
/// The parser's own reads go on inside for as long as lines come, without a bound on them.
/// @param amount its all_ counts what the parser takes; body_ is left to the caller
/// @param error receives what went wrong: of the connection, the parser, or buffer_overflow for a
/// line that doesn't fit into the buffer
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> readStep(Stream &stream, Buffer &buffer, Parser &parser,
                                      ReadAmount &amount, boost::system::error_code &error)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    if (buffer.size() > 0) {
        const std::size_t taken = parser.put(buffer.data(), error);
        buffer.consume(taken);
        amount.all_ += taken;
        if (error == http::error::need_more)
            error = {};
        if (error || taken > 0)
            co_return;
    }
    const std::size_t room = std::min(buffer.max_size() - buffer.size(), readAtOnce);
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
/// @param amount counts what is read
/// @param error receives header_limit if the head is too long
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> readHead(Stream &stream, Buffer &buffer, Parser &parser,
                                      ReadAmount &amount, boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    while (!error && !parser.is_header_done()) {
        co_await readStep(stream, buffer, parser, amount, error);
        if (!error && !isAllowed(amount))
            error = http::error::header_limit;
    }
}

/// @brief Reads until a message with a string as its body is complete.
/// @param amount counts what is read
/// @param error receives body_limit if there is too much besides the body
template<typename Stream, typename Buffer, typename Parser>
boost::asio::awaitable<void> readRest(Stream &stream, Buffer &buffer, Parser &parser,
                                      ReadAmount &amount, boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    while (!error && !parser.is_done()) {
        co_await readStep(stream, buffer, parser, amount, error);
        amount.body_ = parser.get().body().size();
        if (!error && !isAllowed(amount))
            error = http::error::body_limit;
    }
}

} // namespace chervilspring
