#include "chervilspring/detail/control/membership.hpp"
#include "chervilspring/detail/process/agent_thread.hpp"
#include "chervilspring/detail/process/control_thread.hpp"
#include "chervilspring/detail/process/direct_thread.hpp"
#include "chervilspring/detail/process/entry_shard.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"
#include "chervilspring/process.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <signal.h>

#include <algorithm>
#include <cstdlib>

namespace chervilspring {

namespace asio = boost::asio;

namespace {

constexpr int exitPortUnavailable = 3;
constexpr int exitStorageFailure = 4;
// An entry or agent leaves by itself this long before the grace period ends and it is killed.
constexpr nanoseconds exitBeforeGraceEnd = milliseconds(400);
constexpr auto settingsPollInterval = seconds(2); // between checks of the settings file

void logStarted(const Settings &settings, std::uint16_t httpPort)
{
    writeLog(LogLevel::Info,
             "started name=" + settings.name_ + " data_center=" + settings.dataCenter_
                 + " http_port=" + std::to_string(httpPort));
}

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : {SIGHUP, SIGTERM, SIGINT})
        sigaddset(&set, number);
    return set;
}

// Returns a callback that stops the main loop and may be called on any thread.
std::function<void()> makeStopCallback(asio::io_context &mainContext)
{
    return [&mainContext] { asio::post(mainContext, [&mainContext] { mainContext.stop(); }); };
}

// Reloads the settings file on SIGHUP and when its content has changed without a signal.
class SettingsReloader
{
public:
    SettingsReloader(asio::io_context &mainContext, const SettingsFile &file)
        : file_(file.path_), content_(file.content_), signals_(mainContext, SIGHUP),
          timer_(mainContext)
    { }

    void start(std::function<void(const Settings &)> apply)
    {
        apply_ = std::move(apply);
        waitForSignal();
        waitForChange();
    }

private:
    std::string read() const
    {
        std::string content;
        handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(content, readFile(file_));
                return {};
            },
            [](const Error &error) {
                writeLog(LogLevel::Warn, "could not read the settings file: " + toString(error));
            });
        return content;
    }

    void reload(const char *reason)
    {
        handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(settings, parseSettings(content_, file_));
                writeLog(LogLevel::Info,
                         std::string("reloaded reason=") + reason
                             + " seeds=" + std::to_string(settings.control_.size()));
                apply_(settings);
                return {};
            },
            [](const Error &error) {
                writeLog(LogLevel::Error,
                         "reload failed, keeping the current settings: " + toString(error));
            });
    }

    void waitForSignal()
    {
        signals_.async_wait([this](boost::system::error_code error, int) {
            if (error)
                return;
            content_ = read();
            reload("signal");
            waitForSignal();
        });
    }

    void waitForChange()
    {
        if (file_.empty())
            return;
        timer_.expires_after(settingsPollInterval);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            std::string content = read();
            if (!content.empty() && content != content_) {
                content_ = std::move(content);
                reload("changed");
            }
            waitForChange();
        });
    }

    std::string file_;
    std::string content_; // content that was last parsed
    std::function<void(const Settings &)> apply_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
};

void runEntry(const Settings &settings, asio::io_context &mainContext, asio::signal_set &signals)
{
    const std::uint64_t boot = randomId();
    Metrics metrics;
    std::vector<std::unique_ptr<EntryShard>> shards;
    NodeCallbacks callbacks;
    callbacks.proposalAnswered_ = [&](const ProposalAnswered &event) {
        // Shard i of n uses the proposal tokens that leave the remainder i when divided by n.
        shards[event.token_ % shards.size()]->onProposalAnswered(event);
    };
    callbacks.viewPublished_ = [&] {
        for (const auto &shard : shards)
            shard->onViewPublished();
    };
    callbacks.sendToPeer_ = [&](const std::string &peer, const Message &message) {
        for (const auto &shard : shards)
            shard->sendIfConnected(peer, message);
    };
    NodeThread node(settings, PeerIdentity{settings.name_, boot}, callbacks);
    std::uint16_t port = settings.httpPort_;
    for (std::uint32_t i = 0; i < settings.trafficThreads_; ++i)
        shards.push_back(std::make_unique<EntryShard>(settings, i, boot, node, metrics));
    // If the port is 0, the first shard binds any free port, and the others share it.
    for (const auto &shard : shards)
        port = shard->start(port);
    node.start();
    logStarted(settings, port);
    asio::steady_timer stopTimer(mainContext);
    std::size_t runningShards = shards.size();
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        const nanoseconds timeLeft = settings.grace_ - exitBeforeGraceEnd;
        for (const auto &shard : shards)
            shard->scheduleExit(BootClock::now() + timeLeft);
        stopTimer.expires_after(std::min<nanoseconds>(settings.stopDelay_, timeLeft));
        stopTimer.async_wait([&](boost::system::error_code) {
            for (const auto &shard : shards) {
                shard->stop([&] {
                    asio::post(mainContext, [&] {
                        if (--runningShards == 0)
                            mainContext.stop();
                    });
                });
            }
        });
    });
    mainContext.run();
    // The node's thread calls the traffic threads back, and these use the node until they end.
    node.stop();
    shards.clear();
}

