// Tests detail/net/frame.hpp and peer_network.hpp: unresponsive connections, rejected handshakes,
// delayed frames.
#include "chervilspring/detail/net/frame.hpp"
#include "chervilspring/detail/net/peer_network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <list>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
using asio::ip::tcp;

// Forwards bytes in both directions. After stopForwarding(), connections that were open stay open
// but forward nothing; new connections work.
class Forwarder
{
public:
    Forwarder(asio::io_context &context, std::uint16_t target)
        : context_(context), target_(target),
          acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context_, acceptLoop(), asio::detached);
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void stopForwarding() { ++generation_; }
    void close() { acceptor_.close(); }
    int connections() const { return connectionCount_; }

private:
    struct ForwardedConnection
    {
        tcp::socket diallerSocket_;
        tcp::socket listenerSocket_;
        int generation_; ///< generation of the forwarder when the connection was accepted
    };

    asio::awaitable<void> acceptLoop()
    {
        while (acceptor_.is_open()) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            auto connection = std::make_shared<ForwardedConnection>(
                ForwardedConnection{std::move(socket), tcp::socket(context_), generation_});
            ++connectionCount_;
            co_await connection->listenerSocket_.async_connect(
                {asio::ip::make_address("127.0.0.1"), target_},
                asio::redirect_error(asio::use_awaitable, error));
            asio::co_spawn(
                context_, copy(connection, connection->diallerSocket_, connection->listenerSocket_),
                asio::detached);
            asio::co_spawn(
                context_, copy(connection, connection->listenerSocket_, connection->diallerSocket_),
                asio::detached);
        }
    }

    asio::awaitable<void> copy(std::shared_ptr<ForwardedConnection> connection, tcp::socket &from,
                               tcp::socket &to)
    {
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = co_await from.async_read_some(
                asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            if (error || connection->generation_ != generation_)
                continue;
            co_await asio::async_write(to, asio::buffer(chunk.data(), count),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        boost::system::error_code ignored;
        if (connection->generation_ == generation_)
            to.close(ignored);
    }

    asio::io_context &context_;
    std::uint16_t target_;
    tcp::acceptor acceptor_;
    int generation_ = 0; ///< number of calls of stopForwarding()
    int connectionCount_ = 0;
};

// A peer that records the names of the peers it received messages from or lost.
struct TestPeer
{
    TestPeer(asio::io_context &context, const std::string &name, const std::string &secret)
        : network_(context, PeerIdentity{name, 1}, secret,
                   PeerHandlers{[this](const std::string &peer, Message message) {
                                    if (!std::holds_alternative<Ping>(message))
                                        received_.push_back(peer);
                                },
                                [this](const std::string &peer) { lost_.push_back(peer); },
                                {}})
    { }

    std::vector<std::string> received_;
    std::vector<std::string> lost_;
    PeerNetwork network_;
};

// Runs the context until the condition holds. Returns false if it does not hold after 20 s.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const Instant deadline = BootClock::now() + seconds(20);
    while (!condition() && BootClock::now() < deadline)
        context.run_for(milliseconds(10));
    return condition();
}

BOOST_AUTO_TEST_CASE(silent_connection_is_replaced_by_a_new_one)
{
    asio::io_context context;
    TestPeer listener(context, "u1", "a-secret-of-the-fleet");
    TestPeer dialler(context, "e1", "a-secret-of-the-fleet");
    Forwarder forwarder(context, listener.network_.listen("127.0.0.1", 0));
    dialler.network_.setAddress("u1", PeerAddress{"127.0.0.1", forwarder.port()});
    dialler.network_.send("u1", Cancel{});
    BOOST_REQUIRE(runUntil(context, [&] { return listener.received_.size() == 1; }));
    forwarder.stopForwarding();
    dialler.network_.send("u1", Cancel{});
    BOOST_REQUIRE(runUntil(context, [&] { return dialler.lost_.size() == 1; }));
    BOOST_TEST(listener.received_.size() == 1u);
    dialler.network_.send("u1", Cancel{});
    BOOST_TEST(runUntil(context, [&] { return listener.received_.size() == 2; }));
    BOOST_TEST(forwarder.connections() == 2);
    forwarder.close();
    listener.network_.close();
    dialler.network_.close();
}

