#include "control_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>
#include <sstream>
#include <thread>

namespace chervilctl {

using namespace chervilspring;

namespace {

constexpr unsigned notLeaderStatus = 421;
constexpr auto leaderTimeout = seconds(10);
constexpr auto retryInterval = milliseconds(200);
constexpr nanoseconds callTimeout = seconds(3);

leaf::error_id connectionError(const HostPort &host, const std::string &path,
                               const std::string &detail)
{
    return leaf::new_error(Error{ErrorId::ConnectionFailed, "call " + path,
                                 host.host_ + ":" + std::to_string(host.port_), detail});
}

HttpCallResult performBlocking(HttpCall call)
{
    boost::asio::io_context context(1);
    HttpClient client(context);
    HttpCallResult result;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            result = co_await client.perform(std::move(call));
        },
        boost::asio::detached);
    context.run();
    return result;
}

} // namespace

leaf::result<std::vector<HostPort>> parseHosts(const std::string &text)
{
    std::vector<HostPort> hosts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        const auto colon = part.rfind(':');
        HostPort host;
        host.host_ = part.substr(0, colon);
        const std::string port = colon == std::string::npos ? "" : part.substr(colon + 1);
        const auto [end, error] =
            std::from_chars(port.data(), port.data() + port.size(), host.port_);
        if (error != std::errc() || end != port.data() + port.size() || host.host_.empty())
            return leaf::new_error(Error{ErrorId::SettingValue, "command line", "",
                                         "\"" + part + "\"; allowed: IP:PORT,IP:PORT"});
        hosts.push_back(host);
    }
    return hosts;
}

leaf::result<ControlAnswer> callHost(const HostPort &host, const std::string &credential,
                                     const std::string &method, const std::string &path,
                                     const std::string &body)
{
    HttpCall call;
    call.address_ = host.host_;
    call.port_ = host.port_;
    call.method_ = method;
    call.target_ = path;
    call.headers_ = {{"Authorization", "Bearer " + credential}};
    call.body_ = body;
    call.limit_ = callTimeout;
    const HttpCallResult result = performBlocking(std::move(call));
    if (result.end_ != HttpCallEnd::Answered)
        return connectionError(host, path, result.detail_);
    boost::system::error_code error;
    ControlAnswer answer{result.status_, boost::json::parse(result.body_, error)};
    if (error)
        return connectionError(host, path, "the response is not JSON");
    return answer;
}

leaf::result<ControlAnswer> callLeader(const std::vector<HostPort> &hosts,
                                       const std::string &credential, const std::string &method,
                                       const std::string &path, const std::string &body)
{
    const Instant deadline = BootClock::now() + leaderTimeout;
    Error lastError{ErrorId::ConnectionFailed, "call " + path, "",
                    "no control process address was given"};
    for (std::size_t i = 0; !hosts.empty() && BootClock::now() < deadline; ++i) {
        ControlAnswer answer;
        const bool reached = handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(
                    answer, callHost(hosts[i % hosts.size()], credential, method, path, body));
                return {};
            },
            [&](const Error &error) { lastError = error; });
        if (reached && answer.status_ != notLeaderStatus && answer.status_ != 503)
            return answer;
        if (reached)
            lastError.detail_ = "no control process is the leader";
        if ((i + 1) % hosts.size() == 0)
            std::this_thread::sleep_for(retryInterval);
    }
    return leaf::new_error(lastError);
}

} // namespace chervilctl
