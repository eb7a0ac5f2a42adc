/// @file
/// @brief What the scripts of the review share: processes of the system, stand-ins of servers,
/// operator and clients. Blocking sockets and one thread for each connection.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char **environ;

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline const Clock::time_point startedAt = Clock::now();

inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

inline void pause(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

/// Writes record.txt.
class Record
{
public:
    void open(const std::string &path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%10.1f ms  ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE *file_ = nullptr;
};

inline Record record;

inline volatile std::sig_atomic_t stopRequested = 0;
constexpr double longestRunMs = 105000;

/// A request or an answer.
struct Message
{
    std::string start_; ///< first line
    std::vector<std::pair<std::string, std::string>> headers_; ///< names in lower case
    std::string body_;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers_) {
            if (key == name)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(headers_.begin(), headers_.end(),
                           [&](const auto &item) { return item.first == name; });
    }
    int status() const { return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0; }
    std::string method() const { return start_.substr(0, start_.find(' ')); }
    std::string target() const
    {
        const auto from = start_.find(' ') + 1;
        return start_.substr(from, start_.find(' ', from) - from);
    }
};

/// A TCP connection with a buffer for what was read.
class Connection
{
public:
    explicit Connection(int file = -1) : file_(file) { }
    Connection(Connection &&other) noexcept
        : file_(std::exchange(other.file_, -1)), buffer_(std::move(other.buffer_))
    { }
    ~Connection() { close(); }
    void close()
    {
        if (file_ >= 0)
            ::close(file_);
        file_ = -1;
    }
    bool open() const { return file_ >= 0; }
    int file() const { return file_; }

    static Connection to(const std::string &address, int port, int timeoutMs)
    {
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, address.c_str(), &to.sin_addr);
        Connection connection(file);
        if (::connect(file, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
            pollfd item{file, POLLOUT, 0};
            int error = errno;
            socklen_t size = sizeof(error);
            if (errno != EINPROGRESS || ::poll(&item, 1, timeoutMs) != 1
                || ::getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                connection.close();
                return connection;
            }
        }
        const int on = 1;
        ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return connection;
    }

    bool write(const std::string &text, int timeoutMs = 5000)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t count =
                ::send(file_, text.data() + done, text.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                done += static_cast<std::size_t>(count);
                continue;
            }
            pollfd item{file_, POLLOUT, 0};
            if (count < 0 && errno != EAGAIN)
                return false;
            if (::poll(&item, 1, timeoutMs) != 1)
                return false;
        }
        return true;
    }

    /// Reads a message with a length or in chunks. Returns false at an end, an error or the
    /// timeout.
    bool read(Message &message, int timeoutMs)
    {
        const auto until = Clock::now() + Milliseconds(timeoutMs);
        message = Message{};
        std::size_t headEnd = 0;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return false;
        }
        std::istringstream head(buffer_.substr(0, headEnd));
        buffer_.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        message.start_ = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, std::min(value.size(), value.find_first_not_of(' ')));
            message.headers_.emplace_back(name, value);
        }
        if (message.header("transfer-encoding") == "chunked")
            return readChunks(message, until);
        const std::size_t length =
            std::strtoull(message.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!more(until))
                return false;
        }
        message.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

private:
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd item{file_, POLLIN, 0};
        if (file_ < 0 || left <= 0 || ::poll(&item, 1, static_cast<int>(left)) != 1)
            return false;
        char bytes[65536];
        const ssize_t count = ::recv(file_, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool readChunks(Message &message, Clock::time_point until)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return false;
            }
            const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!more(until))
                    return false;
            }
            message.body_ += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int file_;
    std::string buffer_;
};

/// An answer to a call; status_ 0: none, or an incomplete one.
struct Answer
{
    int status_ = 0;
    Message message_;
    bool connected_ = false;
};

