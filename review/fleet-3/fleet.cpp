#include "fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

namespace review {

namespace {

constexpr auto connectTimeout = milliseconds(1000);
constexpr auto heartbeatInterval = milliseconds(1200); // heartbeat_ms of the settings
constexpr auto heartbeatTimeout = milliseconds(1000); // for the response to a registration
constexpr int longestPoll = 100; // ms, between checks whether a server was stopped
constexpr int freePorts = 4;

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int bindTo(const std::string &address, std::uint16_t port)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = socketAddress(address, port);
    if (::bind(file, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0)
        return file;
    ::close(file);
    return -1;
}

std::uint16_t portOf(int file)
{
    sockaddr_in name{};
    socklen_t size = sizeof name;
    ::getsockname(file, reinterpret_cast<sockaddr *>(&name), &size);
    return ntohs(name.sin_port);
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

int millisecondsUntil(Clock::time_point until)
{
    const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

Message parseHead(const std::string &head, bool isRequest)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string version;
    if (isRequest)
        first >> message.method_ >> message.target_;
    else
        first >> version >> message.status_;
    while (std::getline(lines, line) && line != "\r") {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
            value.pop_back();
        message.headers_.emplace_back(line.substr(0, colon), value);
    }
    return message;
}

} // namespace

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers_) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::size_t Message::count(const std::string &name) const
{
    std::size_t number = 0;
    for (const auto &item : headers_)
        number += strcasecmp(item.first.c_str(), name.c_str()) == 0 ? 1 : 0;
    return number;
}

Record::Record(const std::string &file) : file_(file)
{
    std::ofstream(file_, std::ios::trunc);
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const auto time = std::chrono::floor<milliseconds>(Clock::now() - startedAt_).count();
    std::ofstream(file_, std::ios::app) << time << " ms  " << line << "\n";
}

Connection::~Connection()
{
    if (file_ >= 0)
        ::close(file_);
}

std::unique_ptr<Connection> Connection::open(const std::string &address, std::uint16_t port,
                                             milliseconds timeout)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(file);
    const sockaddr_in name = socketAddress(address, port);
    if (::connect(file, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        pollfd entry{file, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) != 1
            || ::getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    const int on = 1;
    ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(file_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd entry{file_, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&entry, 1, 5000) != 1)
            return false;
    }
    return true;
}

bool Connection::readMore(Clock::time_point until)
{
    pollfd entry{file_, POLLIN, 0};
    if (::poll(&entry, 1, millisecondsUntil(until)) != 1)
        return false;
    char bytes[16384];
    const auto count = ::recv(file_, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::receive(Message &received, bool isRequest, milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    std::size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(until))
            return false;
    }
    Message message = parseHead(buffer_.substr(0, headEnd + 4), isRequest);
    buffer_.erase(0, headEnd + 4);
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!readMore(until))
                    return false;
            }
            const std::size_t size = std::stoul(buffer_.substr(0, lineEnd), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!readMore(until))
                    return false;
            }
            message.body_ += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = message.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < size) {
            if (!readMore(until))
                return false;
        }
        message.body_ = buffer_.substr(0, size);
        buffer_.erase(0, size);
    }
    received = std::move(message);
    return true;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const auto count = ::recv(file_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

void Connection::reset()
{
    const linger abort{1, 0};
    ::setsockopt(file_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(file_);
    file_ = -1;
}

Message call(const std::string &address, std::uint16_t port, const std::string &method,
             const std::string &target, const Headers &headers, const std::string &body,
             milliseconds timeout)
{
    Message response;
    const auto connection = Connection::open(address, port, std::min(timeout, connectTimeout));
    if (!connection)
        return response;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
        hasHost = hasHost || strcasecmp(name.c_str(), "Host") == 0;
    }
    if (!hasHost)
        text += "Host: " + address + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (connection->send(text + "\r\n" + body))
        connection->receive(response, false, timeout);
    return response;
}

std::string responseText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(std::string address, Handler handler, std::uint16_t port)
    : address_(std::move(address)), handler_(std::move(handler))
{
    listener_ = bindTo(address_, port);
    if (listener_ < 0 || ::listen(listener_, SOMAXCONN) != 0)
        std::_Exit(exitNotRun);
    port_ = portOf(listener_);
    thread_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
    thread_.join();
    while (serving_ > 0)
        std::this_thread::sleep_for(milliseconds(1));
}

void Server::stop()
{
    if (stopped_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR); // before the connections, like a process that ends
    const std::lock_guard lock(mutex_);
    for (const int file : open_)
        ::shutdown(file, SHUT_RDWR);
}

void Server::accept()
{
    while (!stopped_) {
        pollfd entry{listener_, POLLIN, 0};
        if (::poll(&entry, 1, longestPoll) != 1)
            continue;
        const int file = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (file < 0)
            continue;
        const int on = 1;
        ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++serving_;
        std::thread([this, file] {
            serve(file);
            --serving_;
        }).detach();
    }
    ::close(listener_);
}

void Server::serve(int file)
{
    {
        const std::lock_guard lock(mutex_);
        open_.push_back(file);
    }
    Connection connection(file);
    Message request;
    while (!stopped_ && connection.receive(request, true, milliseconds(60000))) {
        if (stopped_ || !handler_(connection, request))
            break;
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, file);
}

Fleet::Fleet(Record &record, std::string program, const std::string &settingsTemplate, int controls,
             int entries)
    : record_(record), program_(std::move(program)), template_(readFile(settingsTemplate))
{
    char pattern[] = "/tmp/review-fleet-XXXXXX";
    folder_ = ::mkdtemp(pattern);
    const int pid = static_cast<int>(::getpid());
    prefix_ = "127." + std::to_string(10 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".";
    for (int i = 0; i < controls; ++i)
        controls_.push_back(prefix_ + std::to_string(1 + i));
    lastControl_ = controls;
    for (int i = 0; i < entries; ++i)
        entries_.push_back(prefix_ + std::to_string(51 + i));
    std::vector<std::uint16_t> ports;
    while (ports.size() < freePorts) {
        const int file = bindTo(controls_.front(), 0);
        const std::uint16_t port = portOf(file);
        ::close(file);
        // Schedulers use the port after the internal one.
        const bool used = std::any_of(ports.begin(), ports.end(), [&](std::uint16_t other) {
            return other == port || other == port + 1 || port == other + 1;
        });
        if (!used)
            ports.push_back(port);
    }
    entryPort_ = ports[0];
    readyPort_ = ports[1];
    controlPort_ = ports[2];
    internalPort_ = ports[3];
    if (template_.empty() || ::access(program_.c_str(), X_OK) != 0)
        std::_Exit(exitNotRun);
}

Fleet::~Fleet()
{
    for (const auto &[address, pid] : pids_) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string Fleet::settingsOf(const std::string &address) const
{
    const bool isControl =
        std::find(controls_.begin(), controls_.end(), address) != controls_.end();
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, controls_.size()); ++i)
        seeds += (i == 0 ? "" : ",") + controls_[i] + ":" + std::to_string(controlPort_);
    const auto at = [&](std::uint16_t port) { return address + ":" + std::to_string(port); };
    std::string text = template_;
    const std::vector<std::pair<std::string, std::string>> values = {
        {"role", isControl ? "control" : "entry"},
        {"ip", address},
        {"zone", "z1"},
        {"internal_ports.0", std::to_string(internalPort_)},
        {"listen.front", isControl ? "" : at(entryPort_)},
        {"listen.control", isControl ? at(controlPort_) : ""},
        {"listen.ready", isControl ? "" : at(readyPort_)},
        {"seeds", seeds},
        {"first_start", firstStart_ ? "true" : "false"},
        {"bounds.grace_s", "8"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_slack", "52"},
        {"bounds.retry_window_s", "10"},
        {"data_dir", isControl ? dataFolder(address).string() : ""}};
    for (const auto &[name, value] : values)
        replaceAll(text, "{{" + name + "}}", value);
    return text;
}

void Fleet::start()
{
    for (const auto &list : {controls_, entries_}) {
        for (const std::string &address : list)
            spawn(address);
    }
    firstStart_ = false;
}

void Fleet::spawn(const std::string &address)
{
    const auto settings = folder_ / (address + ".ini");
    std::ofstream(settings, std::ios::trunc) << settingsOf(address);
    const std::string log = (folder_ / (address + ".log")).string();
    const std::string variable = "CHERVILSPRING_SETTINGS=" + settings.string();
    const std::string path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    record_.write("start of the process at " + address);
    const int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this script is ended
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        char *const arguments[] = {const_cast<char *>(program_.c_str()), nullptr};
        char *const variables[] = {const_cast<char *>(variable.c_str()),
                                   const_cast<char *>(path.c_str()), nullptr};
        ::execve(program_.c_str(), arguments, variables);
        std::_Exit(127);
    }
    const std::lock_guard lock(mutex_);
    pids_[address] = pid;
}

void Fleet::signal(const std::string &address, int number)
{
    const std::lock_guard lock(mutex_);
    const auto found = pids_.find(address);
    if (found == pids_.end())
        return;
    record_.write("signal " + std::to_string(number) + " to the process at " + address);
    ::kill(found->second, number);
    if (number != SIGKILL)
        return;
    ::waitpid(found->second, nullptr, 0);
    pids_.erase(found);
}

bool Fleet::isRunning(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    const auto found = pids_.find(address);
    if (found == pids_.end())
        return false;
    if (::waitpid(found->second, nullptr, WNOHANG) == 0)
        return true;
    pids_.erase(found);
    return false;
}

std::filesystem::path Fleet::dataFolder(const std::string &address) const
{
    return folder_ / ("data-" + address);
}

std::string Fleet::addControl()
{
    const std::string address = prefix_ + std::to_string(++lastControl_);
    {
        const std::lock_guard lock(mutex_);
        controls_.push_back(address);
    }
    record_.write("new control machine " + address + " with an empty disk");
    spawn(address);
    return address;
}

void Fleet::removeControl(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    std::erase(controls_, address);
    record_.write("control machine " + address + " is gone for good");
}

void Fleet::loseDisks(const std::vector<std::string> &addresses, milliseconds downTime)
{
    for (const std::string &address : addresses)
        signal(address, SIGKILL);
    for (const std::string &address : addresses) {
        std::error_code ignored;
        std::filesystem::remove_all(dataFolder(address), ignored);
        record_.write("control machine " + address + " has lost its disk");
    }
    std::this_thread::sleep_for(downTime);
    for (const std::string &address : addresses)
        spawn(address);
}

Message Fleet::callControl(const std::string &address, const std::string &method,
                           const std::string &target, const std::string &body, milliseconds timeout)
{
    return call(address, controlPort_, method, target, {{"Content-Type", "application/json"}}, body,
                timeout);
}

Message Fleet::control(const std::string &method, const std::string &target,
                       const std::string &body, milliseconds timeout, const std::string &why)
{
    const auto until = Clock::now() + timeout;
    Message response;
    while (Clock::now() < until) {
        std::string address;
        {
            const std::lock_guard lock(mutex_);
            address = controls_[nextControl_++ % controls_.size()];
        }
        response = callControl(address, method, target, body, heartbeatTimeout);
        for (int hops = 0; hops < 2 && response.status_ == 307; ++hops) {
            const std::string location = response.header("Location");
            const auto begin = location.find("//") + 2;
            address = location.substr(begin, location.find(':', begin) - begin);
            response = callControl(address, method, target, body, heartbeatTimeout);
        }
        const int status = response.status_;
        if (status >= 200 && status < 500 && status != 307 && status != 408 && status != 429)
            break;
        response.status_ = 0;
        std::this_thread::sleep_for(milliseconds(50));
    }
    if (!why.empty())
        record_.write(why + ": " + method + " " + target + " -> " + std::to_string(response.status_)
                      + " " + response.body_.substr(0, 100));
    return response;
}

bool Fleet::apply(const std::string &document, milliseconds timeout)
{
    const int status = control("PUT", "/-/config", document, timeout, "operator").status_;
    return status == 200;
}

std::string Fleet::leader()
{
    for (const std::string &address : controls_) {
        const Message read = callControl(address, "GET", "/-/config", "", heartbeatTimeout);
        if (read.status_ == 200)
            return address;
    }
    return {};
}

bool Fleet::isReady(const std::string &entry)
{
    return call(entry, readyPort_, "GET", "/-/ready", {}, "", milliseconds(1000)).status_ == 200;
}

std::string Fleet::logOf(const std::string &address) const
{
    return readFile(folder_ / (address + ".log"));
}

Registration::Registration(Fleet &fleet, std::string id, Body body)
    : fleet_(fleet), id_(std::move(id)), body_(std::move(body))
{
    thread_ = std::thread([this] {
        std::uint64_t sequence = 0;
        while (!stopped_) {
            const int status =
                fleet_
                    .control("PUT", "/-/instances/" + id_, body_(++sequence), heartbeatInterval * 2)
                    .status_;
            acknowledged_ = acknowledged_ || status == 200;
            const auto next = Clock::now() + heartbeatInterval;
            while (!stopped_ && Clock::now() < next)
                std::this_thread::sleep_for(milliseconds(10));
        }
    });
}

void Registration::stop()
{
    stopped_ = true;
    if (thread_.joinable())
        thread_.join();
}

void Runs::add(const std::string &server, const Message &request)
{
    const Run run{server, request.header("X-Request-Id"), request.header("X-Tenant"), Clock::now()};
    record_.write("server " + server + " runs request " + run.request_ + " tenant=\"" + run.tenant_
                  + "\" " + request.method_ + " " + request.target_);
    const std::lock_guard lock(mutex_);
    runs_.push_back(run);
}

std::vector<Run> Runs::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t Runs::countOf(const std::string &request) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const Run &run) { return run.request_ == request; }));
}

