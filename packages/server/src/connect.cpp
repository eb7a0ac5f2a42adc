#include "chervilspring/detail/net/connect.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspring {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<void> connectTo(boost::beast::tcp_stream &stream, std::string address,
                                std::uint16_t port, boost::system::error_code &error)
{
    const auto ipAddress = asio::ip::make_address(address, error);
    if (!error)
        co_await stream.async_connect(tcp::endpoint(ipAddress, port),
                                      asio::redirect_error(asio::use_awaitable, error));
}

} // namespace chervilspring
