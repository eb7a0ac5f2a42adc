/// @file
/// @brief Command line of chervilspringd.
#include "chervilspring/process.hpp"
#include "platform/protocol.hpp"

#include <popt.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitUsage = 1;
constexpr int exitSettings = 2;
constexpr char settingsVariable[] = "CHERVILSPRING_SETTINGS"; // used without --settings
constexpr char version[] = "chervilspringd 0.1.0";

struct Options
{
    char *settings_ = nullptr;
    char *check_ = nullptr;
    int helpSettings_ = 0;
    int version_ = 0;
};

bool parseOptions(int argc, const char **argv, Options &options)
{
    const poptOption table[] = {
        {"settings", 's', POPT_ARG_STRING, &options.settings_, 0, "run with this settings file",
         "FILE"},
        {"check", 'c', POPT_ARG_STRING, &options.check_, 0, "only check this settings file",
         "FILE"},
        {"help-settings", 0, POPT_ARG_NONE, &options.helpSettings_, 0, "describe every setting",
         nullptr},
        {"version", 'V', POPT_ARG_NONE, &options.version_, 0, "print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("chervilspringd", argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    const bool extra = poptPeekArg(context) != nullptr;
    if (end < -1)
        std::cerr << "chervilspringd: " << poptBadOption(context, 0) << ": " << poptStrerror(end)
                  << "\n";
    poptFreeContext(context);
    return end == -1 && !extra;
}

int loadAndRun(const std::string &file, bool onlyCheck)
{
    using namespace chervilspring;
    Settings settings;
    const bool valid = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(text, readFile(file));
            BOOST_LEAF_ASSIGN(settings, parseSettings(text, file));
            return {};
        },
        [](const Error &error) { std::cerr << toString(error) << "\n"; });
    if (!valid)
        return exitSettings;
    if (!onlyCheck)
        return runProcess(settings, file, settings.routes_ ? &platform::protocol() : nullptr);
    std::cout << file << ": ok\n";
    return 0;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    if (!parseOptions(argc, argv, options))
        return exitUsage;
    if (options.version_) {
        std::cout << version << "\n";
        return 0;
    }
    if (options.helpSettings_) {
        std::cout << chervilspring::describeSettings();
        return 0;
    }
    if (options.check_)
        return loadAndRun(options.check_, true);
    if (options.settings_)
        return loadAndRun(options.settings_, false);
    if (const char *file = std::getenv(settingsVariable))
        return loadAndRun(file, false);
    std::cerr << "chervilspringd: --settings FILE or --check FILE is needed; see --help\n";
    return exitUsage;
}
