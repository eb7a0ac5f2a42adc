#include "standins/fleet_fixture.hpp"

#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/digest.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

extern char **environ;

namespace standins {

using namespace chervilspring;

namespace {

constexpr auto pollInterval = milliseconds(20);
constexpr auto stopTimeout = milliseconds(15000);
constexpr std::uint16_t firstPort = 20000; // below the ephemeral port range
constexpr std::uint16_t lastPort = 32000;

bool canBind(std::uint16_t port)
{
    boost::asio::io_context context;
    boost::system::error_code error;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

HttpCallResult perform(const HttpCall &call, std::vector<std::string> *events)
{
    boost::asio::io_context context(1);
    HttpClient client(context);
    HttpCallResult result;
    std::function<void(const std::string &)> onEvent;
    if (events)
        onEvent = [events](const std::string &event) { events->push_back(event); };
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> { result = co_await client.perform(call, onEvent); },
        boost::asio::detached);
    context.run();
    return result;
}

std::string readText(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

pid_t spawnProcess(const std::vector<std::string> &command, const std::string &outputFile)
{
    std::vector<char *> arguments;
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0640);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    if (posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ) != 0)
        pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

int exitStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

const char *FleetFixture::operatorCredential()
{
    return "operator-credential";
}

const char *FleetFixture::secret()
{
    return "a-shared-secret-of-this-fleet";
}

FleetFixture::FleetFixture(FixturePaths paths, FixtureSettings settings)
    : paths_(std::move(paths)), settings_(settings),
      nextPort_(static_cast<std::uint16_t>(firstPort + randomId() % (lastPort - firstPort)))
{
    std::filesystem::remove_all(paths_.work_);
    std::filesystem::create_directories(paths_.work_);
    setenv("CHERVILSPRING_CREDENTIAL", operatorCredential(), 1);
}

FleetFixture::~FleetFixture()
{
    for (auto &[name, process] : processes_) {
        if (process.pid_ <= 0)
            continue;
        ::kill(process.pid_, SIGKILL);
        ::kill(process.pid_, SIGCONT);
        ::waitpid(process.pid_, nullptr, 0);
    }
}

std::uint16_t FleetFixture::findFreePort()
{
    do {
        nextPort_ = nextPort_ >= lastPort ? firstPort : static_cast<std::uint16_t>(nextPort_ + 1);
    } while (!canBind(nextPort_));
    return nextPort_;
}

std::filesystem::path FleetFixture::logFile(const std::string &name) const
{
    return paths_.work_ / (name + ".log");
}

std::string FleetFixture::formatControls() const
{
    std::string list;
    for (const std::string &name : controls_)
        list +=
            (list.empty() ? "" : ", ") + name + "@127.0.0.1:" + std::to_string(peerPorts_.at(name));
    return list;
}

void FleetFixture::writeSettings(const std::string &name, const std::string &role,
                                 const std::string &dataCenter, const std::string &extraSections)
{
    std::ofstream file(paths_.work_ / (name + ".ini"));
    file << "[node]\nrole = " << role << "\nname = " << name << "\ndata_center = " << dataCenter
         << "\naddress = 127.0.0.1\nport = " << peerPorts_[name]
         << "\nhttp_port = " << httpPorts_[name] << "\nsecret = " << secret()
         << "\nread_timeout = 1000\nstale_after = " << settings_.staleAfterMs_
         << "\nstop_delay = " << settings_.stopDelayMs_ << "\ngrace = " << settings_.graceMs_
         << "\ncontrol = " << formatControls() << "\n[log]\nfile = " << logFile(name).string()
         << "\n"
         << extraSections;
}

void FleetFixture::spawn(const std::string &name)
{
    Process &process = processes_.at(name);
    process.pid_ = spawnProcess(process.command_, (paths_.work_ / (name + ".out")).string());
    if (std::find(startOrder_.begin(), startOrder_.end(), name) == startOrder_.end())
        startOrder_.push_back(name);
}

void FleetFixture::startControls(int count)
{
    for (int i = 1; i <= count; ++i) {
        controls_.push_back("c" + std::to_string(i));
        peerPorts_[controls_.back()] = findFreePort();
        httpPorts_[controls_.back()] = findFreePort();
    }
    for (const std::string &name : controls_) {
        std::ostringstream section;
        section << "[control]\ndata_folder = " << (paths_.work_ / name).string()
                << "\noperator_salt = town\noperator_digest = "
                << credentialDigest("town", operatorCredential())
                << "\nelection_timeout = " << settings_.electionTimeoutMs_
                << "\nsnapshot_entries = " << settings_.snapshotEntries_
                << "\nreplace_after = " << settings_.replaceAfterMs_
                << "\nnode_lease = " << settings_.nodeLeaseMs_ << "\n";
        writeSettings(name, "control", "dc1", section.str());
        processes_[name].command_ = {(paths_.programs_ / "chervilspringd").string(), "--settings",
                                     (paths_.work_ / (name + ".ini")).string()};
        spawn(name);
    }
}

void FleetFixture::startEntry(const std::string &name, const std::string &dataCenter)
{
    peerPorts_[name] = 0;
    httpPorts_[name] = findFreePort();
    writeSettings(name, "entry", dataCenter, "");
    processes_[name].command_ = {(paths_.programs_ / "chervilspringd").string(), "--settings",
                                 (paths_.work_ / (name + ".ini")).string()};
    spawn(name);
}

void FleetFixture::startAgent(const UpstreamSpec &spec)
{
    const std::string &name = spec.name_;
    peerPorts_[name] = findFreePort();
    httpPorts_[name] = findFreePort();
    writeSettings(name, "agent", spec.dataCenter_, "");
    processes_[name].command_ = {(paths_.programs_ / "chervilspringd").string(), "--settings",
                                 (paths_.work_ / (name + ".ini")).string()};
    spawn(name);
}

void FleetFixture::startStandIn(const UpstreamSpec &spec)
{
    const std::string name = "up-" + spec.name_;
    httpPorts_[name] = findFreePort();
    processes_[name].command_ = {(paths_.programs_ / "standin_upstream").string(),
                                 "--kind=" + spec.kind_,
                                 "--labels=" + spec.labels_,
                                 "--port=" + std::to_string(httpPorts_[name]),
                                 "--agent=" + std::to_string(httpPorts_.at(spec.name_)),
                                 "--concurrency=" + std::to_string(spec.concurrency_),
                                 "--mean-us=" + std::to_string(spec.meanMicroseconds_),
                                 "--step-us=" + std::to_string(spec.stepMicroseconds_),
                                 "--runs-file=" + (paths_.work_ / (name + ".runs")).string()};
    spawn(name);
}

void FleetFixture::startUpstream(const UpstreamSpec &spec)
{
    startAgent(spec);
    startStandIn(spec);
}

void FleetFixture::restart(const std::string &name)
{
    spawn(name);
}

void FleetFixture::signal(const std::string &name, int number)
{
    const Process &process = processes_.at(name);
    if (process.pid_ <= 0)
        return;
    ::kill(process.pid_, number);
    if (number != SIGSTOP)
        return;
    // On a busy machine, threads run on for a while after the signal was sent.
    siginfo_t state{};
    ::waitid(P_PID, static_cast<id_t>(process.pid_), &state, WSTOPPED | WEXITED | WNOWAIT);
}

bool FleetFixture::running(const std::string &name)
{
    Process &process = processes_.at(name);
    if (process.pid_ <= 0)
        return false;
    int status = 0;
    if (::waitpid(process.pid_, &status, WNOHANG) != process.pid_)
        return true;
    process.status_ = exitStatus(status);
    process.pid_ = -1;
    return false;
}

int FleetFixture::waitForEnd(const std::string &name, milliseconds timeout)
{
    const Instant deadline = BootClock::now() + timeout;
    while (running(name)) {
        if (BootClock::now() > deadline)
            return -1;
        std::this_thread::sleep_for(pollInterval);
    }
    return processes_.at(name).status_;
}

std::vector<std::string> FleetFixture::stopAll()
{
    // Entries first, then agents and upstreams, then control processes. Entries have peer port 0.
    const auto stopGroup = [&](const std::string &name) {
        if (std::find(controls_.begin(), controls_.end(), name) != controls_.end())
            return 2;
        return peerPorts_.contains(name) && peerPorts_.at(name) == 0 ? 0 : 1;
    };
    std::vector<std::string> failed;
    for (int group = 0; group <= 2; ++group) {
        std::vector<std::string> stopping;
        for (const std::string &name : startOrder_) {
            if (stopGroup(name) == group && running(name))
                stopping.push_back(name);
        }
        for (const std::string &name : stopping)
            signal(name, SIGTERM);
        for (const std::string &name : stopping) {
            if (waitForEnd(name, stopTimeout) != 0)
                failed.push_back(name);
        }
    }
    return failed;
}

int FleetFixture::ctl(const std::vector<std::string> &arguments)
{
    std::string controlAddresses;
    for (const std::string &name : controls_)
        controlAddresses += (controlAddresses.empty() ? "" : ",") + std::string("127.0.0.1:")
            + std::to_string(httpPorts_.at(name));
    std::vector<std::string> command = {(paths_.programs_ / "chervilctl").string(),
                                        "--control=" + controlAddresses};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const auto outputFile = paths_.work_ / "ctl.out";
    std::filesystem::remove(outputFile);
    const pid_t pid = spawnProcess(command, outputFile.string());
    int status = 0;
    ::waitpid(pid, &status, 0);
    lastOutput_ = readText(outputFile);
    return exitStatus(status);
}

CallerAnswer FleetFixture::http(const std::string &name, const std::string &method,
                                const std::string &target, const std::string &body,
                                const std::string &credential)
{
    HttpCall call;
    call.address_ = "127.0.0.1";
    call.port_ = httpPorts_.at(name);
    call.method_ = method;
    call.target_ = target;
    call.body_ = body;
    call.headers_ = {{"Authorization", "Bearer " + credential}};
    const HttpCallResult result = perform(call, nullptr);
    return CallerAnswer{result.status_, result.body_, {}, result.requestId_};
}

CallerAnswer FleetFixture::call(const std::string &entry, const std::string &pipeline,
                                const std::string &credential, const std::string &body,
                                const std::string &key, milliseconds deadline, bool stream)
{
    constexpr auto callTimeout = seconds(30);
    HttpCall call;
    call.address_ = "127.0.0.1";
    call.port_ = httpPorts_.at(entry);
    call.target_ = "/v1/pipelines/" + pipeline;
    call.headers_ = {{"Authorization", "Bearer " + credential}};
    if (!key.empty())
        call.headers_.push_back({"Idempotency-Key", key});
    if (deadline > milliseconds(0))
        call.headers_.push_back({"X-Deadline-Ms", std::to_string(deadline.count())});
    if (stream)
        call.headers_.push_back({"Accept", "text/event-stream"});
    call.body_ = body;
    call.limit_ = callTimeout;
    CallerAnswer answer;
    const HttpCallResult result = perform(call, stream ? &answer.events_ : nullptr);
    answer.status_ = result.end_ == HttpCallEnd::Answered ? result.status_ : 0;
    answer.body_ = result.body_;
    answer.requestId_ = result.requestId_;
    return answer;
}

bool FleetFixture::waitReady(const std::string &name, milliseconds timeout)
{
    const Instant deadline = BootClock::now() + timeout;
    while (BootClock::now() < deadline) {
        if (http(name, "GET", "/readyz").status_ == 200)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool FleetFixture::waitServing(int count, milliseconds timeout)
{
    const Instant deadline = BootClock::now() + timeout;
    while (BootClock::now() < deadline) {
        if (ctl({"--json", "status"}) == 0) {
            const auto status = boost::json::parse(lastOutput_);
            const auto &upstreams = status.at("upstreams").as_array();
            const auto serving =
                std::count_if(upstreams.begin(), upstreams.end(), [](auto &upstream) {
                    return upstream.at("phase").as_string() == "Serving";
                });
            if (serving >= count)
                return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

void FleetFixture::fault(const std::string &upstream, const std::string &json)
{
    http("up-" + upstream, "POST", "/fault", json);
}

std::map<std::string, int> FleetFixture::runs() const
{
    std::map<std::string, int> counts;
    for (const auto &entry : std::filesystem::directory_iterator(paths_.work_)) {
        if (entry.path().extension() != ".runs")
            continue;
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);)
            ++counts[line];
    }
    return counts;
}

std::vector<std::string> FleetFixture::names() const
{
    return startOrder_;
}

std::string FleetFixture::leader()
{
    if (ctl({"--json", "status"}) != 0)
        return {};
    return std::string(boost::json::parse(lastOutput_).at("leader").as_string());
}

} // namespace standins