// Guards against a message that is kept for a connection that nobody opens, because the last
// attempt failed a moment ago: its sender was told neither of an answer nor of a loss.
BOOST_AUTO_TEST_CASE(message_soon_after_a_failed_connection_is_sent_or_reported_lost)
{
    asio::io_context context;
    TestPeer dialler(context, "e1", "a-secret-of-the-fleet");
    tcp::acceptor unused(context, {asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = unused.local_endpoint().port();
    unused.close();
    dialler.network_.setAddress("u1", PeerAddress{"127.0.0.1", port});
    dialler.network_.send("u1", Cancel{});
    BOOST_REQUIRE(runUntil(context, [&] { return dialler.lost_.size() == 1; }));
    dialler.network_.send("u1", Cancel{});
    BOOST_TEST(runUntil(context, [&] { return dialler.lost_.size() == 2; }));
    dialler.network_.send("u1", Cancel{});
    TestPeer listener(context, "u1", "a-secret-of-the-fleet");
    listener.network_.listen("127.0.0.1", port);
    BOOST_TEST(runUntil(context, [&] { return listener.received_.size() == 1; }));
    listener.network_.close();
    dialler.network_.close();
}

BOOST_AUTO_TEST_CASE(peer_with_wrong_secret_or_name_is_rejected)
{
    asio::io_context context;
    TestPeer listener(context, "u1", "a-secret-of-the-fleet");
    TestPeer wrongSecretPeer(context, "e1", "another-secret-entirely");
    TestPeer wrongNamePeer(context, "e2", "a-secret-of-the-fleet");
    const std::uint16_t port = listener.network_.listen("127.0.0.1", 0);
    wrongSecretPeer.network_.setAddress("u1", PeerAddress{"127.0.0.1", port});
    wrongSecretPeer.network_.send("u1", Cancel{});
    wrongNamePeer.network_.setAddress("u2", PeerAddress{"127.0.0.1", port});
    wrongNamePeer.network_.send("u2", Cancel{});
    BOOST_TEST(runUntil(context, [&] {
        return wrongSecretPeer.lost_.size() == 1 && wrongNamePeer.lost_.size() == 1;
    }));
    BOOST_TEST(listener.received_.empty());
    listener.network_.close();
    wrongSecretPeer.network_.close();
    wrongNamePeer.network_.close();
}

struct DelayCase
{
    const char *name_;
    nanoseconds sent_; ///< time from the first to the second frame on the sender's clock
    nanoseconds received_; ///< time from the first to the second frame on the receiver's clock
    nanoseconds atLeast_; ///< lower bound of the estimated delay
    nanoseconds atMost_; ///< upper bound of the estimated delay
};
std::ostream &operator<<(std::ostream &out, const DelayCase &item)
{
    return out << item.name_;
}

const DelayCase delays[] = {
    {"as fast as the first", seconds(5), seconds(5), seconds(0), milliseconds(1)},
    {"delayed in a suspended process", seconds(5), seconds(65), seconds(59), seconds(61)},
    {"faster than the first", seconds(5), milliseconds(4900), seconds(0), seconds(0)},
    {"clock drift of 100 ppm for a day", seconds(86400), milliseconds(86400000 + 8640), seconds(0),
     seconds(0)},
};

BOOST_DATA_TEST_CASE(frame_delay_is_estimated, boost::unit_test::data::make(delays), item)
{
    const Instant first = Instant(seconds(1000));
    const nanoseconds senderFirst = seconds(77);
    FrameDelayEstimator estimator(senderFirst, first);
    const nanoseconds delay =
        estimator.estimateDelay(senderFirst + item.sent_, first + item.received_);
    BOOST_TEST((delay >= item.atLeast_));
    BOOST_TEST((delay <= item.atMost_));
}

// The loop ended at the first failed accept, so that no peer could connect any more.
BOOST_AUTO_TEST_CASE(peers_connect_again_after_file_descriptors_ran_out)
{
    asio::io_context context;
    TestPeer listener(context, "listener", "secret");
    TestPeer dialler(context, "dialler", "secret");
    const std::uint16_t port = listener.network_.listen("127.0.0.1", 0);
    tcp::socket early(context, tcp::v4());
    rlimit usual{};
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const int lowestFree = dup(early.native_handle());
    BOOST_REQUIRE(lowestFree > 0);
    ::close(lowestFree);
    rlimit exhausted = usual;
    exhausted.rlim_cur = static_cast<rlim_t>(lowestFree);
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
    early.connect({asio::ip::make_address("127.0.0.1"), port});
    context.run_for(milliseconds(300)); // accepting fails
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    dialler.network_.setAddress("listener", PeerAddress{"127.0.0.1", port});
    dialler.network_.send("listener", Cancel{});
    BOOST_TEST(runUntil(context, [&] { return !listener.received_.empty(); }));
}

// Returns the frames that a reader gets from bytes that are written in parts of a given size.
std::vector<Frame> framesReadFrom(const std::string &bytes, std::size_t partBytes)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket writer(context);
    writer.connect(acceptor.local_endpoint());
    writer.set_option(tcp::no_delay(true));
    tcp::socket reader = acceptor.accept();
    std::vector<Frame> frames;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (std::size_t at = 0; at < bytes.size(); at += partBytes)
                co_await asio::async_write(writer, asio::buffer(bytes.substr(at, partBytes)),
                                           asio::use_awaitable);
            writer.close();
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            FrameBuffer buffer;
            try {
                while (true)
                    frames.push_back(co_await readFrame(reader, buffer, 100'000));
            } catch (const boost::system::system_error &) {
                // the connection has ended, or a frame is too long
            }
        },
        asio::detached);
    context.run();
    return frames;
}

// Frames arrive in parts that end anywhere, and several frames arrive in one part.
BOOST_DATA_TEST_CASE(frames_are_found_in_any_parts,
                     boost::unit_test::data::make({1, 7, 12, 13, 4096, 1'000'000}), partBytes)
{
    std::vector<std::string> payloads{
        "", "a", std::string(5000, 'b'), "c", std::string(90'000, 'd'), "e"};
    std::string bytes;
    for (std::size_t i = 0; i < payloads.size(); ++i)
        bytes += makeFrame(Instant(seconds(i)), payloads[i]);
    bytes += makeFrame(Instant(seconds(9)), std::string(100'001, 'f')); // longer than the limit
    const auto frames = framesReadFrom(bytes, static_cast<std::size_t>(partBytes));
    BOOST_REQUIRE(frames.size() == payloads.size());
    for (std::size_t i = 0; i < payloads.size(); ++i) {
        BOOST_TEST(frames[i].payload_ == payloads[i]);
        BOOST_TEST((frames[i].senderClock_ == seconds(i)));
    }
}

} // namespace
