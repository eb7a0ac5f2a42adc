#include "commands.hpp"

#include "print.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/fleet.hpp"
#include "chervilspring/json.hpp"
#include "chervilspring/settings.hpp"

#include <algorithm>
#include <iostream>
#include <thread>

namespace chervilctl {

using namespace chervilspring;

namespace {

constexpr auto inForceTimeout = seconds(16);
constexpr auto inForcePollInterval = milliseconds(200);
constexpr std::int64_t maxSilenceMs = 3000; // a node is live if it was heard from within this time

std::string operationIdOf(const Invocation &invocation)
{
    return invocation.operationId_.empty() ? std::to_string(randomId()) : invocation.operationId_;
}

void printError(const ControlAnswer &answer)
{
    const auto &object = answer.body_.as_object();
    if (const auto *error = object.if_contains("error"))
        std::cerr << formatCell(error->at("id")) << " " << formatCell(error->at("step")) << ": "
                  << formatCell(error->at("detail")) << " (" << formatCell(error->at("peer"))
                  << ")\n";
    else
        std::cerr << formatCell(object.at("outcome")) << ": " << formatCell(object.at("detail"))
                  << "\n";
}

ExitStatus checkAnswer(const ControlAnswer &answer)
{
    if (answer.status_ / 100 == 2)
        return ExitStatus::Ok;
    printError(answer);
    return answer.status_ == 409 ? ExitStatus::Conflict : ExitStatus::Refused;
}

leaf::result<ControlAnswer> get(const Invocation &invocation, const std::string &path)
{
    return callLeader(invocation.controlHosts_, invocation.credential_, "GET", path, "");
}

leaf::result<ControlAnswer> post(const Invocation &invocation, const std::string &path,
                                 const boost::json::object &body)
{
    return callLeader(invocation.controlHosts_, invocation.credential_, "POST", path,
                      boost::json::serialize(body));
}

void printJson(const boost::json::value &value)
{
    std::cout << boost::json::serialize(value) << "\n";
}

leaf::result<ExitStatus> runStatus(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/status"));
    const ExitStatus status = checkAnswer(answer);
    if (status != ExitStatus::Ok)
        return status;
    if (invocation.json_)
        printJson(answer.body_);
    else
        printStatus(answer.body_.as_object());
    for (const HostPort &entry : invocation.entryHosts_) {
        BOOST_LEAF_AUTO(usage, callHost(entry, "", "GET", "/v1/usage", ""));
        if (invocation.json_) {
            printJson(usage.body_);
            continue;
        }
        std::cout << "\nENTRY " << entry.host_ << ":" << entry.port_ << "\n";
        printTable(usage.body_.at("requests").as_array(),
                   {{"PIPELINE", "pipeline"},
                    {"ACCOUNT", "account"},
                    {"REQUESTS", "requests"},
                    {"ATTAINED", "attained"}});
        printTable(usage.body_.at("stages").as_array(),
                   {{"PIPELINE", "pipeline"},
                    {"ACCOUNT", "account"},
                    {"STAGE", "stage"},
                    {"ATTEMPTS", "attempts"},
                    {"FAILED", "failed"},
                    {"COST", "cost"}});
    }
    return status;
}

leaf::result<ExitStatus> runGet(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/fleet"));
    const ExitStatus status = checkAnswer(answer);
    if (status == ExitStatus::Ok)
        printJson(answer.body_);
    return status;
}

leaf::result<ExitStatus> runMembers(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/status"));
    const ExitStatus status = checkAnswer(answer);
    if (status != ExitStatus::Ok)
        return status;
    const auto &list = answer.body_.at("members");
    if (invocation.json_)
        printJson(list);
    else
        printTable(list.as_array(), {{"NAME", "name"}, {"VOTER", "voter"}, {"ID", "id"}});
    return status;
}

// Names of live nodes whose view is older than a version.
std::vector<std::string> findOutdatedNodes(const boost::json::value &status, std::uint64_t version)
{
    std::vector<std::string> outdatedNodes;
    for (const auto &node : status.at("nodes").as_array()) {
        const bool isLive = node.at("silent_ms").to_number<std::int64_t>() < maxSilenceMs;
        if (isLive && node.at("view_version").to_number<std::uint64_t>() < version)
            outdatedNodes.push_back(formatCell(node.at("name")));
    }
    return outdatedNodes;
}

leaf::result<ExitStatus> waitInForce(const Invocation &invocation, std::uint64_t version)
{
    const Instant start = BootClock::now();
    std::vector<std::string> outdatedNodes;
    do {
        BOOST_LEAF_AUTO(answer, get(invocation, "/v1/status"));
        outdatedNodes = findOutdatedNodes(answer.body_, version);
        if (outdatedNodes.empty()) {
            std::cout << "in force everywhere after "
                      << (BootClock::now() - start) / milliseconds(1) << " ms\n";
            return ExitStatus::Ok;
        }
        std::this_thread::sleep_for(inForcePollInterval);
    } while (BootClock::now() - start < inForceTimeout);
    std::cerr << "not acknowledged within 16 s by:";
    for (const std::string &name : outdatedNodes)
        std::cerr << " " << name;
    std::cerr << "\n";
    return ExitStatus::NotInForce;
}

leaf::result<ExitStatus> submitChange(const Invocation &invocation, const std::string &path,
                                      const boost::json::object &body)
{
    BOOST_LEAF_AUTO(answer, post(invocation, path, body));
    const ExitStatus status = checkAnswer(answer);
    if (status != ExitStatus::Ok)
        return status;
    const auto version = answer.body_.at("version").to_number<std::uint64_t>();
    if (const auto *warning = answer.body_.as_object().if_contains("warning"))
        std::cerr << "warning: " << formatCell(*warning) << "\n";
    std::cout << "accepted as version " << version << "\n";
    return waitInForce(invocation, version);
}

leaf::result<std::uint64_t> currentFleetVersion(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/status"));
    if (answer.status_ != 200) {
        printError(answer);
        return leaf::new_error(Error{ErrorId::PeerRejected, "read the fleet version", "",
                                     "the error is printed above"});
    }
    return answer.body_.at("fleet_version").to_number<std::uint64_t>();
}

leaf::result<ExitStatus> runApply(const Invocation &invocation)
{
    const auto &arguments = invocation.arguments_;
    BOOST_LEAF_AUTO(text, readFile(arguments.at(1)));
    BOOST_LEAF_CHECK(parseFleet(text, arguments.at(1)));
    std::uint64_t baseVersion = 0;
    if (arguments.size() > 2) {
        baseVersion = std::stoull(arguments[2]);
    } else {
        BOOST_LEAF_ASSIGN(baseVersion, currentFleetVersion(invocation));
    }
    return submitChange(invocation, "/v1/fleet",
                        {{"operation_id", operationIdOf(invocation)},
                         {"base_version", baseVersion},
                         {"fleet", text}});
}

leaf::result<ExitStatus> runDiff(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(text, readFile(invocation.arguments_.at(1)));
    BOOST_LEAF_AUTO(newFleet, parseFleet(text, invocation.arguments_.at(1)));
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/fleet"));
    const ExitStatus status = checkAnswer(answer);
    if (status != ExitStatus::Ok)
        return status;
    const auto newSections = toJson(newFleet);
    const auto &current = answer.body_.at("fleet").as_object();
    for (const auto &[section, value] : newSections.as_object()) {
        if (value == current.at(section))
            continue;
        std::cout << section << "\n- " << boost::json::serialize(current.at(section)) << "\n+ "
                  << boost::json::serialize(value) << "\n";
    }
    return ExitStatus::Ok;
}

leaf::result<ExitStatus> runLabel(const Invocation &invocation)
{
    const std::string &assignment = invocation.arguments_.at(2);
    const auto equals = assignment.find('=');
    const std::string value = equals == std::string::npos ? "" : assignment.substr(equals + 1);
    return submitChange(invocation, "/v1/labels",
                        {{"operation_id", operationIdOf(invocation)},
                         {"upstream", invocation.arguments_.at(1)},
                         {"key", assignment.substr(0, equals)},
                         {"value", value}});
}

leaf::result<ExitStatus> runDrain(const Invocation &invocation)
{
    const auto &arguments = invocation.arguments_;
    const bool undo = arguments.size() > 2 && arguments[2] == "off";
    return submitChange(invocation, "/v1/drain",
                        {{"operation_id", operationIdOf(invocation)},
                         {"upstream", arguments.at(1)},
                         {"drained", !undo}});
}

leaf::result<ExitStatus> runEvacuate(const Invocation &invocation)
{
    return submitChange(invocation, "/v1/evacuations",
                        {{"data_center", invocation.arguments_.at(1)}, {"evacuated", true}});
}

leaf::result<ExitStatus> runRestore(const Invocation &invocation)
{
    return submitChange(invocation, "/v1/evacuations",
                        {{"data_center", invocation.arguments_.at(1)}, {"evacuated", false}});
}

leaf::result<ExitStatus> listRecords(const Invocation &invocation)
{
    BOOST_LEAF_AUTO(answer, get(invocation, "/v1/records"));
    const ExitStatus status = checkAnswer(answer);
    if (status != ExitStatus::Ok)
        return status;
    if (invocation.json_) {
        printJson(answer.body_);
        return status;
    }
    boost::json::array rows;
    for (const auto &record : answer.body_.at("records").as_array()) {
        boost::json::object row = record.at("key").as_object();
        row["phase"] = record.at("phase");
        row["upstream"] = record.at("upstream");
        rows.push_back(row);
    }
    printTable(rows,
               {{"ACCOUNT", "account"},
                {"PIPELINE", "pipeline"},
                {"KEY", "key"},
                {"PHASE", "phase"},
                {"UPSTREAM", "upstream"}});
    return status;
}

leaf::result<ExitStatus> runSettle(const Invocation &invocation)
{
    const auto &arguments = invocation.arguments_;
    if (arguments.size() == 1)
        return listRecords(invocation);
    const bool ran = arguments.at(4) == "ran";
    BOOST_LEAF_AUTO(answer,
                    post(invocation, "/v1/settle",
                         {{"operation_id", operationIdOf(invocation)},
                          {"account", arguments[1]},
                          {"pipeline", arguments[2]},
                          {"key", arguments[3]},
                          {"ran", ran},
                          {"body", arguments.size() > 5 ? arguments[5] : ""}}));
    const ExitStatus status = checkAnswer(answer);
    if (status == ExitStatus::Ok)
        std::cout << "settled\n";
    return status;
}

leaf::result<ExitStatus> runExplain(const Invocation &invocation)
{
    for (const HostPort &entry : invocation.entryHosts_) {
        BOOST_LEAF_AUTO(answer,
                        callHost(entry, "", "GET",
                                 "/v1/requests/" + invocation.arguments_.at(1) + "/explain", ""));
        if (answer.status_ != 200)
            continue;
        if (invocation.json_)
            printJson(answer.body_);
        else
            printExplanation(answer.body_.as_object());
        return ExitStatus::Ok;
    }
    std::cerr << "no entry given by --entry has a trace of the request\n";
    return ExitStatus::Refused;
}

leaf::result<ExitStatus> runHash(const Invocation &invocation)
{
    std::cout << credentialDigest(invocation.arguments_.at(1), invocation.arguments_.at(2)) << "\n";
    return ExitStatus::Ok;
}

struct Subcommand
{
    const char *name_;
    std::size_t minArguments_;
    std::size_t maxArguments_;
    const char *usage_;
    leaf::result<ExitStatus> (*run_)(const Invocation &);
};

constexpr Subcommand subcommands[] = {
    {"status", 0, 0, "status: show leader, members, nodes, versions in force, upstreams",
     runStatus},
    {"get", 0, 0, "get: print the configuration in force as JSON", runGet},
    {"diff", 1, 1, "diff FILE: show what a fleet file would change", runDiff},
    {"apply", 1, 2, "apply FILE [BASE_VERSION]: replace the configuration", runApply},
    {"label", 2, 2, "label UPSTREAM KEY=VALUE: set a label; KEY= removes it", runLabel},
    {"evacuate", 1, 1, "evacuate DATA_CENTRE: stop sending new work to its upstreams", runEvacuate},
    {"restore", 1, 1, "restore DATA_CENTRE: end its evacuation", runRestore},
    {"drain", 1, 2, "drain UPSTREAM [off]: stop sending new work to it, or resume", runDrain},
    {"settle", 0, 5,
     "settle [ACCOUNT PIPELINE KEY ran|not-run [BODY]]: list open records, or settle one",
     runSettle},
    {"members", 0, 0, "members: list the control processes", runMembers},
    {"explain", 1, 1, "explain REQUEST_ID: show the decisions about a request (requires --entry)",
     runExplain},
    {"hash", 2, 2, "hash SALT CREDENTIAL: print the digest for settings and fleet files", runHash},
};

const Subcommand *findSubcommand(const std::vector<std::string> &arguments)
{
    for (const Subcommand &subcommand : subcommands) {
        if (arguments.empty() || arguments[0] != subcommand.name_)
            continue;
        const std::size_t count = arguments.size() - 1;
        const bool fits = count >= subcommand.minArguments_ && count <= subcommand.maxArguments_;
        // settle takes no arguments, or a record and its outcome: at least four.
        const bool incompleteSettle = arguments[0] == "settle" && count > 0 && count < 4;
        return fits && !incompleteSettle ? &subcommand : nullptr;
    }
    return nullptr;
}

} // namespace

std::string usageText()
{
    std::string text;
    for (const Subcommand &subcommand : subcommands)
        text += std::string("  ") + subcommand.usage_ + "\n";
    return text;
}

ExitStatus runCommand(const Invocation &invocation)
{
    const Subcommand *subcommand = findSubcommand(invocation.arguments_);
    if (!subcommand) {
        std::cerr << "chervilctl: unknown subcommand or wrong arguments\n" << usageText();
        return ExitStatus::Usage;
    }
    ExitStatus status = ExitStatus::Ok;
    const bool done = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(status, subcommand->run_(invocation));
            return {};
        },
        [&](const Error &error) {
            std::cerr << toString(error) << "\n";
            const bool isUnreachable = error.id_ == ErrorId::ConnectionFailed;
            status = isUnreachable ? ExitStatus::Unreachable : ExitStatus::Refused;
        });
    static_cast<void>(done);
    return status;
}

} // namespace chervilctl
