#include "fleet.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int internalPort = 7740;
constexpr auto controlCallTimeout = milliseconds(1000); // as the platform's callers have
constexpr auto longestCase = seconds(118);

std::mutex childrenMutex;
std::vector<pid_t> children; // that have not been waited for

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t\r\n\"");
    const auto end = text.find_last_not_of(" \t\r\n\"");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        throw CouldNotRun{"can't read " + path};
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

// Value of a key in a role of the deploy file.
std::string roleValue(const std::string &deployFile, const std::string &role,
                      const std::string &key)
{
    std::istringstream lines(deployFile);
    bool inRole = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("["))
            inRole = trim(line) == "[roles." + role + "]";
        const auto equals = line.find('=');
        if (inRole && equals != std::string::npos && trim(line.substr(0, equals)) == key)
            return trim(line.substr(equals + 1));
    }
    throw CouldNotRun{"the deploy file has no " + key + " of role " + role};
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
    return result;
}

int listenOn(const Address &address)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socketAddress(address);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::listen(listener, 512) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

bool waitFor(int socket, short events, Clock::time_point deadline)
{
    pollfd item{socket, events, 0};
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now());
    return left.count() > 0 && ::poll(&item, 1, static_cast<int>(left.count())) > 0;
}

void endChildren()
{
    const std::lock_guard lock(childrenMutex);
    for (const pid_t pid : children) {
        ::kill(pid, SIGKILL);
        ::kill(pid, SIGCONT);
    }
    for (const pid_t pid : children)
        ::waitpid(pid, nullptr, 0);
    children.clear();
}

void onSignal(int)
{
    for (const pid_t pid : children)
        ::kill(pid, SIGKILL);
    std::_Exit(static_cast<int>(Verdict::CouldNotRun));
}

} // namespace

Record::Record(const std::string &path) : file_(std::fopen(path.c_str(), "w")) { }

Record::~Record()
{
    if (file_)
        std::fclose(file_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    if (!file_)
        return;
    const std::chrono::duration<double> time = Clock::now() - startedAt_;
    std::fprintf(file_, "%8.3f %s\n", time.count(), text.c_str());
    std::fflush(file_);
}

int Message::status() const
{
    return startLine_.starts_with("HTTP/1.1 ") ? std::atoi(startLine_.c_str() + 9) : 0;
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::string() : found->second;
}

int connectTo(const Address &address, milliseconds timeout, int receiveBuffer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBuffer > 0)
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in target = socketAddress(address);
    int error = 0;
    socklen_t size = sizeof error;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        if (errno != EINPROGRESS || !waitFor(socket, POLLOUT, Clock::now() + timeout)
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return -1;
        }
    }
    ::fcntl(socket, F_SETFL, 0);
    return socket;
}

bool writeAll(int socket, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
            ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

namespace {

// Reads more bytes. Returns false at the end of the connection or the time.
bool readMore(int socket, std::string &pending, Clock::time_point deadline)
{
    char bytes[16384];
    if (!waitFor(socket, POLLIN, deadline))
        return false;
    const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    pending.append(bytes, static_cast<std::size_t>(count));
    return true;
}

} // namespace

Message readMessage(int socket, std::string &pending, Clock::time_point deadline)
{
    Message message;
    std::size_t headEnd = 0;
    while ((headEnd = pending.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, pending, deadline))
            return message;
    }
    std::istringstream head(pending.substr(0, headEnd));
    pending.erase(0, headEnd + 4);
    std::getline(head, message.startLine_);
    message.startLine_ = trim(message.startLine_);
    for (std::string line; std::getline(head, line);) {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.headers_[lowerCase(line.substr(0, colon))] = trim(line.substr(colon + 1));
    }
    const std::string length = message.header("content-length");
    const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
    while (pending.size() < bodyBytes) {
        if (!readMore(socket, pending, deadline))
            return message;
    }
    message.body_ = pending.substr(0, bodyBytes);
    pending.erase(0, bodyBytes);
    message.complete_ = true;
    return message;
}

