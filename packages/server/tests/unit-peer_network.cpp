// Covers detail/net/frame.hpp and peer_network.hpp: silent connections, strangers, held-up frames.
#include "chervilspring/detail/net/peer_network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <list>

namespace {

using namespace chervilspring;
namespace asio = boost::asio;
using asio::ip::tcp;

// Forwards bytes both ways. Connections that are open when silence() is called stay open and
// carry nothing any more; new ones work.
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
    void silence() { ++generation_; }
    void close() { acceptor_.close(); }
    int connections() const { return generationOfNewest_; }

private:
    struct Pair
    {
        tcp::socket near_;
        tcp::socket far_;
        int generation_;
    };

    asio::awaitable<void> acceptLoop()
    {
        while (acceptor_.is_open()) {
            boost::system::error_code error;
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            auto pair =
                std::make_shared<Pair>(Pair{std::move(socket), tcp::socket(context_), generation_});
            ++generationOfNewest_;
            co_await pair->far_.async_connect({asio::ip::make_address("127.0.0.1"), target_},
                                              asio::redirect_error(asio::use_awaitable, error));
            asio::co_spawn(context_, copy(pair, pair->near_, pair->far_), asio::detached);
            asio::co_spawn(context_, copy(pair, pair->far_, pair->near_), asio::detached);
        }
    }

    asio::awaitable<void> copy(std::shared_ptr<Pair> pair, tcp::socket &from, tcp::socket &to)
    {
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = co_await from.async_read_some(
                asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            if (error || pair->generation_ != generation_)
                continue;
            co_await asio::async_write(to, asio::buffer(chunk.data(), count),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        boost::system::error_code ignored;
        if (pair->generation_ == generation_)
            to.close(ignored);
    }

    asio::io_context &context_;
    std::uint16_t target_;
    tcp::acceptor acceptor_;
    int generation_ = 0;
    int generationOfNewest_ = 0;
};

struct Side
{
    Side(asio::io_context &context, const std::string &name, const std::string &secret)
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

bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const Instant giveUp = BootClock::now() + seconds(20);
    while (!condition() && BootClock::now() < giveUp)
        context.run_for(milliseconds(10));
    return condition();
}

BOOST_AUTO_TEST_CASE(silent_connection_is_replaced_by_a_new_one)
{
    asio::io_context context;
    Side listener(context, "u1", "a-secret-of-the-fleet");
    Side dialler(context, "e1", "a-secret-of-the-fleet");
    Forwarder forwarder(context, listener.network_.listen("127.0.0.1", 0));
    dialler.network_.setAddress("u1", PeerAddress{"127.0.0.1", forwarder.port()});
    dialler.network_.send("u1", Cancel{});
    BOOST_REQUIRE(runUntil(context, [&] { return listener.received_.size() == 1; }));
    forwarder.silence();
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

BOOST_AUTO_TEST_CASE(other_secret_or_name_is_refused)
{
    asio::io_context context;
    Side listener(context, "u1", "a-secret-of-the-fleet");
    Side stranger(context, "e1", "another-secret-entirely");
    Side mistaken(context, "e2", "a-secret-of-the-fleet");
    const std::uint16_t port = listener.network_.listen("127.0.0.1", 0);
    stranger.network_.setAddress("u1", PeerAddress{"127.0.0.1", port});
    stranger.network_.send("u1", Cancel{});
    mistaken.network_.setAddress("u2", PeerAddress{"127.0.0.1", port});
    mistaken.network_.send("u2", Cancel{});
    BOOST_TEST(runUntil(context,
                        [&] { return stranger.lost_.size() == 1 && mistaken.lost_.size() == 1; }));
    BOOST_TEST(listener.received_.empty());
    listener.network_.close();
    stranger.network_.close();
    mistaken.network_.close();
}

struct DelayRow
{
    const char *name_;
    nanoseconds sent_; ///< on the sender's clock, after the first frame
    nanoseconds received_; ///< on the receiver's clock, after the first frame
    nanoseconds atLeast_;
    nanoseconds atMost_;
};
std::ostream &operator<<(std::ostream &out, const DelayRow &row)
{
    return out << row.name_;
}

const DelayRow delays[] = {
    {"as fast as the first", seconds(5), seconds(5), seconds(0), milliseconds(1)},
    {"held up in a frozen process", seconds(5), seconds(65), seconds(59), seconds(61)},
    {"faster than the first", seconds(5), milliseconds(4900), seconds(0), seconds(0)},
    {"clocks drifted apart for a day", seconds(86400), milliseconds(86400000 + 8640), seconds(0),
     seconds(0)},
};

BOOST_DATA_TEST_CASE(delay_of_a_frame, boost::unit_test::data::make(delays), row)
{
    const Instant first = Instant(seconds(1000));
    const nanoseconds senderFirst = seconds(77);
    FrameDelayEstimator estimate(senderFirst, first);
    const nanoseconds delay =
        estimate.estimateDelay(senderFirst + row.sent_, first + row.received_);
    BOOST_TEST((delay >= row.atLeast_));
    BOOST_TEST((delay <= row.atMost_));
}

} // namespace
