#include "chervilspring/detail/net/forwarded_heads.hpp"

#include <algorithm>

namespace chervilspring {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Whether a header holds for one connection only: connection-specific headers (RFC 9110, 7.6.1),
// proxy authentication, and Content-Length and Expect, since the body is framed anew.
bool isConnectionHeader(std::string_view name)
{
    static constexpr std::string_view names[] = {
        "Connection",          "Keep-Alive", "Proxy-Connection",  "Transfer-Encoding",
        "Proxy-Authorization", "TE",         "Trailer",           "Upgrade",
        "Content-Length",      "Expect",     "Proxy-Authenticate"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view known) { return beast::iequals(known, name); });
}

// Whether the header Connection lists a header as connection-specific.
template<typename Fields> bool isNamedInConnection(const Fields &fields, std::string_view name)
{
    const auto value = fields[http::field::connection];
    return !value.empty() && http::token_list(value).exists(name);
}

} // namespace

std::string forwardedRequestHead(const HttpRequest &request, const DirectProtocol &protocol,
                                 const StartRun &run)
{
    std::string head(request.method_string());
    head += " ";
    head += request.target();
    head += " HTTP/1.1\r\n";
    for (const auto &field : request) {
        const std::string_view name = field.name_string();
        if (isConnectionHeader(name) || isNamedInConnection(request, name)
            || protocol.isReservedHeader_(name))
            continue;
        head += name;
        head += ": ";
        head += field.value();
        head += "\r\n";
    }
    for (const HttpHeader &header : protocol.runHeaders_(run))
        head += header.name_ + ": " + header.value_ + "\r\n";
    const bool hasBody = !request.body().empty() || request.method() == http::verb::post
        || request.method() == http::verb::put;
    if (hasBody)
        head += "Content-Length: " + std::to_string(request.body().size()) + "\r\n";
    return head + "\r\n";
}

std::string forwardedAnswerHead(const http::response_header<> &head)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(head.result_int()) + " " + std::string(head.reason()) + "\r\n";
    for (const auto &field : head) {
        const std::string_view name = field.name_string();
        if (isConnectionHeader(name) || isNamedInConnection(head, name))
            continue;
        text += name;
        text += ": ";
        text += field.value();
        text += "\r\n";
    }
    return text;
}

} // namespace chervilspring
