// Tests the caller interface: a table of invalid requests, unauthenticated peers, and random bytes
// on every port.
#include "process_fixture.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <random>

namespace {

using namespace standins;
namespace asio = boost::asio;

// Sends raw bytes and returns what is received until the peer closes or 4 s have passed.
std::string sendRaw(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    std::array<char, 4096> chunk{};
    asio::steady_timer limit(context, seconds(4));
    limit.async_wait([&](boost::system::error_code) { socket.cancel(); });
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(chunk),
                               [&](boost::system::error_code e, std::size_t n) {
                                   answer.append(chunk.data(), n);
                                   if (e)
                                       limit.cancel();
                                   else
                                       read();
                               });
    };
    read();
    context.run();
    return answer;
}

std::string rawRequest(const std::string &line, const std::string &headers, const std::string &body)
{
    return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct BadCall
{
    std::string name_;
    std::string bytes_;
    std::string status_;
    std::string errorId_;
};

std::vector<BadCall> badCalls()
{
    const std::string post = "POST /v1/pipelines/note";
    const std::string credential = "Authorization: Bearer shop\r\n";
    return {
        {"bad JSON", rawRequest(post, credential, "{\"a\":"), "400", "CS-2001"},
        {"JSON that is not an object", rawRequest(post, credential, "[1]"), "400", "CS-2001"},
        {"empty body", rawRequest(post, credential, ""), "400", "CS-2001"},
        {"deeply nested JSON", rawRequest(post, credential, std::string(5000, '[')), "400",
         "CS-2001"},
        {"large body", rawRequest(post, credential, std::string(1100000, 'x')), "413", "CS-2002"},
        {"unknown pipeline", rawRequest("POST /v1/pipelines/nope", credential, "{}"), "404",
         "CS-2003"},
        {"missing credential", rawRequest(post, "", "{}"), "401", "CS-2004"},
        {"wrong credential", rawRequest(post, "Authorization: Bearer x\r\n", "{}"), "401",
         "CS-2004"},
        {"deadline of zero", rawRequest(post, credential + "X-Deadline-Ms: 0\r\n", "{}"), "400",
         "CS-2005"},
        {"negative deadline", rawRequest(post, credential + "X-Deadline-Ms: -5\r\n", "{}"), "400",
         "CS-2005"},
        {"deadline that is not a number",
         rawRequest(post, credential + "X-Deadline-Ms: soon\r\n", "{}"), "400", "CS-2005"},
        {"deadline above that of the pipeline",
         rawRequest(post, credential + "X-Deadline-Ms: 99999\r\n", "{}"), "400", "CS-2005"},
        {"key without a date", rawRequest(post, credential + "Idempotency-Key: abc\r\n", "{}"),
         "400", "CS-2006"},
        {"key with a future date",
         rawRequest(post, credential + "Idempotency-Key: 9999999999-abc\r\n", "{}"), "400",
         "CS-2006"},
        {"key that is too long",
         rawRequest(post,
                    credential + "Idempotency-Key: 1700000000-" + std::string(300, 'k') + "\r\n",
                    "{}"),
         "400", "CS-2006"},
        {"unknown path", rawRequest("GET /v2/nothing", credential, ""), "404", "CS-2007"},
        {"wrong method", rawRequest("GET /v1/pipelines/note", credential, ""), "405", "CS-2014"},
        {"unknown request", rawRequest("GET /v1/requests/e1.0-1-1", credential, ""), "404",
         "CS-2007"},
        {"malformed request id", rawRequest("GET /v1/requests/x", credential, ""), "404",
         "CS-2007"},
        {"not HTTP", "hello there\r\n\r\n", "400", "CS-2001"},
    };
}

BOOST_AUTO_TEST_CASE(bad_calls_get_a_clear_answer)
{
    TestFleet fleet("callers-bad");
    for (const BadCall &call : badCalls()) {
        const std::string answer = sendRaw(fleet.fixture_.httpPort("e1"), call.bytes_);
        BOOST_TEST(answer.find("HTTP/1.1 " + call.status_) == 0u, call.name_ << ": " << answer);
        BOOST_TEST(answer.find("\"id\":\"" + call.errorId_ + "\"") != std::string::npos,
                   call.name_ << ": " << answer);
        BOOST_TEST(answer.find("\"ran\":\"not_run\"") != std::string::npos, call.name_);
    }
    // An incomplete request is closed without an answer after the read timeout of 1 s.
    BOOST_TEST(
        sendRaw(fleet.fixture_.httpPort("e1"), "POST /v1/pipelines/note HTTP/1.1\r\nHo").empty());
    // Requests of an account that exceeds its limits are refused, those of others are not.
    std::string limited;
    for (int i = 0; i < 20 && limited.empty(); ++i) {
        const CallerAnswer answer =
            fleet.fixture_.call("e1", "note", "tight", "{\"marker\":\"m\"}");
        if (answer.status_ == 429)
            limited = answer.body_;
    }
    BOOST_TEST(limited.find("CS-2010") != std::string::npos);
    BOOST_TEST(fleet.fixture_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    BOOST_TEST(fleet.fixture_.stopAll().empty());
}

BOOST_AUTO_TEST_CASE(random_bytes_and_unauthenticated_peers_are_rejected)
{
    TestFleet fleet("callers-garbage");
    std::mt19937_64 random(5);
    std::vector<std::uint16_t> ports;
    for (const char *name : {"c1", "index-1"}) {
        ports.push_back(fleet.fixture_.peerPort(name));
        ports.push_back(fleet.fixture_.httpPort(name));
    }
    ports.push_back(fleet.fixture_.httpPort("e1"));
    std::vector<std::future<std::string>> answers;
    for (const std::uint16_t port : ports) {
        for (int i = 0; i < 6; ++i) {
            std::string bytes(1 + random() % 4000, '\0');
            for (char &byte : bytes)
                byte = static_cast<char>(random());
            answers.push_back(
                std::async(std::launch::async, [port, bytes] { return sendRaw(port, bytes); }));
        }
    }
    for (auto &answer : answers)
        answer.get();
    // An unauthenticated peer receives only the greeting of the handshake before the close.
    BOOST_TEST(sendRaw(fleet.fixture_.peerPort("c1"), std::string(200, 'a')).size() < 100u);
    BOOST_TEST(fleet.fixture_.http("c1", "GET", "/v1/status", "", "wrong").status_ == 401u);
    BOOST_TEST(fleet.fixture_.http("c1", "POST", "/v1/drain", "{}", "").status_ == 401u);
    BOOST_TEST(fleet.order("e2", "after", newKey("after")).status_ == 200u);
    BOOST_TEST(fleet.fixture_.stopAll().empty());
}

} // namespace
