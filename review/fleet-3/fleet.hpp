/// @file
/// @brief A small deployment on loopback addresses for the scripts of this review: real control
/// processes and entries, started with the command and the settings template of the deploy file,
/// and stand-ins of the operator, of servers and of clients.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief An HTTP message, either way.
struct Message
{
    std::string method_; ///< of a request
    std::string target_; ///< of a request
    int status_ = 0; ///< of a response; 0: no complete response
    Headers headers_;
    std::string body_;

    /// @brief Returns the value of a header, empty if there is none.
    std::string header(const std::string &name) const;
    /// @brief Returns how often a header occurs.
    std::size_t count(const std::string &name) const;
};

/// @brief Writes lines with the time since the start to record.txt. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);
    void write(const std::string &line);

private:
    std::mutex mutex_;
    std::string file_;
    Clock::time_point startedAt_ = Clock::now();
};

/// @brief A TCP connection with time limits.
class Connection
{
public:
    explicit Connection(int file) : file_(file) { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// @brief Connects to an address. Returns nullptr if that fails within the time.
    static std::unique_ptr<Connection> open(const std::string &address, std::uint16_t port,
                                            milliseconds timeout);
    bool send(const std::string &bytes);
    /// @brief Reads a whole request or response.
    /// @param received receives the message; status_ stays 0 if no complete one arrived
    /// @return false if the connection ended, or the time has passed, before its end
    bool receive(Message &received, bool isRequest, milliseconds timeout);
    /// @brief Whether the peer has closed the connection.
    bool isClosedByPeer() const;
    /// @brief Closes with a reset.
    void reset();

private:
    bool readMore(Clock::time_point until);
    int file_;
    std::string buffer_;
};

/// @brief Sends one request on a connection of its own.
/// @return the response; its status is 0 if no complete one arrived in time
Message call(const std::string &address, std::uint16_t port, const std::string &method,
             const std::string &target, const Headers &headers, const std::string &body,
             milliseconds timeout);

/// @brief Returns the text of a response with a body and a length.
std::string responseText(int status, const Headers &headers, const std::string &body);

/// @brief A server: accepts connections on a free port and passes each request to a handler, which
/// writes the answer itself.
class Server
{
public:
    /// Returns whether the connection stays open for another request.
    using Handler = std::function<bool(Connection &, const Message &)>;

    /// @param port port to listen on; 0: any free one
    Server(std::string address, Handler handler, std::uint16_t port = 0);
    ~Server();
    /// @brief Stops listening and resets all connections, like a process that has ended.
    void stop();
    std::uint16_t port() const { return port_; }
    std::string endpoint() const { return address_ + ":" + std::to_string(port_); }

private:
    void accept();
    void serve(int file);
    std::string address_;
    Handler handler_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<int> open_;
    std::atomic<int> serving_{0};
    std::thread thread_;
};

/// @brief The processes of the system, the operator and the registrations of servers.
class Fleet
{
public:
    /// @param program path of chervilspringd
    /// @param settingsTemplate path of the template of the deploy file
    Fleet(Record &record, std::string program, const std::string &settingsTemplate, int controls,
          int entries);
    ~Fleet();

    /// @brief Starts all processes for the first time.
    void start();
    void spawn(const std::string &address);
    void signal(const std::string &address, int number);
    /// @brief Adds a control process at a new address, with an empty disk, and starts it.
    std::string addControl();
    /// @brief Takes a control process that has ended from the operator's list, for good.
    void removeControl(const std::string &address);
    /// @brief Kills control processes, removes their data and starts them again after a time.
    void loseDisks(const std::vector<std::string> &addresses, milliseconds downTime);
    /// @brief Whether a process has run without an end since it was started.
    bool isRunning(const std::string &address);

    const std::vector<std::string> &controls() const { return controls_; }
    const std::vector<std::string> &entries() const { return entries_; }
    std::uint16_t entryPort() const { return entryPort_; }
    /// @brief Returns an address that no process of the system uses.
    std::string otherAddress(int number) const { return prefix_ + std::to_string(100 + number); }

