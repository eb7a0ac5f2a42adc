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

#include <cstdlib>

namespace chervilspring {

namespace asio = boost::asio;

namespace {

constexpr int exitPort = 3;
constexpr int exitStorage = 4;
constexpr auto settingsInterval = seconds(2); // between looks at the settings file

void logStart(const Settings &settings, std::uint16_t httpPort)
{
    writeLog(LogLevel::Info,
             "started name=" + settings.name_ + " data_center=" + settings.dataCenter_
                 + " http_port=" + std::to_string(httpPort));
}

// The stop callback arrives on another thread and ends the main loop.
std::function<void()> stopper(asio::io_context &main)
{
    return [&main] { asio::post(main, [&main] { main.stop(); }); };
}

// Reads the settings file again on SIGHUP, and when its content has changed without a signal.
class Reload
{
public:
    Reload(asio::io_context &main, std::string file)
        : file_(std::move(file)), signals_(main, SIGHUP), timer_(main)
    { }

    void start(std::function<void(const Settings &)> apply)
    {
        apply_ = std::move(apply);
        content_ = read();
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
            [](const Error &error) { writeLog(LogLevel::Warn, "reload " + toString(error)); });
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
                writeLog(LogLevel::Error, "reload refused, old settings stay: " + toString(error));
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
        timer_.expires_after(settingsInterval);
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
    std::string content_;
    std::function<void(const Settings &)> apply_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
};

void runEntry(const Settings &settings, asio::io_context &main, asio::signal_set &signals)
{
    const std::uint64_t boot = randomId();
    Metrics metrics;
    std::vector<std::unique_ptr<EntryShard>> shards;
    NodeCallbacks callbacks;
    callbacks.answered_ = [&](const ProposalAnswered &event) {
        shards[event.token_ % shards.size()]->answered(event);
    };
    callbacks.published_ = [&] {
        for (const auto &shard : shards)
            shard->published();
    };
    callbacks.sendToPeer_ = [&](const std::string &peer, const Message &message) {
        for (const auto &shard : shards)
            shard->sendIfConnected(peer, message);
    };
    NodeThread node(settings, PeerIdentity{settings.name_, boot}, callbacks);
    std::uint16_t port = settings.httpPort_;
    for (std::uint32_t i = 0; i < settings.trafficThreads_; ++i)
        shards.push_back(std::make_unique<EntryShard>(settings, i, boot, node, metrics));
    for (const auto &shard : shards)
        port = shard->start(port);
    node.start();
    logStart(settings, port);
    asio::steady_timer delay(main);
    std::size_t running = shards.size();
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        for (const auto &shard : shards)
            shard->unready();
        delay.expires_after(settings.stopDelay_);
        delay.async_wait([&](boost::system::error_code) {
            for (const auto &shard : shards) {
                shard->stop([&] {
                    asio::post(main, [&] {
                        if (--running == 0)
                            main.stop();
                    });
                });
            }
        });
    });
    main.run();
}

void runRoutes(const Settings &settings, const DirectProtocol &protocol, Reload &reload,
               asio::io_context &main, asio::signal_set &signals)
{
    std::unique_ptr<DirectThread> traffic;
    NodeCallbacks callbacks;
    callbacks.published_ = [&] { traffic->published(); };
    NodeThread node(settings, PeerIdentity{settings.name_, randomId()}, callbacks);
    traffic = std::make_unique<DirectThread>(settings, protocol, node);
    traffic->start();
    node.start();
    logStart(settings, settings.httpPort_);
    reload.start([&](const Settings &newer) {
        ControlNamesChanged event;
        for (const ControlAddress &control : newer.control_)
            event.names_.push_back(control.name_);
        node.post(event);
    });
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        traffic->stop(settings.grace_, stopper(main));
    });
    main.run();
}

