// Tests detail/net/forwarded_heads.hpp: which headers are forwarded and which are removed.
#include "chervilspring/detail/net/forwarded_heads.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace http = boost::beast::http;

DirectProtocol testProtocol()
{
    DirectProtocol protocol{};
    protocol.isReservedHeader_ = [](std::string_view name) { return name == "Own"; };
    protocol.runHeaders_ = [](const StartRun &) { return std::vector<HttpHeader>{{"Added", "1"}}; };
    return protocol;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(connection_specific_and_internal_headers_are_removed)
{
    HttpRequest request(http::verb::post, "/path?query=1", 11);
    request.set("Kept", "a");
    request.set("Own", "b");
    request.set("Hop", "c");
    request.set(http::field::connection, "keep-alive, Hop");
    request.set(http::field::keep_alive, "timeout=5");
    request.set(http::field::transfer_encoding, "chunked");
    request.body() = "12345";
    const std::string head = forwardedRequestHead(request, testProtocol(), StartRun{});
    BOOST_TEST(head.starts_with("POST /path?query=1 HTTP/1.1\r\n"));
    BOOST_TEST(contains(head, "Kept: a\r\n"));
    BOOST_TEST(contains(head, "Added: 1\r\n"));
    BOOST_TEST(contains(head, "Content-Length: 5\r\n"));
    BOOST_TEST(head.ends_with("\r\n\r\n"));
    for (const char *removed : {"Own:", "Hop:", "Connection:", "Keep-Alive:", "Transfer-Encoding:"})
        BOOST_TEST(!contains(head, removed), removed);
}

BOOST_AUTO_TEST_CASE(answer_head_keeps_status_and_omits_framing_headers)
{
    http::response_header<> answer;
    answer.result(503);
    answer.reason("Busy");
    answer.set("Kept", "a");
    answer.set(http::field::content_length, "7");
    answer.set(http::field::connection, "close");
    const std::string head = forwardedAnswerHead(answer);
    BOOST_TEST(head == "HTTP/1.1 503 Busy\r\nKept: a\r\n");
}

} // namespace
