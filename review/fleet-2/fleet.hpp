/// @file
/// @brief Runs a small deployment as separate processes on loopback: control processes and entries
/// with the commands and the settings template of deploy/, and stand-ins of the platform, plain
/// servers, servers' heartbeats, operators and callers.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Exit status of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// @brief Thrown if a case can't be run to its check.
struct CouldNotRun
{
    std::string reason_;
};

/// @brief Writes the lines of record.txt, each with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    Clock::time_point startedAt_ = Clock::now();
    std::FILE *file_ = nullptr;
};

/// @brief An HTTP message.
struct Message
{
    std::string startLine_;
    std::map<std::string, std::string> headers_; ///< by name in lower case
    std::string body_;
    bool complete_ = false; ///< the whole message was received

    int status() const; ///< of a response; 0 if there was none
    std::string header(const std::string &name) const;
};

/// @brief Address of a socket.
struct Address
{
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// @brief Connects to an address.
/// @param receiveBuffer size of the receive buffer in bytes; 0: the system's
/// @return the descriptor, -1 on failure
int connectTo(const Address &address, milliseconds timeout, int receiveBuffer = 0);

/// @brief Writes all bytes. Returns false on failure.
bool writeAll(int socket, const std::string &bytes);

/// @brief Reads a message whose length its head tells. pending keeps bytes of the next one.
Message readMessage(int socket, std::string &pending, Clock::time_point deadline);

/// @brief Sends a request on a new connection and reads the response.
Message call(const Address &address, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &headers, const std::string &body,
             milliseconds timeout);

/// @brief Control processes and entries.
class Fleet
{
public:
    static constexpr std::uint16_t frontPort_ = 8625; ///< for callers
    static constexpr std::uint16_t readyPort_ = 8621; ///< for readiness probes
    static constexpr std::uint16_t controlPort_ = 8628; ///< for operators and servers

    /// @param root root folder of the repository
    /// @param controls number of control processes
    /// @param entries number of entries
    Fleet(Record &record, const std::string &root, int controls, int entries);
    ~Fleet();

    /// @brief Starts a process with the settings that hold now.
    void start(const std::string &ip);
    /// @brief Kills a process and waits for its end.
    void kill(const std::string &ip);
    /// @brief Replaces the disk of a control process that doesn't run by an empty one.
    void loseDisk(const std::string &ip);
    /// @brief Whether a process has run without an end since it was started.
    bool isRunning(const std::string &ip);
    /// @brief Resident memory of a process in MB.
    double memoryMb(const std::string &ip) const;
    /// @brief Waits until an entry is ready.
    void waitUntilReady(const std::string &ip, milliseconds timeout);

    /// @brief IP address of a server, which nothing else uses.
    std::string serverIp(int number) const { return net_ + "." + std::to_string(100 + number); }

    std::vector<std::string> controls_; ///< IP addresses
    std::vector<std::string> entries_; ///< IP addresses
    bool firstStart_ = true; ///< setting of processes that are started from now on
    Record &record_;

private:
    std::string settingsOf(const std::string &ip) const;

    std::string root_;
    std::string net_; ///< first three bytes of all addresses
    std::string folder_; ///< temporary
    std::map<std::string, pid_t> pids_;
};

/// @brief Calls the control processes as operators and servers do: one of them, up to two
/// redirects, another one after a failure.
class ControlCaller
{
public:
    explicit ControlCaller(Fleet &fleet) : fleet_(fleet) { }

    /// @brief Sends a call until it gets a clear answer or the time is over.
    /// @return the last response
    Message send(const std::string &method, const std::string &path, const std::string &body,
                 milliseconds timeout);

    /// @brief Sends a call once, without following redirects.
    Message sendOnce(const std::string &ip, const std::string &method, const std::string &path,
                     const std::string &body);

    /// @brief IP address of the process that the others redirect to; empty if there is none.
    std::string findLeader();

private:
    Fleet &fleet_;
    unsigned next_ = 0;
};

/// @brief A run of a request at a server.
struct Run
{
    Clock::time_point at_;
    std::string request_;
    std::string server_;
    bool answered_ = false;
};

/// @brief A plain server.
class Server
{
public:
    /// @param service name of its service
    /// @param responseBytes length of its responses
    Server(Fleet &fleet, std::string id, const std::string &ip, milliseconds workTime,
           std::string service = "book", std::size_t responseBytes = 200);
    ~Server();

    /// @brief Body of the next heartbeat.
    std::string heartbeat();
    /// @brief Sends heartbeats until it is stopped.
    void startHeartbeats(milliseconds interval);
    void stopHeartbeats();
    Clock::time_point lastAcknowledged() const { return lastAcknowledged_; }
    std::string path() const { return "/-/instances/" + id_; }
    std::string id() const { return id_; }
    std::vector<Run> runs();
    /// @brief Ends: closes all connections and accepts no more.
    void end();

private:
    void acceptLoop();
    void serve(int socket);

    Fleet &fleet_;
    std::string id_;
    Address address_;
    milliseconds workTime_;
    std::string service_;
    std::size_t responseBytes_;
    std::int64_t bornMs_;
    std::uint64_t sequence_ = 0;
    int listener_ = -1;
    std::atomic<bool> ended_{false};
    std::atomic<bool> beating_{false};
    std::atomic<Clock::time_point> lastAcknowledged_{Clock::time_point{}};
    std::mutex mutex_;
    std::vector<int> sockets_;
    std::vector<Run> runs_;
    std::vector<std::thread> threads_;
    std::thread heartbeats_;
};

/// @brief Desired state with a safe route /look/ and an unsafe route /place/ to the service "book".
/// It has a service "desk", too.
/// @param hasDeskRoute whether there is a safe route /desk/ to that service
std::string desiredState(int version, bool hasDeskRoute = false);

/// @brief Headers of a caller's request.
std::map<std::string, std::string> callerHeaders(const std::string &id, milliseconds deadline);

/// @brief Runs a case: argv[1] is the root folder of the repository, argv[2] the record.
int runCase(int argc, char **argv,
            const std::function<Verdict(Record &, const std::string &)> &run);

/// @brief Whether the case is to be run with its disruption.
bool isTroubled();

} // namespace review
