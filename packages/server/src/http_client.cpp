#include "chervilspring/detail/net/http_client.hpp"

#include "chervilspring/detail/net/connect.hpp"
#include "chervilspring/digest.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chervilspring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr std::size_t maxIdlePerServer = 64; // idle connections
constexpr auto connectTimeout = milliseconds(1000);
constexpr std::size_t maxAnswerDigests = 64; // of a connection
constexpr unsigned successStatusClass = 2; // 2xx

std::string serverKey(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

http::request<http::string_body> makeRequest(const HttpCall &call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method_), call.target_, 11);
    request.set(http::field::host, serverKey(call.address_, call.port_));
    request.set(http::field::content_type, "application/json");
    for (const HttpHeader &header : call.headers_)
        request.set(header.name_, header.value_);
    request.keep_alive(call.reuse_);
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

// Removes complete events from the pending text and passes their data to onEvent. No separator
// starts before searchOffset in pending; the offset is updated.
void extractEvents(std::string &pending, std::size_t &searchOffset,
                   const std::function<void(const std::string &)> &onEvent)
{
    static constexpr std::string_view prefix = "data: ";
    std::size_t begin = 0;
    for (auto end = pending.find("\n\n", searchOffset); end != std::string::npos;
         end = pending.find("\n\n", begin)) {
        const std::string event = pending.substr(begin, end - begin);
        begin = end + 2;
        if (event.starts_with(prefix))
            onEvent(event.substr(prefix.size()));
    }
    pending.erase(0, begin);
    searchOffset = pending.empty() ? 0 : pending.size() - 1;
}

// Records the body of an answer. Returns false if the connection had one like it before.
bool isNewAnswer(UpstreamConnection &connection, const std::string &body)
{
    auto &digests = connection.answerDigests_;
    const std::uint64_t digest = contentDigest(body);
    if (std::find(digests.begin(), digests.end(), digest) != digests.end())
        return false;
    digests.push_back(digest);
    if (digests.size() > maxAnswerDigests)
        digests.pop_front();
    return true;
}

HttpCallEnd toCallEnd(const boost::system::error_code &error)
{
    return error == beast::error::timeout ? HttpCallEnd::TimedOut : HttpCallEnd::Broken;
}

} // namespace

HttpClient::HttpClient(asio::io_context &context) : context_(context) { }

asio::awaitable<HttpCallResult>
HttpClient::perform(HttpCall call, std::function<void(const std::string &)> onEvent)
{
    const std::string server = serverKey(call.address_, call.port_);
    bool receivedBytes = false;
    if (auto connection = call.reuse_ ? idle_.take(server) : nullptr) {
        HttpCallResult result =
            co_await performOn(std::move(connection), call, onEvent, receivedBytes);
        if (result.end_ == HttpCallEnd::TimedOut && !receivedBytes) {
            idle_.closeAll(server);
            result.detail_ += " (idle connection)";
        }
        // The server may have closed the idle connection; retry on a new one.
        if (result.end_ != HttpCallEnd::Broken || receivedBytes)
            co_return result;
    }
    auto connection = std::make_shared<UpstreamConnection>(context_);
    beast::tcp_stream &stream = connection->stream_;
    stream.expires_after(std::min<nanoseconds>(connectTimeout, call.limit_));
    boost::system::error_code error;
    co_await connectTo(stream, call.address_, call.port_, error);
    if (error)
        co_return HttpCallResult{HttpCallEnd::Unreachable, 0, {}, {}, error.message(), {}, {}};
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return co_await performOn(std::move(connection), call, onEvent, receivedBytes);
}

void HttpClient::closeIdle(const std::string &address, std::uint16_t port)
{
    idle_.closeAll(serverKey(address, port));
}

asio::awaitable<HttpCallResult>
HttpClient::performOn(UpstreamConnectionPointer connection, const HttpCall &call,
                      std::function<void(const std::string &)> onEvent, bool &receivedBytes)
{
    boost::system::error_code error;
    beast::tcp_stream &stream = connection->stream_;
    beast::flat_buffer &buffer = connection->buffer_;
    stream.expires_after(call.limit_);
    const auto request = makeRequest(call);
    co_await http::async_write(stream, request, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return HttpCallResult{toCallEnd(error), 0, {}, {}, error.message(), {}, {}};
    http::response_parser<http::string_body> parser;
    if (onEvent)
        parser.body_limit(boost::none); // the size of each event is limited instead
    else
        parser.body_limit(call.answerLimit_);
    MessageSize messageSize;
    co_await readHead(stream, buffer, parser, messageSize, error);
    receivedBytes = receivedBytes || parser.got_some() || buffer.size() > 0;
    // The body of an answer that is no success is a message, whatever its form.
    const bool passesEvents = onEvent && parser.get().result_int() / 100 == successStatusClass;
    std::string pending;
    std::size_t searchOffset = 0;
    while (!error && !parser.is_done()) {
        const std::size_t previousSize = parser.get().body().size();
        co_await parseOrReadSome(stream, buffer, parser, messageSize, error);
        messageSize.bodyBytes_ += parser.get().body().size() - previousSize;
        if (!error && !isWithinLimit(messageSize))
            error = http::error::body_limit;
        if (!passesEvents) {
            if (parser.get().body().size() > call.answerLimit_)
                error = http::error::body_limit;
            continue;
        }
        pending += parser.get().body();
        parser.get().body().clear();
        extractEvents(pending, searchOffset, onEvent);
        if (pending.size() > call.answerLimit_)
            error = http::error::body_limit;
    }
    if (error)
        co_return HttpCallResult{toCallEnd(error), 0, {}, {}, error.message(), {}, {}};
    if (call.distinctAnswers_ && !isNewAnswer(*connection, parser.get().body()))
        co_return HttpCallResult{
            HttpCallEnd::Broken, 0, {}, {}, "an earlier answer was sent again", {}, {}};
    HttpCallResult result;
    result.end_ = HttpCallEnd::Answered;
    result.status_ = parser.get().result_int();
    result.contentType_ = std::string(parser.get()[http::field::content_type]);
    result.requestId_ = std::string(parser.get()["X-Request-Id"]);
    for (const auto &field : parser.get())
        result.headers_.push_back({std::string(field.name_string()), std::string(field.value())});
    stream.expires_never();
    if (call.reuse_ && parser.get().keep_alive())
        idle_.keep(serverKey(call.address_, call.port_), std::move(connection), parser.get().base(),
                   maxIdlePerServer);
    result.body_ = std::move(parser.get().body());
    co_return result;
}

} // namespace chervilspring