void runDirectEntry(const Settings &settings, const DirectProtocol &protocol,
                    SettingsReloader &reloader, asio::io_context &mainContext,
                    asio::signal_set &signals)
{
    std::unique_ptr<DirectThread> traffic;
    NodeCallbacks callbacks;
    callbacks.viewPublished_ = [&] { traffic->onViewPublished(); };
    NodeThread node(settings, PeerIdentity{settings.name_, randomId()}, callbacks);
    traffic = std::make_unique<DirectThread>(settings, protocol, node);
    traffic->start();
    node.start();
    logStarted(settings, settings.httpPort_);
    reloader.start([&](const Settings &newSettings) {
        ControlNamesChanged event;
        for (const ControlAddress &control : newSettings.control_)
            event.names_.push_back(control.name_);
        node.post(event);
    });
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        traffic->stop(settings.grace_, makeStopCallback(mainContext));
    });
    mainContext.run();
    // The node's thread calls the traffic threads back, and these use the node until they end.
    node.stop();
    traffic.reset();
}

void runAgent(const Settings &settings, asio::io_context &mainContext, asio::signal_set &signals)
{
    const std::uint64_t boot = randomId();
    std::unique_ptr<AgentThread> agent;
    NodeCallbacks callbacks;
    callbacks.viewPublished_ = [&] { agent->onViewPublished(); };
    callbacks.sendToPeer_ = [&](const std::string &peer, const Message &message) {
        agent->sendIfConnected(peer, message);
    };
    NodeThread node(settings, PeerIdentity{settings.name_, boot}, callbacks);
    agent = std::make_unique<AgentThread>(settings, boot, node);
    logStarted(settings, agent->start());
    node.start();
    asio::steady_timer stopTimer(mainContext);
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        agent->stop(BootClock::now() + settings.grace_ - exitBeforeGraceEnd, [&] {
            // Gives the last announcement time to reach the control processes.
            asio::post(mainContext, [&] {
                constexpr auto lastAnnouncementDelay = milliseconds(100);
                stopTimer.expires_after(lastAnnouncementDelay);
                stopTimer.async_wait([&](boost::system::error_code) { mainContext.stop(); });
            });
        });
    });
    mainContext.run();
    // The node's thread calls the traffic threads back, and these use the node until they end.
    node.stop();
    agent.reset();
}

std::optional<FoundingState> foundingOf(const Settings &settings)
{
    if (!settings.openMembership_ || !settings.firstStart_)
        return std::nullopt;
    std::vector<std::string> names;
    for (const ControlAddress &address : settings.control_)
        names.push_back(address.name_);
    return makeFounding(settings.name_, names);
}

leaf::result<std::pair<DiskLog, LoadedState>> openStorage(const Settings &settings)
{
    std::optional<std::pair<DiskLog, LoadedState>> opened;
    const bool intact = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(
                found,
                DiskLog::open(settings.dataFolder_, systemDiskCalls(), foundingOf(settings)));
            opened = std::move(found);
            return {};
        },
        [&](const Error &error) { writeLog(LogLevel::Error, toString(error)); });
    if (intact)
        return std::move(*opened);
    // A member whose log is damaged may have lost its vote, so it must not vote again under the
    // same id; it joins as a new member.
    BOOST_LEAF_AUTO(quarantineFolder, quarantineDamagedFiles(settings.dataFolder_));
    writeLog(LogLevel::Error,
             "damaged files moved to " + quarantineFolder.filename().string()
                 + "; joining as a new member");
    return DiskLog::open(settings.dataFolder_, systemDiskCalls());
}

int runControl(const Settings &settings, const DirectProtocol *protocol, SettingsReloader &reloader,
               asio::io_context &mainContext, asio::signal_set &signals)
{
    std::unique_ptr<ControlThread> control;
    const bool opened = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(storage, openStorage(settings));
            writeLog(LogLevel::Info,
                     "storage opened member=" + std::to_string(storage.second.memberId_)
                         + " cluster=" + std::to_string(storage.second.hardState_.cluster_)
                         + " entries=" + std::to_string(storage.second.entries_.size())
                         + " cut_bytes=" + std::to_string(storage.second.cutBytes_));
            control = std::make_unique<ControlThread>(
                settings, std::move(storage.first), storage.second,
                [](const Error &error) {
                    writeLog(LogLevel::Error, toString(error));
                    closeLog();
                    std::_Exit(exitStorageFailure);
                },
                protocol);
            return {};
        },
        [](const Error &error) { writeLog(LogLevel::Error, toString(error)); });
    if (!opened)
        return exitStorageFailure;
    control->start();
    logStarted(settings, settings.httpPort_);
    reloader.start([&](const Settings &newSettings) { control->reload(newSettings); });
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        control->stop(makeStopCallback(mainContext));
    });
    mainContext.run();
    return 0;
}

} // namespace

void holdBackSignals()
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int runProcess(const Settings &settings, const SettingsFile &settingsFile,
               const DirectProtocol *protocol)
{
    openLog(settings.logFile_, settings.logLevel_);
    asio::io_context mainContext(1);
    // Keeps the loop running after the signal, until the last request has been answered.
    const auto guard = asio::make_work_guard(mainContext);
    asio::signal_set signals(mainContext, SIGTERM, SIGINT);
    SettingsReloader reloader(mainContext, settingsFile);
    // The signal sets keep what arrives from here on until it is waited for.
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
    int status = 0;
    try {
        switch (settings.role_) {
        case Role::Entry:
            if (protocol)
                runDirectEntry(settings, *protocol, reloader, mainContext, signals);
            else
                runEntry(settings, mainContext, signals);
            break;
        case Role::Agent:
            runAgent(settings, mainContext, signals);
            break;
        case Role::Control:
            status = runControl(settings, protocol, reloader, mainContext, signals);
            break;
        }
    } catch (const boost::system::system_error &error) {
        writeLog(LogLevel::Error, std::string("start failed: ") + error.what());
        closeLog();
        return exitPortUnavailable;
    }
    writeLog(LogLevel::Info, "stopped name=" + settings.name_);
    closeLog();
    return status;
}

} // namespace chervilspring
