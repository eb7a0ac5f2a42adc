#include "chervilspring/detail/net/peer_disconnect.hpp"

namespace chervilspring {

namespace asio = boost::asio;
using asio::ip::tcp;

bool isClosedByPeer(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const std::size_t count =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return false;
    return error || count == 0;
}

} // namespace chervilspring
