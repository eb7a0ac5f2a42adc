#include "chervilspring/detail/net/idle_connections.hpp"

#include <algorithm>
#include <charconv>

namespace chervilspring {

namespace http = boost::beast::http;

namespace {

constexpr nanoseconds longestIdle = seconds(4); // servers of the platform close after seconds
constexpr nanoseconds idleMargin = seconds(1); // before the server closes by its own word

// Time that the server keeps an idle connection open.
nanoseconds keepAliveTime(const http::response_header<> &head)
{
    static constexpr std::string_view parameter = "timeout=";
    const std::string_view value = head[http::field::keep_alive];
    const auto found = value.find(parameter);
    if (found == std::string_view::npos)
        return longestIdle;
    std::int64_t time = 0;
    const std::string_view digits = value.substr(found + parameter.size());
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), time);
    if (error != std::errc())
        return longestIdle;
    return std::min<nanoseconds>(longestIdle, seconds(time) - idleMargin);
}

} // namespace

UpstreamConnectionPointer IdleConnections::take(const std::string &server)
{
    const auto found = idle_.find(server);
    if (found == idle_.end())
        return nullptr;
    const Instant now = BootClock::now();
    auto &list = found->second;
    std::erase_if(list, [&](const auto &item) { return item->usableUntil_ < now; });
    if (list.empty()) {
        idle_.erase(found);
        return nullptr;
    }
    UpstreamConnectionPointer connection = std::move(list.back());
    list.pop_back();
    return connection;
}

void IdleConnections::keep(const std::string &server, UpstreamConnectionPointer connection,
                           const http::response_header<> &answer, std::size_t places)
{
    const nanoseconds time = keepAliveTime(answer);
    auto &list = idle_[server];
    if (connection->buffer_.size() > 0 || time <= nanoseconds(0) || list.size() >= places)
        return;
    connection->usableUntil_ = BootClock::now() + time;
    list.push_back(std::move(connection));
}

} // namespace chervilspring
