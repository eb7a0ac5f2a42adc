/// @file
/// @brief Command line of chervilspringd.
#include "chervilspring/process.hpp"
#include "platform/protocol.hpp"

#include <popt.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitUsage = 1;
constexpr int exitInvalidSettings = 2;
constexpr char settingsVariable[] = "CHERVILSPRING_SETTINGS"; // settings file without --settings
constexpr char version[] = "chervilspringd 0.1.0";

struct Options
{
    char *settings_ = nullptr;
    char *checkedSettings_ = nullptr;
    int helpSettings_ = 0;
    int version_ = 0;
};

bool parseOptions(int argc, const char **argv, Options &options)
{
    const poptOption table[] = {{"settings", 's', POPT_ARG_STRING, &options.settings_, 0,
                                 "settings file to run with", "FILE"},
                                {"check", 'c', POPT_ARG_STRING, &options.checkedSettings_, 0,
                                 "check a settings file and exit", "FILE"},
                                {"help-settings", 0, POPT_ARG_NONE, &options.helpSettings_, 0,
                                 "print a description of every setting and exit", nullptr},
                                {"version", 'V', POPT_ARG_NONE, &options.version_, 0,
                                 "print the version and exit", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("chervilspringd", argc, argv, table, 0);
    const int result = poptGetNextOpt(context);
    const bool hasExtraArgument = poptPeekArg(context) != nullptr;
    if (result < -1)
        std::cerr << "chervilspringd: " << poptBadOption(context, 0) << ": " << poptStrerror(result)
                  << "\n";
    poptFreeContext(context);
    return result == -1 && !hasExtraArgument;
}

int loadAndRun(const std::string &file, bool checkOnly)
{
    using namespace chervilspring;
    Settings settings;
    SettingsFile source{file, {}};
    const bool valid = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(source.content_, readFile(file));
            BOOST_LEAF_ASSIGN(settings, parseSettings(source.content_, file));
            return {};
        },
        [](const Error &error) { std::cerr << toString(error) << "\n"; });
    if (!valid)
        return exitInvalidSettings;
    if (!checkOnly)
        return runProcess(settings, source, settings.routes_ ? &platform::protocol() : nullptr);
    std::cout << file << ": ok\n";
    return 0;
}

} // namespace

int main(int argc, const char **argv)
{
    chervilspring::holdBackSignals();
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
    if (options.checkedSettings_)
        return loadAndRun(options.checkedSettings_, true);
    if (options.settings_)
        return loadAndRun(options.settings_, false);
    if (const char *file = std::getenv(settingsVariable))
        return loadAndRun(file, false);
    std::cerr << "chervilspringd: --settings FILE or --check FILE is required; see --help\n";
    return exitUsage;
}
