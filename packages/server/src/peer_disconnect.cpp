#include "chervilspring/detail/net/peer_disconnect.hpp"

namespace chervilspring {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// What the next read from a socket would return.
enum class NextRead { Nothing, Bytes, End };

NextRead peek(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    if (!socket.non_blocking())
        socket.non_blocking(true, error);
    const std::size_t count =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return NextRead::Nothing;
    return error || count == 0 ? NextRead::End : NextRead::Bytes;
}

} // namespace

bool isClosedByPeer(tcp::socket &socket)
{
    return peek(socket) == NextRead::End;
}

bool hasUnreadInput(tcp::socket &socket)
{
    return peek(socket) != NextRead::Nothing;
}

} // namespace chervilspring
