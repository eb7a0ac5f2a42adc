// Tests process.hpp: signals at any time of a process's life, and reloads of the settings file.
#include "process_fixture.hpp"

#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

extern char **environ;

namespace {

using namespace standins;
using chervilspring::BootClock;
using chervilspring::Instant;
using chervilspring::nanoseconds;

constexpr auto pollInterval = milliseconds(5);

// A control process whose settings file is a pipe: each time it reads the file, it waits until the
// test has written the content.
class PipedProcess
{
public:
    explicit PipedProcess(const std::string &name)
        : folder_(std::filesystem::path(CHERVILSPRING_WORK_DIR) / name),
          settingsFile_(folder_ / "settings.ini")
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        BOOST_REQUIRE(::mkfifo(settingsFile_.c_str(), 0600) == 0);
        const std::string program = std::string(CHERVILSPRING_PROGRAMS_DIR) + "/chervilspringd";
        const std::string option = "--settings=" + settingsFile_.string();
        const std::string logFile = (folder_ / "log").string();
        char *arguments[] = {const_cast<char *>(program.c_str()),
                             const_cast<char *>(option.c_str()), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0640);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        BOOST_REQUIRE(posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environ)
                      == 0);
        posix_spawn_file_actions_destroy(&actions);
    }

    ~PipedProcess()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }

    // Opens the pipe while the process reads it. Returns -1 on timeout or if the process ended.
    int openWhileRead(milliseconds timeout)
    {
        const Instant end = BootClock::now() + timeout;
        while (BootClock::now() < end && !ended()) {
            const int file = ::open(settingsFile_.c_str(), O_WRONLY | O_NONBLOCK);
            if (file >= 0)
                return file;
            std::this_thread::sleep_for(pollInterval);
        }
        return -1;
    }

    // Writes settings that name the given control processes, and ends the content.
    void writeSettings(int file, const std::string &control) const
    {
        // A new pipe takes the place of this one, so that the next read doesn't find its rest.
        const auto next = folder_ / "next.ini";
        BOOST_TEST(::mkfifo(next.c_str(), 0600) == 0);
        std::filesystem::rename(next, settingsFile_);
        const std::string text = "[node]\nrole = control\nname = c1\ndata_center = dc1\n"
                                 "secret = a-shared-secret-of-this-fleet\ncontrol = "
            + control + "\n[control]\ndata_folder = " + (folder_ / "data").string() + "\n";
        BOOST_TEST(::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(file);
    }

    void signal(int number) const { ::kill(pid_, number); }

    // Whether the process has ended; stores its status.
    bool ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        return pid_ <= 0;
    }

    bool waitForEnd(milliseconds timeout)
    {
        const Instant end = BootClock::now() + timeout;
        while (!ended() && BootClock::now() < end)
            std::this_thread::sleep_for(pollInterval);
        return ended();
    }

    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream(folder_ / "log").rdbuf();
        return text.str();
    }

    int exitStatus_ = -1; ///< once it has ended: exit status, or 128 + number of the signal

private:
    std::filesystem::path folder_;
    std::filesystem::path settingsFile_;
    pid_t pid_ = -1;
};

constexpr char firstControl[] = "c1@127.0.0.1:9";
constexpr char changedControl[] = "c1@127.0.0.1:9, c2@127.0.0.1:9";

BOOST_AUTO_TEST_CASE(sighup_before_the_settings_are_read_reloads_them_later)
{
    PipedProcess process("reload-early-sighup");
    const int first = process.openWhileRead(processTimeout);
    BOOST_REQUIRE(first >= 0);
    process.signal(SIGHUP);
    process.writeSettings(first, firstControl);
    const int second = process.openWhileRead(processTimeout);
    BOOST_REQUIRE_MESSAGE(second >= 0, "ended with status " << process.exitStatus_);
    process.writeSettings(second, changedControl);
    const Instant end = BootClock::now() + processTimeout;
    while (process.log().find("reloaded reason=signal") == std::string::npos
           && BootClock::now() < end && !process.ended())
        std::this_thread::sleep_for(pollInterval);
    BOOST_TEST(process.log().find("reloaded reason=signal seeds=2") != std::string::npos,
               process.log());
    BOOST_TEST(!process.ended());
}

BOOST_DATA_TEST_CASE(stop_signal_before_the_settings_are_read_ends_the_process_gracefully,
                     boost::unit_test::data::make({SIGTERM, SIGINT}), number)
{
    PipedProcess process("reload-early-stop");
    const int file = process.openWhileRead(processTimeout);
    BOOST_REQUIRE(file >= 0);
    process.signal(number);
    process.writeSettings(file, firstControl);
    BOOST_REQUIRE(process.waitForEnd(processTimeout));
    BOOST_TEST(process.exitStatus_ == 0);
    BOOST_TEST(process.log().find("stopped name=c1") != std::string::npos, process.log());
}

BOOST_AUTO_TEST_CASE(settings_that_change_while_the_process_starts_are_reloaded)
{
    PipedProcess process("reload-early-change");
    const int first = process.openWhileRead(processTimeout);
    BOOST_REQUIRE(first >= 0);
    process.writeSettings(first, firstControl);
    // Any later read finds the changed content.
    const Instant end = BootClock::now() + processTimeout;
    while (process.log().find("reloaded") == std::string::npos && BootClock::now() < end) {
        const int later = process.openWhileRead(milliseconds(100));
        if (later >= 0)
            process.writeSettings(later, changedControl);
    }
    BOOST_TEST(process.log().find("reloaded reason=changed seeds=2") != std::string::npos,
               process.log());
}

BOOST_AUTO_TEST_CASE(sighup_interrupts_no_role)
{
    TestFleet fleet("reload-roles");
    const std::vector<std::string> names = fleet.fixture_.names();
    for (const std::string &name : names) {
        if (!name.starts_with("up-"))
            fleet.fixture_.signal(name, SIGHUP);
    }
    for (int i = 0; i < 10; ++i) {
        const CallerAnswer answer =
            fleet.fixture_.call(i % 2 == 0 ? "e1" : "e2", "note", "shop", R"({"marker":"m"})");
        BOOST_TEST(answer.status_ == 200u, answer.body_);
    }
    for (const std::string &name : names)
        BOOST_TEST(fleet.fixture_.running(name), name);
}

} // namespace