PlainServer::PlainServer(std::string address, std::string id, Runs &runs, milliseconds workTime,
                         std::uint16_t port)
    : id_(std::move(id)), runs_(runs), workTime_(workTime),
      server_(
          std::move(address),
          [this](Connection &connection, const Message &request) {
              return answer(connection, request);
          },
          port)
{ }

bool PlainServer::answer(Connection &connection, const Message &request)
{
    const std::string requestId = request.header("X-Request-Id");
    const std::string expected = request.header("X-Expect-Instance");
    if (request.target_ == "/health")
        return connection.send(responseText(200, {{"X-Instance-Id", id_}}, ""));
    if (!expected.empty() && expected != id_)
        return connection.send(responseText(
            421, {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}}, "another instance"));
    if (requestId.empty())
        return connection.send(responseText(400, {{"X-Not-Executed", "1"}}, "no id"));
    if (beforeRun_ && !beforeRun_(connection, request))
        return false;
    runs_.add(id_, request);
    std::this_thread::sleep_for(workTime_);
    return connection.send(
        responseText(200,
                     {{"X-Request-Id", requestId},
                      {"X-Response-Seal", id_ + "." + requestId},
                      {"Content-Type", "application/json"}},
                     "{\"server\":\"" + id_ + "\",\"request\":\"" + requestId + "\"}"));
}

std::string registrationBody(const std::string &service, const std::string &endpoint,
                             const std::string &state, std::uint64_t born, std::uint64_t sequence)
{
    return R"({"service":")" + service + R"(","address":")" + endpoint
        + R"(","zone":"z1","version":"v1","slots":6,"state":")" + state
        + R"(","cold_left_ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)"
        + std::to_string(born) + "}";
}

std::string desiredState(std::uint64_t version, const std::string &tenants)
{
    const auto route = [](const std::string &kind, int attempts) {
        return R"({"name":"r-)" + kind + R"(","host":"book.example","path_prefix":"/)" + kind
            + R"(/","route_type":")" + kind
            + R"(","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"book",)"
            + R"("max_attempts":)" + std::to_string(attempts)
            + R"(,"public":false,"sticky":false,"resumable":false})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", 2) + ","
        + route("unsafe", 1) + R"(],"services":[{"name":"book","health_path":"/health",)"
        + R"("max_connections":96,"protocol":"h1","tls":false}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)" + tenants + "}";
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(now).count());
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

bool waitUntil(const std::function<bool()> &condition, milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

} // namespace review