inline Answer call(const std::string &address, int port, const std::string &request, int timeoutMs)
{
    Answer answer;
    Connection connection = Connection::to(address, port, std::min(timeoutMs, 1000));
    answer.connected_ = connection.open();
    if (!connection.open() || !connection.write(request))
        return answer;
    if (connection.read(answer.message_, timeoutMs))
        answer.status_ = answer.message_.status();
    return answer;
}

inline std::string makeRequest(const std::string &method, const std::string &target,
                               const std::string &host, const std::string &headers,
                               const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The settings of a small deployment, and its processes.
class Fleet
{
public:
    struct Process
    {
        std::string role_;
        std::string address_;
        int pid_ = -1;
        bool started_ = false;
    };

    /// @param repository the root of the project
    explicit Fleet(std::string repository) : repository_(std::move(repository))
    {
        // Nothing outlives a run that hangs or is stopped.
        std::signal(SIGTERM, [](int) { stopRequested = 1; });
        std::signal(SIGINT, [](int) { stopRequested = 1; });
        std::thread([this] {
            while (!stopRequested && nowMs() < longestRunMs)
                pause(50);
            finish(2);
        }).detach();
        char folder[] = "/tmp/chervilspring-review-XXXXXX";
        if (!::mkdtemp(folder))
            std::exit(2);
        folder_ = folder;
        std::random_device random;
        // A block of loopback addresses that nothing else is likely to use.
        block_ =
            "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250);
        std::ifstream file(repository_ + "/deploy/settings.ini");
        std::ostringstream text;
        text << file.rdbuf();
        template_ = text.str();
    }

    std::string address(int host) const { return block_ + "." + std::to_string(host); }
    const std::string &folder() const { return folder_; }

    void start(int controls, int entries)
    {
        for (int i = 1; i <= controls; ++i)
            controls_.push_back(address(i));
        for (int i = 1; i <= controls; ++i)
            processes_["control" + std::to_string(i)] = Process{"control", address(i)};
        for (int i = 1; i <= entries; ++i)
            processes_["entry" + std::to_string(i)] = Process{"entry", address(10 + i)};
        for (auto &[name, process] : processes_)
            spawn(name);
    }

    void spawn(const std::string &name)
    {
        Process &process = processes_.at(name);
        const std::string settings = folder_ + "/" + name + ".ini";
        std::ofstream(settings) << fillIn(name, process);
        process.started_ = true;
        const std::string program = repository_ + "/target/bin/chervilspringd";
        std::vector<std::string> variables = {"CHERVILSPRING_SETTINGS=" + settings};
        for (char **item = environ; *item; ++item) {
            const std::string text = *item;
            if (text.starts_with("PATH=") || text.starts_with("HOME=") || text.starts_with("LANG="))
                variables.push_back(text);
        }
        std::vector<char *> environment;
        for (std::string &text : variables)
            environment.push_back(text.data());
        environment.push_back(nullptr);
        std::string word = "target/bin/chervilspringd";
        char *arguments[] = {word.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, (folder_ + "/" + name + ".log").c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0640);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        posix_spawn_file_actions_addchdir_np(&actions, repository_.c_str());
        if (posix_spawn(&process.pid_, program.c_str(), &actions, nullptr, arguments,
                        environment.data())
            != 0)
            process.pid_ = -1;
        posix_spawn_file_actions_destroy(&actions);
        record.line("platform: %s started, pid %d, address %s", name.c_str(), process.pid_,
                    process.address_.c_str());
    }

    void signal(const std::string &name, int number)
    {
        Process &process = processes_.at(name);
        if (process.pid_ <= 0)
            return;
        ::kill(process.pid_, number);
        record.line("platform: signal %d to %s", number, name.c_str());
        if (number == SIGKILL) {
            ::waitpid(process.pid_, nullptr, 0);
            process.pid_ = -1;
        }
    }

    /// Whether a process has ended by itself; it is reaped then.
    bool hasEnded(const std::string &name, int &status)
    {
        Process &process = processes_.at(name);
        if (process.pid_ <= 0 || ::waitpid(process.pid_, &status, WNOHANG) != process.pid_)
            return false;
        process.pid_ = -1;
        return true;
    }

    /// Resident memory of a process in kB.
    long residentKb(const std::string &name)
    {
        std::ifstream status("/proc/" + std::to_string(processes_.at(name).pid_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }

    std::string nameOf(const std::string &address) const
    {
        for (const auto &[name, process] : processes_) {
            if (process.address_ == address)
                return name;
        }
        return {};
    }
    std::map<std::string, Process> &processes() { return processes_; }
    const std::vector<std::string> &controls() const { return controls_; }

    /// Ends all processes and this one.
    [[noreturn]] void finish(int status)
    {
        stopAll();
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(folder_, ignored);
        std::fflush(stdout);
        std::_Exit(status);
    }

    void stopAll()
    {
        for (auto &[name, process] : processes_) {
            if (process.pid_ <= 0)
                continue;
            ::kill(process.pid_, SIGKILL);
            ::kill(process.pid_, SIGCONT);
            ::waitpid(process.pid_, nullptr, 0);
            process.pid_ = -1;
        }
    }

    /// Sends a call to a process that serves control and follows two redirects.
    /// @param answeredBy receives the address of the process that answered last
    Answer control(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &body, std::string &answeredBy, int timeoutMs = 1000)
    {
        answeredBy = address;
        Answer answer;
        for (int hop = 0; hop < 3; ++hop) {
            answer =
                call(answeredBy, controlPort,
                     makeRequest(method, path, answeredBy,
                                 "Content-Type: application/json\r\nConnection: close\r\n", body),
                     timeoutMs);
            if (answer.status_ != 307)
                return answer;
            const std::string location = answer.message_.header("location");
            answeredBy = location.substr(7, location.find(':', 7) - 7);
        }
        return answer;
    }

    /// Sends an order of the operator to one node after the other until it is acknowledged.
    /// @return the address of the process that acknowledged it; empty if none did in time
    std::string apply(const std::string &document, int timeoutMs)
    {
        const auto until = Clock::now() + Milliseconds(timeoutMs);
        for (std::size_t i = 0; Clock::now() < until; ++i) {
            std::string by;
            const Answer answer =
                control(controls_[i % controls_.size()], "PUT", "/-/config", document, by);
            if (answer.status_ == 200)
                return by;
            if (answer.status_ / 100 == 4)
                record.line("operator: refused %d %s", answer.status_,
                            answer.message_.body_.c_str());
            pause(100);
        }
        return {};
    }

    bool ready(const std::string &entry)
    {
        return call(entry, readyPort, makeRequest("GET", "/-/ready", entry, "", ""), 500).status_
            == 200;
    }

    static constexpr int internalPort = 7740;
    static constexpr int controlPort = 8628;
    static constexpr int frontPort = 8625;
    static constexpr int readyPort = 8621;

private:
    std::string fillIn(const std::string &name, const Process &process) const
    {
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, controls_.size()); ++i)
            seeds += (i ? "," : "") + controls_[i] + ":" + std::to_string(controlPort);
        const bool isControl = process.role_ == "control";
        const std::string port = ":" + std::to_string(isControl ? controlPort : frontPort);
        std::string data;
        if (isControl) {
            data = folder_ + "/data-" + name;
            std::filesystem::create_directories(data);
        }
        const std::map<std::string, std::string> values = {
            {"role", process.role_},
            {"ip", process.address_},
            {"zone", "zone-a"},
            {"internal_ports.0", std::to_string(internalPort)},
            {"listen.front", isControl ? "" : process.address_ + port},
            {"listen.control", isControl ? process.address_ + port : ""},
            {"listen.ready", isControl ? "" : process.address_ + ":" + std::to_string(readyPort)},
            {"seeds", seeds},
            {"first_start", process.started_ ? "false" : "true"},
            {"bounds.grace_s", "8"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_slack", "52"},
            {"bounds.retry_window_s", "10"},
            {"data_dir", data}};
        std::string text = template_;
        for (const auto &[key, value] : values) {
            const std::string mark = "{{" + key + "}}";
            for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
                text.replace(at, mark.size(), value);
        }
        return text;
    }

    std::string repository_;
    std::string folder_;
    std::string block_;
    std::string template_;
    std::map<std::string, Process> processes_;
    std::vector<std::string> controls_;
};

/// A stand-in of a server: registers, and passes requests to a handler.
class Server
{
public:
    /// Answers a request on a connection; returns false to close it.
    using Handler = std::function<bool(Server &, Connection &, const Message &)>;

    Server(Fleet &fleet, std::string id, std::string service, std::string address, Handler handler)
        : fleet_(fleet), id_(std::move(id)), service_(std::move(service)),
          address_(std::move(address)), handler_(std::move(handler))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(8080);
        inet_pton(AF_INET, address_.c_str(), &at.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0
            || ::listen(listener_, 1024) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        std::thread([this] { acceptLoop(); }).detach();
        std::thread([this] { registerLoop(); }).detach();
    }

    const std::string &id() const { return id_; }
    std::string endpoint() const { return address_ + ":8080"; }
    std::atomic<bool> registers_{true};

private:
    void acceptLoop()
    {
        while (true) {
            const int file = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0)
                continue;
            const int on = 1;
            ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, file] {
                Connection connection(file);
                Message request;
                while (connection.read(request, 600000)) {
                    const std::string expected = request.header("x-expect-instance");
                    if (!expected.empty() && expected != id_) {
                        connection.write("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
                                         "Content-Length: 0\r\n\r\n");
                        continue;
                    }
                    if (!handler_(*this, connection, request))
                        return;
                }
            }).detach();
        }
    }
    void registerLoop()
    {
        const auto &controls = fleet_.controls();
        std::size_t next = std::hash<std::string>()(id_);
        for (int sequence = 1;; ++sequence) {
            bool acknowledged = !registers_;
            for (std::size_t i = 0; i < controls.size() && !acknowledged; ++i) {
                std::string by;
                const std::string body =
                    boost::json::serialize(boost::json::object{{"service", service_},
                                                               {"address", endpoint()},
                                                               {"zone", "zone-a"},
                                                               {"version", "v1"},
                                                               {"slots", 64},
                                                               {"state", "ready"},
                                                               {"cold_left_ms", 0},
                                                               {"sequence", sequence},
                                                               {"born", 1000}});
                acknowledged = fleet_
                                   .control(controls[next % controls.size()], "PUT",
                                            "/-/instances/" + id_, body, by)
                                   .status_
                    == 200;
                if (!acknowledged)
                    ++next;
            }
            pause(1200);
        }
    }

    Fleet &fleet_;
    std::string id_;
    std::string service_;
    std::string address_;
    Handler handler_;
    int listener_ = -1;
};

inline std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

/// A server of stages: makes handles that name the request, the stage and the piece.
inline bool answerStageCall(Server &server, Connection &connection, const Message &request)
{
    if (request.target() != "/-/stage-run")
        return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    const auto call = boost::json::parse(request.body_);
    boost::json::array results;
    for (const auto &item : call.at("items").as_array()) {
        const std::string id(item.at("id").as_string());
        results.push_back(boost::json::object{{"handle",
                                               server.endpoint() + "/" + id + "."
                                                   + boost::json::serialize(item.at("stage")) + "."
                                                   + boost::json::serialize(item.at("piece"))}});
    }
    pause(30);
    const std::string body = boost::json::serialize(boost::json::object{{"items", results}});
    return connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Writes an event stream of some events with the headers of a server.
inline bool writeStream(Connection &connection, const std::string &id, int events, int gapMs)
{
    if (!connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                          + id + "\r\nX-Response-Seal: seal-" + id
                          + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int event = 1; event <= events; ++event) {
        pause(gapMs);
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!connection.write(size + text + "\r\n"))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

} // namespace review
