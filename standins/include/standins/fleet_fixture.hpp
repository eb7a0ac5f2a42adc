/// @file
/// @brief Starts a whole fleet as separate processes on loopback, for the demo, tests and
/// benchmarks.
#pragma once

#include "chervilspring/time.hpp"

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace standins {

using chervilspring::milliseconds;

/// @brief An upstream to start.
struct UpstreamSpec
{
    std::string name_; ///< name of the upstream and of its agent
    std::string kind_; ///< "service", "llm" or "booking"
    std::string labels_; ///< "KEY=VALUE,..."
    std::string dataCenter_ = "dc1";
    int concurrency_ = 4; ///< number of calls that the upstream runs at once
    int meanMicroseconds_ = 10000; ///< mean service time of a plain call
    int stepMicroseconds_ = 8000; ///< constant part of a language model's decoding step
};

/// @brief Folders that the fixture uses.
struct FixturePaths
{
    std::filesystem::path programs_; ///< folder of the programs
    std::filesystem::path work_; ///< folder for settings, data and logs
};

/// @brief An HTTP response as a caller received it.
struct CallerAnswer
{
    unsigned status_ = 0; ///< 0 without a response
    std::string body_;
    std::vector<std::string> events_; ///< server-sent events of a streamed response
    std::string requestId_; ///< request id from the response's headers
};

/// @brief Those settings of the processes that tests change.
struct FixtureSettings
{
    int electionTimeoutMs_ = 600;
    int snapshotEntries_ = 4096;
    int stopDelayMs_ = 200;
    int graceMs_ = 8000;
    int staleAfterMs_ = 16000;
    int replaceAfterMs_ = 30000;
    int nodeLeaseMs_ = 3000;
};

/// @brief A fleet of processes. The destructor kills all of them.
class FleetFixture
{
public:
    /// @brief Empties the work folder. Starts no process.
    /// @param paths folder of the programs and work folder
    /// @param settings settings of all processes
    FleetFixture(FixturePaths paths, FixtureSettings settings = {});
    ~FleetFixture();
    FleetFixture(const FleetFixture &) = delete;
    FleetFixture &operator=(const FleetFixture &) = delete;

    /// @brief Starts the given number of control processes, named c1, c2, ...
    void startControls(int count);

    /// @brief Starts an entry.
    /// @param name such as "e1"
    /// @param dataCenter data centre of the entry
    void startEntry(const std::string &name, const std::string &dataCenter = "dc1");

    /// @brief Starts an agent and its stand-in upstream "up-NAME".
    void startUpstream(const UpstreamSpec &spec);

    /// @brief Starts the stand-in upstream of a running agent.
    void startStandIn(const UpstreamSpec &spec);

    /// @brief Starts an agent without its upstream.
    void startAgent(const UpstreamSpec &spec);

    /// @brief Restarts a process that has ended, with the same command line.
    void restart(const std::string &name);

    /// @brief Sends a signal to a process.
    void signal(const std::string &name, int number);

    /// @brief Waits for a process to end.
    /// @return exit status, -1 on timeout, 128 + n if signal n ended the process
    int waitForEnd(const std::string &name, milliseconds timeout);

    /// @brief Whether a process is running.
    bool running(const std::string &name);

    /// @brief Stops every process with SIGTERM: entries, then agents and upstreams, then control
    /// processes.
    /// @return names of processes that did not exit with status 0 in time
    std::vector<std::string> stopAll();

    /// @brief Runs chervilctl and stores its output for lastOutput().
    /// @return exit status
    int ctl(const std::vector<std::string> &arguments);

    /// @brief Standard output and error of the last ctl().
    const std::string &lastOutput() const { return lastOutput_; }

    /// @brief Waits until /readyz of a process returns 200.
    /// @return false on timeout
    bool waitReady(const std::string &name, milliseconds timeout);

    /// @brief Waits until the leader knows at least this number of serving upstreams.
    /// @return false on timeout
    bool waitServing(int count, milliseconds timeout);

    /// @brief Calls a pipeline at an entry and waits for the response.
    /// @param entry name of the entry
    /// @param pipeline name of the pipeline
    /// @param credential credential of the client account
    /// @param body JSON text
    /// @param key Idempotency-Key, empty for none
    /// @param deadline value of X-Deadline-Ms, 0 for none
    /// @param stream whether to ask for a streamed response
    CallerAnswer call(const std::string &entry, const std::string &pipeline,
                      const std::string &credential, const std::string &body,
                      const std::string &key = {}, milliseconds deadline = milliseconds(0),
                      bool stream = false);

    /// @brief Sends an HTTP request to a process.
    CallerAnswer http(const std::string &name, const std::string &method, const std::string &target,
                      const std::string &body = {}, const std::string &credential = {});

    /// @brief Sets faults of a stand-in upstream.
    /// @param upstream name of the upstream, without "up-"
    /// @param json body for /fault of the stand-in
    void fault(const std::string &upstream, const std::string &json);

    /// @brief Number of runs of each booking, by marker, as the stand-in upstreams recorded them.
    std::map<std::string, int> runs() const;

    /// @brief HTTP port of a process.
    std::uint16_t httpPort(const std::string &name) const { return httpPorts_.at(name); }

    /// @brief Process id of a running process.
    pid_t pid(const std::string &name) const { return processes_.at(name).pid_; }

    /// @brief Port on which a process accepts connections of other processes.
    std::uint16_t peerPort(const std::string &name) const { return peerPorts_.at(name); }

    /// @brief Names of all processes in the order of their first start. An agent has the name of
    /// its upstream.
    std::vector<std::string> names() const;

    /// @brief Log file of a process.
    std::filesystem::path logFile(const std::string &name) const;

    /// @brief Name of the control process that is the leader, empty if there is none.
    std::string leader();

    /// @brief Credential for operator calls.
    static const char *operatorCredential();

    /// @brief Shared secret of all processes.
    static const char *secret();

private:
    struct Process
    {
        std::vector<std::string> command_;
        pid_t pid_ = -1; ///< -1 while it is not running
        int status_ = -1; ///< exit status once it has ended
    };

    std::uint16_t findFreePort(); ///< next port after nextPort_ that is free
    void spawn(const std::string &name);
    void writeSettings(const std::string &name, const std::string &role,
                       const std::string &dataCenter, const std::string &extraSections);
    std::string formatControls() const; ///< value of the setting "control"

    FixturePaths paths_;
    FixtureSettings settings_;
    std::map<std::string, Process> processes_;
    std::map<std::string, std::uint16_t> peerPorts_; ///< by process name; 0 for entries
    std::map<std::string, std::uint16_t> httpPorts_; ///< by process name
    std::vector<std::string> controls_; ///< names of the control processes
    std::vector<std::string> startOrder_; ///< process names in order of their first start
    std::uint16_t nextPort_; ///< the search for a free port continues after this port
    std::string lastOutput_;
};

} // namespace standins
