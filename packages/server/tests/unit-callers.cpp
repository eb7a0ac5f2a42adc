// Covers the caller interface: every bad request in one table, strangers, garbage at every port.
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

// Sends raw bytes and reads until the other side closes, at most for a while.
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
    const std::string key = "Authorization: Bearer shop\r\n";
    return {
        {"bad JSON", rawRequest(post, key, "{\"a\":"), "400", "CS-2001"},
        {"JSON that is no object", rawRequest(post, key, "[1]"), "400", "CS-2001"},
        {"empty body", rawRequest(post, key, ""), "400", "CS-2001"},
        {"deep JSON", rawRequest(post, key, std::string(5000, '[')), "400", "CS-2001"},
        {"large body", rawRequest(post, key, std::string(1100000, 'x')), "413", "CS-2002"},
        {"no such pipeline", rawRequest("POST /v1/pipelines/nope", key, "{}"), "404", "CS-2003"},
        {"no credential", rawRequest(post, "", "{}"), "401", "CS-2004"},
        {"wrong credential", rawRequest(post, "Authorization: Bearer x\r\n", "{}"), "401",
         "CS-2004"},
        {"deadline of zero", rawRequest(post, key + "X-Deadline-Ms: 0\r\n", "{}"), "400",
         "CS-2005"},
        {"deadline in the past", rawRequest(post, key + "X-Deadline-Ms: -5\r\n", "{}"), "400",
         "CS-2005"},
        {"deadline that is no number", rawRequest(post, key + "X-Deadline-Ms: soon\r\n", "{}"),
         "400", "CS-2005"},
        {"deadline over the pipeline's", rawRequest(post, key + "X-Deadline-Ms: 99999\r\n", "{}"),
         "400", "CS-2005"},
        {"key without a date", rawRequest(post, key + "Idempotency-Key: abc\r\n", "{}"), "400",
         "CS-2006"},
        {"key from the future", rawRequest(post, key + "Idempotency-Key: 9999999999-abc\r\n", "{}"),
         "400", "CS-2006"},
        {"key that is too long",
         rawRequest(post, key + "Idempotency-Key: 1700000000-" + std::string(300, 'k') + "\r\n",
                    "{}"),
         "400", "CS-2006"},
        {"unknown path", rawRequest("GET /v2/nothing", key, ""), "404", "CS-2007"},
        {"wrong method", rawRequest("GET /v1/pipelines/note", key, ""), "405", "CS-2014"},
        {"unknown request", rawRequest("GET /v1/requests/e1.0-1-1", key, ""), "404", "CS-2007"},
        {"malformed request id", rawRequest("GET /v1/requests/x", key, ""), "404", "CS-2007"},
        {"not HTTP", "hello there\r\n\r\n", "400", "CS-2001"},
    };
}

BOOST_AUTO_TEST_CASE(bad_calls_get_a_clear_answer)
{
    TestTown town("callers-bad");
    for (const BadCall &call : badCalls()) {
        const std::string answer = sendRaw(town.fleet_.httpPort("e1"), call.bytes_);
        BOOST_TEST(answer.find("HTTP/1.1 " + call.status_) == 0u, call.name_ << ": " << answer);
        BOOST_TEST(answer.find("\"id\":\"" + call.errorId_ + "\"") != std::string::npos,
                   call.name_ << ": " << answer);
        BOOST_TEST(answer.find("\"ran\":\"not_run\"") != std::string::npos, call.name_);
    }
    // A half-sent request is closed after the read timeout of one second.
    BOOST_TEST(
        sendRaw(town.fleet_.httpPort("e1"), "POST /v1/pipelines/note HTTP/1.1\r\nHo").empty());
    // An account over its limits is told when to come back.
    std::string limited;
    for (int i = 0; i < 20 && limited.empty(); ++i) {
        const CallerAnswer answer = town.fleet_.call("e1", "note", "tight", "{\"marker\":\"m\"}");
        if (answer.status_ == 429)
            limited = answer.body_;
    }
    BOOST_TEST(limited.find("CS-2010") != std::string::npos);
    BOOST_TEST(town.fleet_.call("e1", "note", "shop", "{\"marker\":\"m\"}").status_ == 200u);
    BOOST_TEST(town.fleet_.stopAll().empty());
}

BOOST_AUTO_TEST_CASE(garbage_and_strangers_get_nothing_and_break_nothing)
{
    TestTown town("callers-garbage");
    std::mt19937_64 random(5);
    std::vector<std::uint16_t> ports;
    for (const char *name : {"c1", "index-1"}) {
        ports.push_back(town.fleet_.peerPort(name));
        ports.push_back(town.fleet_.httpPort(name));
    }
    ports.push_back(town.fleet_.httpPort("e1"));
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
    // A stranger sees the greeting of the handshake and then the end of the connection.
    BOOST_TEST(sendRaw(town.fleet_.peerPort("c1"), std::string(200, 'a')).size() < 100u);
    BOOST_TEST(town.fleet_.http("c1", "GET", "/v1/status", "", "wrong").status_ == 401u);
    BOOST_TEST(town.fleet_.http("c1", "POST", "/v1/drain", "{}", "").status_ == 401u);
    BOOST_TEST(town.order("e2", "after", newKey("after")).status_ == 200u);
    BOOST_TEST(town.fleet_.stopAll().empty());
}

} // namespace