    /// @brief Makes a call to the interface for operators and servers: follows redirects twice and
    /// moves on to the next process, until a response other than 408, 429 or 5xx arrives.
    Message control(const std::string &method, const std::string &target, const std::string &body,
                    milliseconds timeout, const std::string &why = "");
    /// @brief Sends a desired state until it is answered clearly. Returns whether it was accepted.
    bool apply(const std::string &document, milliseconds timeout);
    /// @brief Returns the address of the leader, as the others name it; empty if there is none.
    std::string leader();
    /// @brief Sends a call to one process and doesn't follow redirects.
    Message callControl(const std::string &address, const std::string &method,
                        const std::string &target, const std::string &body, milliseconds timeout);
    bool isReady(const std::string &entry);
    std::uint16_t controlPort() const { return controlPort_; }
    /// @brief Returns the log of a process.
    std::string logOf(const std::string &address) const;

private:
    std::string settingsOf(const std::string &address) const;
    std::filesystem::path dataFolder(const std::string &address) const;

    Record &record_;
    std::string program_;
    std::string template_;
    std::filesystem::path folder_;
    std::string prefix_;
    std::uint16_t entryPort_ = 0, readyPort_ = 0, controlPort_ = 0, internalPort_ = 0;
    std::vector<std::string> controls_, entries_;
    std::map<std::string, int> pids_;
    std::mutex mutex_;
    bool firstStart_ = true;
    int lastControl_ = 0; ///< number of the newest control machine
    std::size_t nextControl_ = 0;
};

/// @brief Repeats a server's registration until it is told to stop.
class Registration
{
public:
    using Body = std::function<std::string(std::uint64_t sequence)>;
    Registration(Fleet &fleet, std::string id, Body body);
    ~Registration() { stop(); }
    void stop();
    bool acknowledged() const { return acknowledged_; }

private:
    Fleet &fleet_;
    std::string id_;
    Body body_;
    std::atomic<bool> stopped_{false};
    std::atomic<bool> acknowledged_{false};
    std::thread thread_;
};

/// @brief A run of a request at a server.
struct Run
{
    std::string server_; ///< instance id
    std::string request_; ///< X-Request-Id
    std::string tenant_; ///< X-Tenant; empty: none
    Clock::time_point at_{};
};

/// @brief Runs at all servers, and what they answered. Thread-safe.
class Runs
{
public:
    explicit Runs(Record &record) : record_(record) { }
    void add(const std::string &server, const Message &request);
    std::vector<Run> all() const;
    std::size_t countOf(const std::string &request) const;

private:
    Record &record_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

/// @brief A sound server of a plain service: checks whom a request is for, works on it for some
/// time and answers with a seal and the request's id. Any number of requests at once.
class PlainServer
{
public:
    PlainServer(std::string address, std::string id, Runs &runs, milliseconds workTime,
                std::uint16_t port = 0);
    const std::string &id() const { return id_; }
    Server &server() { return server_; }
    /// @brief Called before a request is run. Returns whether the server goes on with it.
    std::function<bool(Connection &, const Message &)> beforeRun_;

private:
    bool answer(Connection &connection, const Message &request);
    std::string id_;
    Runs &runs_;
    milliseconds workTime_;
    Server server_; ///< last: its threads use the other members
};

/// @brief Returns the body of a server's registration.
std::string registrationBody(const std::string &service, const std::string &endpoint,
                             const std::string &state, std::uint64_t born, std::uint64_t sequence);

/// @brief Returns a desired state with one service "book", a safe and an unsafe route to it at the
/// host book.example (paths /safe/ and /unsafe/), and the given JSON list of tenants.
std::string desiredState(std::uint64_t version, const std::string &tenants);

/// @brief Returns the milliseconds since 1970.
std::uint64_t unixMilliseconds();

/// @brief Whether the script runs with its disruption: TROUBLE isn't 0.
bool hasTrouble();

/// @brief Waits until a condition holds. Returns false on timeout.
bool waitUntil(const std::function<bool()> &condition, milliseconds timeout);

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

} // namespace review