void runAgent(const Settings &settings, asio::io_context &main, asio::signal_set &signals)
{
    const std::uint64_t boot = randomId();
    std::unique_ptr<AgentThread> agent;
    NodeCallbacks callbacks;
    callbacks.published_ = [&] { agent->published(); };
    callbacks.sendToPeer_ = [&](const std::string &peer, const Message &message) {
        agent->sendIfConnected(peer, message);
    };
    NodeThread node(settings, PeerIdentity{settings.name_, boot}, callbacks);
    agent = std::make_unique<AgentThread>(settings, boot, node);
    logStart(settings, agent->start());
    node.start();
    asio::steady_timer delay(main);
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        agent->stop([&] {
            // The last announcement has to reach the control processes.
            asio::post(main, [&] {
                constexpr auto farewell = milliseconds(100);
                delay.expires_after(farewell);
                delay.async_wait([&](boost::system::error_code) { main.stop(); });
            });
        });
    });
    main.run();
}

leaf::result<std::pair<DiskLog, LoadedState>> openStorage(const Settings &settings)
{
    std::optional<std::pair<DiskLog, LoadedState>> opened;
    const bool intact = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(found, DiskLog::open(settings.dataFolder_, systemDiskCalls()));
            opened = std::move(found);
            return {};
        },
        [&](const Error &error) { writeLog(LogLevel::Error, toString(error)); });
    if (intact)
        return std::move(*opened);
    // A damaged disk must not vote as the member it was: rejoin as a new one.
    BOOST_LEAF_AUTO(aside, setAsideDamaged(settings.dataFolder_));
    writeLog(LogLevel::Error,
             "damaged files set aside in " + aside.filename().string()
                 + "; joining as a new member");
    return DiskLog::open(settings.dataFolder_, systemDiskCalls());
}

int runControl(const Settings &settings, const DirectProtocol *protocol, Reload &reload,
               asio::io_context &main, asio::signal_set &signals)
{
    std::unique_ptr<ControlThread> control;
    const bool opened = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(storage, openStorage(settings));
            writeLog(LogLevel::Info,
                     "storage opened entries=" + std::to_string(storage.second.entries_.size())
                         + " cut_bytes=" + std::to_string(storage.second.cutBytes_));
            control = std::make_unique<ControlThread>(
                settings, std::move(storage.first), storage.second,
                [](const Error &error) {
                    writeLog(LogLevel::Error, toString(error));
                    closeLog();
                    std::_Exit(exitStorage);
                },
                protocol);
            return {};
        },
        [](const Error &error) { writeLog(LogLevel::Error, toString(error)); });
    if (!opened)
        return exitStorage;
    control->start();
    logStart(settings, settings.httpPort_);
    reload.start([&](const Settings &newer) { control->reload(newer); });
    signals.async_wait([&](boost::system::error_code, int) {
        writeLog(LogLevel::Info, "stopping name=" + settings.name_);
        control->stop(stopper(main));
    });
    main.run();
    return 0;
}

} // namespace

int runProcess(const Settings &settings, const std::string &settingsFile,
               const DirectProtocol *protocol)
{
    openLog(settings.logFile_, settings.logLevel_);
    asio::io_context main(1);
    // The loop has to outlive the signal: it ends when the last request is answered.
    const auto guard = asio::make_work_guard(main);
    asio::signal_set signals(main, SIGTERM, SIGINT);
    Reload reload(main, settingsFile);
    int status = 0;
    try {
        switch (settings.role_) {
        case Role::Entry:
            if (protocol)
                runRoutes(settings, *protocol, reload, main, signals);
            else
                runEntry(settings, main, signals);
            break;
        case Role::Agent:
            runAgent(settings, main, signals);
            break;
        case Role::Control:
            status = runControl(settings, protocol, reload, main, signals);
            break;
        }
    } catch (const boost::system::system_error &error) {
        writeLog(LogLevel::Error, std::string("start failed: ") + error.what());
        closeLog();
        return exitPort;
    }
    writeLog(LogLevel::Info, "stopped name=" + settings.name_);
    closeLog();
    return status;
}

} // namespace chervilspring