Message call(const Address &address, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &headers, const std::string &body,
             milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    const int socket = connectTo(address, timeout);
    if (socket < 0)
        return {};
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        text += "Host: " + address.ip_ + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n" + body;
    Message response;
    std::string pending;
    if (writeAll(socket, text))
        response = readMessage(socket, pending, deadline);
    ::close(socket);
    return response;
}

Fleet::Fleet(Record &record, const std::string &root, int controls, int entries)
    : record_(record), root_(root)
{
    std::random_device random;
    bool isFree = false;
    for (int attempt = 0; attempt < 50 && !isFree; ++attempt) {
        net_ =
            "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
        const int probe = listenOn({net_ + ".10", controlPort_});
        isFree = probe >= 0;
        if (isFree)
            ::close(probe);
    }
    if (!isFree)
        throw CouldNotRun{"no free loopback addresses"};
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        throw CouldNotRun{"no temporary folder"};
    folder_ = folder;
    for (int i = 0; i < controls; ++i)
        controls_.push_back(net_ + "." + std::to_string(10 + i));
    for (int i = 0; i < entries; ++i)
        entries_.push_back(net_ + "." + std::to_string(40 + i));
}

Fleet::~Fleet()
{
    endChildren();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

// Fills in the template of the deploy file as the platform does.
std::string Fleet::settingsOf(const std::string &ip) const
{
    const bool isControl = std::find(controls_.begin(), controls_.end(), ip) != controls_.end();
    const std::string role = isControl ? "control" : "entry";
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, controls_.size()); ++i)
        seeds += (seeds.empty() ? "" : ",") + controls_[i] + ":" + std::to_string(controlPort_);
    const auto endpoint = [&](std::uint16_t port) { return ip + ":" + std::to_string(port); };
    std::map<std::string, std::string> values = {{"role", role},
                                                 {"ip", ip},
                                                 {"zone", "zone-a"},
                                                 {"internal_ports.0", std::to_string(internalPort)},
                                                 {"seeds", seeds},
                                                 {"first_start", firstStart_ ? "true" : "false"},
                                                 {"bounds.grace_s", "8"},
                                                 {"bounds.retry_budget_ratio", "0.2"},
                                                 {"bounds.retry_slack", "52"},
                                                 {"bounds.retry_window_s", "10"}};
    if (isControl) {
        values["listen.control"] = endpoint(controlPort_);
        values["data_dir"] = folder_ + "/" + ip;
    } else {
        values["listen.front"] = endpoint(frontPort_);
        values["listen.ready"] = endpoint(readyPort_);
    }
    const std::string deployFile = readFile(root_ + "/deploy/system.toml");
    std::string text = readFile(root_ + "/" + roleValue(deployFile, role, "template"));
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        const auto value = values.find(text.substr(begin + 2, end - begin - 2));
        text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
    }
    return text;
}

void Fleet::start(const std::string &ip)
{
    const bool isControl = std::find(controls_.begin(), controls_.end(), ip) != controls_.end();
    const std::string deployFile = readFile(root_ + "/deploy/system.toml");
    const std::string program =
        root_ + "/" + roleValue(deployFile, isControl ? "control" : "entry", "run");
    if (::access(program.c_str(), X_OK) != 0)
        throw CouldNotRun{"there is no " + program};
    const std::string settingsFile = folder_ + "/" + ip + ".settings";
    std::ofstream(settingsFile) << settingsOf(ip);
    const std::string settings = "CHERVILSPRING_SETTINGS=" + settingsFile;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") ?: "/usr/bin:/bin");
    const std::string log = folder_ + "/" + ip + ".log";
    char *arguments[] = {const_cast<char *>(program.c_str()), nullptr};
    char *environment[] = {const_cast<char *>(settings.c_str()), const_cast<char *>(path.c_str()),
                           const_cast<char *>("LANG=C.UTF-8"), nullptr};
    const pid_t pid = ::fork();
    if (pid == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::close_range(3, ~0u, 0);
        if (::chdir(root_.c_str()) == 0)
            ::execve(program.c_str(), arguments, environment);
        ::_exit(127);
    }
    if (pid < 0)
        throw CouldNotRun{"fork failed"};
    const std::lock_guard lock(childrenMutex);
    children.push_back(pid);
    pids_[ip] = pid;
    record_.line("start " + std::string(isControl ? "control " : "entry ") + ip
                 + " first_start=" + (firstStart_ ? "true" : "false"));
}

