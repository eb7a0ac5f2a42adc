#include "chervilspring/detail/net/http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr std::size_t maxIdle = 64; // connections kept open to one server
constexpr auto connectLimit = milliseconds(1000);

http::request<http::string_body> makeRequest(const HttpCall &call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method_), call.target_, 11);
    request.set(http::field::host, call.address_ + ":" + std::to_string(call.port_));
    request.set(http::field::content_type, "application/json");
    for (const HttpHeader &header : call.headers_)
        request.set(header.name_, header.value_);
    request.keep_alive(call.reuse_);
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

// Cuts whole events out of the text read so far.
// searched: bytes of the text in which no event ends
void takeEvents(std::string &text, std::size_t &searched,
                const std::function<void(const std::string &)> &onEvent)
{
    static constexpr std::string_view prefix = "data: ";
    std::size_t begin = 0;
    for (auto end = text.find("\n\n", searched); end != std::string::npos;
         end = text.find("\n\n", begin)) {
        const std::string event = text.substr(begin, end - begin);
        begin = end + 2;
        if (event.starts_with(prefix))
            onEvent(event.substr(prefix.size()));
    }
    text.erase(0, begin);
    searched = text.empty() ? 0 : text.size() - 1;
}

std::string serverOf(const HttpCall &call)
{
    return call.address_ + ":" + std::to_string(call.port_);
}

HttpCallEnd endOf(const boost::system::error_code &error)
{
    return error == beast::error::timeout ? HttpCallEnd::TimedOut : HttpCallEnd::Broken;
}

} // namespace

HttpClient::HttpClient(asio::io_context &context) : context_(context) { }

asio::awaitable<HttpCallResult>
HttpClient::perform(HttpCall call, std::function<void(const std::string &)> onEvent)
{
    const std::string server = serverOf(call);
    bool gotBytes = false;
    if (auto connection = call.reuse_ ? idle_.take(server) : nullptr) {
        HttpCallResult result = co_await performOn(std::move(connection), call, onEvent, gotBytes);
        if (result.end_ == HttpCallEnd::TimedOut && !gotBytes) {
            idle_.drop(server);
            result.detail_ += " (idle connection)";
        }
        // An idle connection may have been closed by the server; a new one decides.
        if (result.end_ != HttpCallEnd::Broken || gotBytes)
            co_return result;
    }
    auto connection = std::make_unique<UpstreamConnection>(context_);
    beast::tcp_stream &stream = connection->stream_;
    stream.expires_after(std::min<nanoseconds>(connectLimit, call.limit_));
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(call.address_), call.port_);
    co_await stream.async_connect(endpoint, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return HttpCallResult{HttpCallEnd::Unreachable, 0, {}, {}, error.message(), {}, {}};
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return co_await performOn(std::move(connection), call, onEvent, gotBytes);
}

asio::awaitable<HttpCallResult>
HttpClient::performOn(UpstreamConnectionPointer connection, const HttpCall &call,
                      std::function<void(const std::string &)> onEvent, bool &gotBytes)
{
    boost::system::error_code error;
    beast::tcp_stream &stream = connection->stream_;
    beast::flat_buffer &buffer = connection->buffer_;
    stream.expires_after(call.limit_);
    const auto request = makeRequest(call);
    co_await http::async_write(stream, request, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return HttpCallResult{endOf(error), 0, {}, {}, error.message(), {}, {}};
    http::response_parser<http::string_body> parser;
    if (onEvent)
        parser.body_limit(boost::none); // events are bounded one by one
    else
        parser.body_limit(call.answerLimit_);
    ReadAmount amount;
    co_await readHead(stream, buffer, parser, amount, error);
    gotBytes = gotBytes || parser.got_some() || buffer.size() > 0;
    std::string text;
    std::size_t searched = 0;
    while (!error && !parser.is_done()) {
        const std::size_t before = parser.get().body().size();
        co_await readStep(stream, buffer, parser, amount, error);
        amount.body_ += parser.get().body().size() - before;
        if (!error && !isAllowed(amount))
            error = http::error::body_limit;
        if (!onEvent)
            continue;
        text += parser.get().body();
        parser.get().body().clear();
        takeEvents(text, searched, onEvent);
        if (text.size() > call.answerLimit_)
            error = http::error::body_limit;
    }
    if (error)
        co_return HttpCallResult{endOf(error), 0, {}, {}, error.message(), {}, {}};
    HttpCallResult result;
    result.end_ = HttpCallEnd::Answered;
    result.status_ = parser.get().result_int();
    result.contentType_ = std::string(parser.get()[http::field::content_type]);
    result.requestId_ = std::string(parser.get()["X-Request-Id"]);
    for (const auto &field : parser.get())
        result.headers_.push_back({std::string(field.name_string()), std::string(field.value())});
    stream.expires_never();
    if (call.reuse_ && parser.get().keep_alive())
        idle_.keep(serverOf(call), std::move(connection), parser.get().base(), maxIdle);
    result.body_ = std::move(parser.get().body());
    co_return result;
}

} // namespace chervilspring
