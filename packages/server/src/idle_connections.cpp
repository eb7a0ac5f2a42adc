#include "chervilspring/detail/net/idle_connections.hpp"

#include "chervilspring/detail/net/peer_disconnect.hpp"

#include <algorithm>
#include <charconv>

namespace chervilspring {

namespace http = boost::beast::http;

namespace {

// The platform's servers close idle connections after a few seconds.
constexpr nanoseconds maxIdleTime = seconds(4);
// Subtracted from the idle timeout that the server announces in its Keep-Alive header, so that a
// connection is no longer used when the server is about to close it.
constexpr nanoseconds closeMargin = seconds(1);

// Returns how long an idle connection may be kept.
nanoseconds keepAliveTime(const http::response_header<> &head)
{
    static constexpr std::string_view parameter = "timeout=";
    const std::string_view value = head[http::field::keep_alive];
    const auto found = value.find(parameter);
    if (found == std::string_view::npos)
        return maxIdleTime;
    std::int64_t time = 0;
    const std::string_view digits = value.substr(found + parameter.size());
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), time);
    if (error != std::errc())
        return maxIdleTime;
    return std::min<nanoseconds>(maxIdleTime, seconds(time) - closeMargin);
}

} // namespace

UpstreamConnectionPointer IdleConnections::take(const std::string &server)
{
    const auto found = idle_.find(server);
    if (found == idle_.end())
        return nullptr;
    const Instant now = BootClock::now();
    auto &connections = found->second;
    std::erase_if(connections, [&](const auto &item) { return item->usableUntil_ < now; });
    while (!connections.empty()) {
        UpstreamConnectionPointer connection = std::move(connections.back());
        connections.pop_back();
        // What can be read before a request is written is not the answer to it.
        if (!hasUnreadInput(connection->stream_.socket()))
            return connection;
    }
    idle_.erase(found);
    return nullptr;
}

void IdleConnections::keep(const std::string &server, UpstreamConnectionPointer connection,
                           const http::response_header<> &answer, std::size_t maxIdle)
{
    const nanoseconds time = keepAliveTime(answer);
    auto &connections = idle_[server];
    if (connection->buffer_.size() > 0 || time <= nanoseconds(0) || connections.size() >= maxIdle)
        return;
    connection->usableUntil_ = BootClock::now() + time;
    connections.push_back(std::move(connection));
}

} // namespace chervilspring
