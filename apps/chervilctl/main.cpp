/// @file
/// @brief Command line of chervilctl.
#include "commands.hpp"

#include <popt.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace chervilctl;

struct Options
{
    char *control_ = nullptr;
    char *entries_ = nullptr;
    char *operationId_ = nullptr;
    int json_ = 0;
};

std::vector<HostPort> parseHostOption(const char *text, bool &valid)
{
    std::vector<HostPort> hosts;
    if (!text)
        return hosts;
    valid = valid
        && chervilspring::handleErrors(
                [&]() -> chervilspring::leaf::result<void> {
                    BOOST_LEAF_ASSIGN(hosts, parseHosts(text));
                    return {};
                },
                [](const chervilspring::Error &error) {
                    std::cerr << chervilspring::toString(error) << "\n";
                });
    return hosts;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    const poptOption table[] = {
        {"control", 'c', POPT_ARG_STRING, &options.control_, 0,
         "HTTP addresses of the control processes", "IP:PORT,..."},
        {"entry", 'e', POPT_ARG_STRING, &options.entries_, 0, "HTTP addresses of entries",
         "IP:PORT,..."},
        {"operation", 'o', POPT_ARG_STRING, &options.operationId_, 0,
         "operation id; use the same one to repeat a call", "ID"},
        {"json", 'j', POPT_ARG_NONE, &options.json_, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("chervilctl", argc, argv, table, 0);
    poptSetOtherOptionHelp(context,
                           "[OPTION...] SUBCOMMAND [ARGUMENT...]\n"
                           "The operator credential is taken from the environment "
                           "variable CHERVILSPRING_CREDENTIAL.");
    const int result = poptGetNextOpt(context);
    bool valid = result == -1;
    if (!valid)
        std::cerr << "chervilctl: " << poptBadOption(context, 0) << ": " << poptStrerror(result)
                  << "\n";
    Invocation invocation;
    for (const char *argument = poptGetArg(context); argument; argument = poptGetArg(context))
        invocation.arguments_.emplace_back(argument);
    poptFreeContext(context);
    invocation.controlHosts_ = parseHostOption(options.control_, valid);
    invocation.entryHosts_ = parseHostOption(options.entries_, valid);
    invocation.json_ = options.json_ != 0;
    if (options.operationId_)
        invocation.operationId_ = options.operationId_;
    if (const char *credential = std::getenv("CHERVILSPRING_CREDENTIAL"))
        invocation.credential_ = credential;
    if (!valid)
        return static_cast<int>(ExitStatus::Usage);
    return static_cast<int>(runCommand(invocation));
}