void Fleet::kill(const std::string &ip)
{
    const auto found = pids_.find(ip);
    if (found == pids_.end())
        return;
    const std::lock_guard lock(childrenMutex);
    ::kill(found->second, SIGKILL);
    ::waitpid(found->second, nullptr, 0);
    std::erase(children, found->second);
    pids_.erase(found);
    record_.line("kill " + ip);
}

void Fleet::loseDisk(const std::string &ip)
{
    std::filesystem::remove_all(folder_ + "/" + ip);
    record_.line("disk lost " + ip);
}

bool Fleet::isRunning(const std::string &ip)
{
    const auto found = pids_.find(ip);
    if (found == pids_.end())
        return false;
    const std::lock_guard lock(childrenMutex);
    if (::waitpid(found->second, nullptr, WNOHANG) == 0)
        return true;
    std::erase(children, found->second);
    pids_.erase(found);
    return false;
}

double Fleet::memoryMb(const std::string &ip) const
{
    std::ifstream status("/proc/" + std::to_string(pids_.at(ip)) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) * 1024 / 1e6;
    }
    return 0;
}

void Fleet::waitUntilReady(const std::string &ip, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        const Message answer =
            call({ip, readyPort_}, "GET", "/-/ready", {}, "", milliseconds(1000));
        if (answer.status() == 200)
            return;
        std::this_thread::sleep_for(milliseconds(50));
    }
    throw CouldNotRun{"entry " + ip + " isn't ready"};
}

Message ControlCaller::sendOnce(const std::string &ip, const std::string &method,
                                const std::string &path, const std::string &body)
{
    return call({ip, Fleet::controlPort_}, method, path, {{"Content-Type", "application/json"}},
                body, controlCallTimeout);
}

Message ControlCaller::send(const std::string &method, const std::string &path,
                            const std::string &body, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    auto pause = milliseconds(50);
    Message answer;
    while (Clock::now() < deadline) {
        std::string ip = fleet_.controls_[next_++ % fleet_.controls_.size()];
        for (int hop = 0; hop < 3; ++hop) {
            answer = sendOnce(ip, method, path, body);
            const std::string location = answer.header("location");
            if (answer.status() != 307 || !location.starts_with("http://"))
                break;
            ip = location.substr(7, location.find(':', 7) - 7);
        }
        const int status = answer.status();
        const bool clear = answer.complete_ && status >= 200 && status < 500 && status != 307
            && status != 408 && status != 429;
        if (clear)
            return answer;
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, milliseconds(400));
    }
    return answer;
}

std::string ControlCaller::findLeader()
{
    for (const std::string &ip : fleet_.controls_) {
        const std::string location = sendOnce(ip, "GET", "/-/config", "").header("location");
        if (location.starts_with("http://"))
            return location.substr(7, location.find(':', 7) - 7);
    }
    return {};
}

Server::Server(Fleet &fleet, std::string id, const std::string &ip, milliseconds workTime,
               std::string service, std::size_t responseBytes)
    : fleet_(fleet), id_(std::move(id)), address_{ip, 8080}, workTime_(workTime),
      service_(std::move(service)), responseBytes_(responseBytes),
      bornMs_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
      listener_(listenOn(address_))
{
    if (listener_ < 0)
        throw CouldNotRun{"can't listen on " + ip};
    threads_.emplace_back([this] { acceptLoop(); });
}

Server::~Server()
{
    stopHeartbeats();
    end();
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        threads.swap(threads_);
    }
    for (std::thread &thread : threads)
        thread.join();
}

std::string Server::heartbeat()
{
    return "{\"service\":\"" + service_ + "\",\"address\":\"" + address_.ip_ + ":"
        + std::to_string(address_.port_)
        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
          "\"cold_left_ms\":0,\"sequence\":"
        + std::to_string(++sequence_) + ",\"born\":" + std::to_string(bornMs_) + "}";
}

void Server::startHeartbeats(milliseconds interval)
{
    beating_ = true;
    heartbeats_ = std::thread([this, interval] {
        ControlCaller control(fleet_);
        while (beating_) {
            const Message answer = control.send("PUT", path(), heartbeat(), seconds(3));
            if (answer.status() / 100 == 2)
                lastAcknowledged_ = Clock::now();
            const auto next = Clock::now() + interval;
            while (beating_ && Clock::now() < next)
                std::this_thread::sleep_for(milliseconds(5));
        }
    });
}

void Server::stopHeartbeats()
{
    beating_ = false;
    if (heartbeats_.joinable())
        heartbeats_.join();
}

std::vector<Run> Server::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void Server::end()
{
    if (ended_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void Server::acceptLoop()
{
    while (!ended_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const std::lock_guard lock(mutex_);
        if (ended_) {
            ::close(socket);
            return;
        }
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void Server::serve(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string pending;
    while (!ended_) {
        const Message request = readMessage(socket, pending, Clock::now() + seconds(30));
        if (!request.complete_)
            break;
        const std::string id = request.header("x-request-id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != id_) {
            writeAll(socket,
                     "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Instance-Id: " + id_
                         + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        std::size_t run = 0;
        {
            const std::lock_guard lock(mutex_);
            run = runs_.size();
            runs_.push_back(Run{Clock::now(), id, id_});
        }
        std::this_thread::sleep_for(workTime_);
        std::string body = "response to " + id + " ";
        body.resize(std::max(body.size(), responseBytes_), '.');
        const bool isAnswered = !ended_
            && writeAll(socket,
                        "HTTP/1.1 200 OK\r\n" + echo + "X-Response-Seal: " + id_ + "." + id
                            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                            + body);
        const std::lock_guard lock(mutex_);
        runs_[run].answered_ = isAnswered;
    }
    const std::lock_guard lock(mutex_);
    std::erase(sockets_, socket);
    ::close(socket);
}

std::string desiredState(int version, bool hasDeskRoute)
{
    const auto route = [](const std::string &name, const std::string &type,
                          const std::string &service) {
        return "{\"name\":\"" + name + "\",\"host\":\"book.example\",\"path_prefix\":\"/" + name
            + "/\",\"route_type\":\"" + type
            + "\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,\"service\":\""
            + service + "\",\"max_attempts\":" + (type == "safe" ? "2" : "1")
            + ",\"public\":false}";
    };
    const auto service = [](const std::string &name) {
        return "{\"name\":\"" + name
            + "\",\"health_path\":\"/"
              "health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + route("look", "safe", "book") + "," + route("place", "unsafe", "book")
        + (hasDeskRoute ? "," + route("desk", "safe", "desk") : "") + "],\"services\":["
        + service("book") + "," + service("desk")
        + "],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"shop-key\"],\"priority\":1}]}";
}

std::map<std::string, std::string> callerHeaders(const std::string &id, milliseconds deadline)
{
    return {{"Host", "book.example"},
            {"X-Request-Id", id},
            {"X-Deadline-Ms", std::to_string(deadline.count())},
            {"Authorization", "Bearer shop-key"}};
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

int runCase(int argc, char **argv, const std::function<Verdict(Record &, const std::string &)> &run)
{
    if (argc != 3)
        return static_cast<int>(Verdict::CouldNotRun);
    for (const int number : {SIGTERM, SIGINT, SIGALRM})
        ::signal(number, onSignal);
    ::alarm(static_cast<unsigned>(longestCase.count()));
    Record record(argv[2]);
    Verdict verdict = Verdict::CouldNotRun;
    try {
        record.line(std::string("disruption=") + (isTroubled() ? "on" : "off"));
        verdict = run(record, std::filesystem::absolute(argv[1]).string());
    } catch (const CouldNotRun &error) {
        record.line("could not run: " + error.reason_);
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
    }
    const char *text = verdict == Verdict::Held ? "the rule held"
        : verdict == Verdict::Broken            ? "the rule was broken"
                                                : "the case could not run";
    record.line(text);
    std::printf("%s\n", text);
    return static_cast<int>(verdict);
}

} // namespace review
