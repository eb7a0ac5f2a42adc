#include "chervilspring/settings.hpp"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace chervilspring {

namespace {

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxTextLength = 4096;

constexpr SettingSpec table[] = {
    {"node", "role", SettingKind::Choice, "", 0, 0, nullptr, "entry|agent|control",
     "role of this process"},
    {"node", "name", SettingKind::Text, "", 1, 64, nullptr, "",
     "name of this process, unique in the fleet"},
    {"node", "data_center", SettingKind::Text, "", 1, 64, nullptr, "", "data centre of this VM"},
    {"node", "address", SettingKind::Text, "", 1, 64, "127.0.0.1", "", "IP address to listen on"},
    {"node", "port", SettingKind::Number, "", 0, maxPort, "0", "",
     "port for other processes of the fleet; 0 picks a free one"},
    {"node", "http_port", SettingKind::Number, "", 0, maxPort, "0", "",
     "port for callers, operators or the local upstream; 0 picks a free one"},
    {"node", "secret", SettingKind::Text, "", 16, 256, nullptr, "",
     "secret shared by the processes of the fleet"},
    {"node", "control", SettingKind::AddressList, "", 1, 7, "", "",
     "control processes as name@address:port, separated by commas; this or seeds is required"},
    {"node", "protocol", SettingKind::Choice, "", 0, 0, "pipelines", "pipelines|routes",
     "pipelines: the protocol of docs/api.md; routes: the protocol of the platform, without "
     "agents"},
    {"node", "listen", SettingKind::Endpoints, "", 0, 1, "", "",
     "address for callers or operators as IP:PORT; overrides address and http_port"},
    {"node", "ready", SettingKind::Endpoints, "", 0, 1, "", "",
     "address for readiness checks of an entry, as IP:PORT"},
    {"node", "seeds", SettingKind::Endpoints, "", 0, 16, "", "",
     "some of the control processes as IP:PORT of their operator interface, separated by commas; "
     "the IP addresses are then the names of the processes"},
    {"node", "control_port", SettingKind::Number, "", 0, maxPort - 1, "0", "",
     "port of every control process for other processes, if seeds is set; schedulers use the next "
     "port"},
    {"node", "metrics_port", SettingKind::Number, "", 0, maxPort, "0", "",
     "port on which metrics are served; 0: only on http_port"},
    {"node", "first_start", SettingKind::Flag, "", 0, 0, "", "",
     "whether a control process with an empty data folder may found a cluster; with seeds: true at "
     "the first start of the whole system only; default: true without seeds, else false"},
    {"node", "grace", SettingKind::Number, "ms", 1000, 600000, "8000", "",
     "time between the stop signal and the kill"},
    {"retries", "ratio", SettingKind::Fraction, "", 0, 1, "0.2", "",
     "retries allowed for each request, fleet-wide"},
    {"retries", "slack", SettingKind::Fraction, "", 0, 1000000, "0", "",
     "additional retries allowed in each window, fleet-wide; rounded down"},
    {"retries", "window", SettingKind::Fraction, "s", 1, 600, "10", "",
     "window in which retries are counted"},
    {"node", "body_limit", SettingKind::Number, "bytes", 1024, 16777216, "1048576", "",
     "largest request body that is accepted"},
    {"node", "request_memory", SettingKind::Number, "bytes", 1048576, 1ll << 40, "67108864", "",
     "memory of an entry for the requests of all callers on routes, read completely or not"},
    {"node", "read_timeout", SettingKind::Number, "ms", 50, 600000, "5000", "",
     "time within which a started request has to be complete"},
    {"node", "traffic_threads", SettingKind::Number, "", 1, 16, "1", "",
     "threads of an entry that handle requests"},
    {"node", "stop_delay", SettingKind::Number, "ms", 0, 60000, "1000", "",
     "time between failing /readyz and refusing new requests at a planned stop"},
    {"node", "stale_after", SettingKind::Number, "ms", 1000, 16000, "16000", "",
     "age of the view from which on new work is refused"},
    {"log", "file", SettingKind::Text, "", 0, maxTextLength, "", "",
     "log file; empty: standard output"},
    {"log", "level", SettingKind::Choice, "", 0, 0, "info", "debug|info|warn|error", "log level"},
    {"control", "data_folder", SettingKind::Text, "", 0, maxTextLength, "", "",
     "folder for the replicated log; required for role control"},
    {"control", "operator_salt", SettingKind::Text, "", 0, 64, "", "",
     "salt of the operator credential"},
    {"control", "operator_digest", SettingKind::Text, "", 0, 64, "", "",
     "salted digest of the operator credential, from chervilctl hash"},
    {"control", "election_timeout", SettingKind::Number, "ms", 100, 10000, "600", "",
     "silence of the leader after which a member starts an election"},
    {"control", "snapshot_entries", SettingKind::Number, "", 16, 1000000, "4096", "",
     "log entries kept before a snapshot replaces them"},
    {"control", "snapshot_bytes", SettingKind::Number, "bytes", 65536, 1 << 30, "8388608", "",
     "memory of log entries kept before a snapshot replaces them"},
    {"control", "node_lease", SettingKind::Number, "ms", 500, 60000, "3000", "",
     "silence of an agent after which its upstream is removed"},
    {"control", "replace_after", SettingKind::Number, "ms", 1000, 3600000, "30000", "",
     "silence of a voter after which another member replaces it"},
    {"control", "lift_quarantines", SettingKind::Ids, "", 0, 64, "", "",
     "ids of quarantined prompt parts that the leader releases when it reloads the settings"},
    {"agent", "queue_limit", SettingKind::Number, "", 1, 100000, "256", "",
     "attempts that may wait for the upstream"},
};

std::string describeAllowed(const SettingSpec &spec)
{
    const std::string range = std::to_string(spec.min_) + " to " + std::to_string(spec.max_);
    const std::string unit = *spec.unit_ ? std::string(" ") + spec.unit_ : "";
    switch (spec.kind_) {
    case SettingKind::Text:
        return range + " characters";
    case SettingKind::Number:
        return range + unit;
    case SettingKind::Fraction:
        return "a number from " + range;
    case SettingKind::Endpoints:
        return range + " entries IP:PORT";
    case SettingKind::Ids:
        return range + " numbers, separated by commas";
    case SettingKind::Choice:
        return "one of " + std::string(spec.choices_);
    case SettingKind::Flag:
        return "true or false";
    case SettingKind::AddressList:
        return range + " entries name@address:port";
    }
    return "";
}

bool parseNumber(const std::string &text, std::int64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [separator](char c) { return c == separator; });
    for (std::string &part : parts)
        boost::algorithm::trim(part);
    return parts;
}

// Parses NAME@ADDRESS:PORT.
bool parseAddress(const std::string &text, ControlAddress &address)
{
    const auto atSign = text.find('@');
    const auto colon = text.rfind(':');
    std::int64_t port = 0;
    if (atSign == std::string::npos || colon == std::string::npos || colon < atSign || atSign == 0)
        return false;
    if (!parseNumber(text.substr(colon + 1), port) || port < 1 || port > maxPort)
        return false;
    address = {text.substr(0, atSign), text.substr(atSign + 1, colon - atSign - 1),
               static_cast<std::uint16_t>(port)};
    return !address.address_.empty();
}

// Parses IP:PORT. The IP address is also used as the name.
bool parseEndpoint(const std::string &text, ControlAddress &address)
{
    const std::string name = text.substr(0, text.rfind(':'));
    return parseAddress(name + "@" + text, address);
}

bool parseFraction(const std::string &text, double &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

std::vector<ControlAddress> parseEndpoints(const std::string &value)
{
    std::vector<ControlAddress> endpoints;
    if (value.empty())
        return endpoints;
    for (const std::string &part : split(value, ',')) {
        endpoints.emplace_back();
        parseEndpoint(part, endpoints.back());
    }
    return endpoints;
}

bool areEndpoints(const std::string &value, std::int64_t maxCount)
{
    if (value.empty())
        return true;
    const auto parts = split(value, ',');
    ControlAddress ignored;
    return static_cast<std::int64_t>(parts.size()) <= maxCount
        && std::all_of(parts.begin(), parts.end(),
                       [&](const std::string &part) { return parseEndpoint(part, ignored); });
}

bool parseIds(const std::string &value, std::vector<std::uint64_t> &ids)
{
    ids.clear();
    if (value.empty())
        return true;
    for (const std::string &part : split(value, ',')) {
        std::uint64_t &id = ids.emplace_back();
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), id);
        if (error != std::errc() || end != part.data() + part.size())
            return false;
    }
    return true;
}

bool inRange(std::int64_t value, const SettingSpec &spec)
{
    return value >= spec.min_ && value <= spec.max_;
}

bool isAllowed(const std::string &value, const SettingSpec &spec)
{
    std::int64_t number = 0;
    switch (spec.kind_) {
    case SettingKind::Text:
        return inRange(static_cast<std::int64_t>(value.size()), spec);
    case SettingKind::Number:
        return parseNumber(value, number) && inRange(number, spec);
    case SettingKind::Fraction: {
        double fraction = 0;
        return parseFraction(value, fraction) && fraction >= static_cast<double>(spec.min_)
            && fraction <= static_cast<double>(spec.max_);
    }
    case SettingKind::Endpoints:
        return areEndpoints(value, spec.max_);
    case SettingKind::Ids: {
        std::vector<std::uint64_t> ids;
        return parseIds(value, ids) && inRange(static_cast<std::int64_t>(ids.size()), spec);
    }
    case SettingKind::Flag:
        return value == "true" || value == "false";
    case SettingKind::Choice: {
        const auto choices = split(spec.choices_, '|');
        return std::find(choices.begin(), choices.end(), value) != choices.end();
    }
    case SettingKind::AddressList: {
        const auto parts = split(value, ',');
        ControlAddress ignored;
        return inRange(static_cast<std::int64_t>(parts.size()), spec)
            && std::all_of(parts.begin(), parts.end(),
                           [&](const std::string &part) { return parseAddress(part, ignored); });
    }
    }
    return false;
}

leaf::error_id settingError(ErrorId id, const std::string &file, const std::string &detail)
{
    return leaf::new_error(Error{id, "settings", file, detail});
}

const SettingSpec *findSpec(std::span<const SettingSpec> specs, std::string_view section,
                            std::string_view key)
{
    for (const SettingSpec &spec : specs) {
        if (spec.section_ == section && spec.key_ == key)
            return &spec;
    }
    return nullptr;
}

std::string allowedKeys(std::span<const SettingSpec> specs, std::string_view section)
{
    std::string keys;
    for (const SettingSpec &spec : specs) {
        if (spec.section_ != section)
            continue;
        keys += (keys.empty() ? "" : ", ") + std::string(spec.key_);
    }
    return keys;
}

Role parseRole(const std::string &text)
{
    if (text == "control")
        return Role::Control;
    return text == "agent" ? Role::Agent : Role::Entry;
}

template<typename Number> Number numberOf(const CheckedSection &section, const char *key)
{
    std::int64_t value = 0;
    parseNumber(section.at(key), value);
    return static_cast<Number>(value);
}

milliseconds durationOf(const CheckedSection &section, const char *key)
{
    return milliseconds(numberOf<std::int64_t>(section, key));
}

// Applies the settings that a platform generates: complete endpoints, and seeds in place of the
// list of control processes.
void applyEndpoints(Settings &settings, const CheckedSection &node)
{
    for (const ControlAddress &listen : parseEndpoints(node.at("listen"))) {
        settings.address_ = listen.address_;
        settings.httpPort_ = listen.port_;
    }
    for (const ControlAddress &ready : parseEndpoints(node.at("ready")))
        settings.readyPort_ = ready.port_;
    settings.controlPort_ = numberOf<std::uint16_t>(node, "control_port");
    for (const ControlAddress &seed : parseEndpoints(node.at("seeds"))) {
        settings.openMembership_ = true;
        settings.control_.push_back(
            ControlAddress{seed.name_, seed.address_, settings.controlPort_});
    }
}

Settings buildSettings(const CheckedSection &node, const CheckedSection &log,
                       const CheckedSection &control, const CheckedSection &agent,
                       const CheckedSection &retries)
{
    Settings settings;
    settings.role_ = parseRole(node.at("role"));
    settings.name_ = node.at("name");
    settings.dataCenter_ = node.at("data_center");
    settings.address_ = node.at("address");
    settings.port_ = numberOf<std::uint16_t>(node, "port");
    settings.httpPort_ = numberOf<std::uint16_t>(node, "http_port");
    settings.secret_ = node.at("secret");
    if (!node.at("control").empty()) {
        for (const std::string &part : split(node.at("control"), ',')) {
            settings.control_.emplace_back();
            parseAddress(part, settings.control_.back());
        }
    }
    applyEndpoints(settings, node);
    settings.routes_ = node.at("protocol") == "routes";
    settings.metricsPort_ = numberOf<std::uint16_t>(node, "metrics_port");
    const std::string &firstStart = node.at("first_start");
    settings.firstStart_ =
        firstStart == "true" || (firstStart.empty() && !settings.openMembership_);
    settings.grace_ = durationOf(node, "grace");
    parseFraction(retries.at("ratio"), settings.retryRatio_);
    double slack = 0;
    parseFraction(retries.at("slack"), slack);
    settings.retrySlack_ = static_cast<std::uint32_t>(slack);
    double windowSeconds = 0;
    parseFraction(retries.at("window"), windowSeconds);
    settings.retryWindow_ =
        std::chrono::ceil<milliseconds>(std::chrono::duration<double>(windowSeconds));
    settings.bodyLimit_ = numberOf<std::size_t>(node, "body_limit");
    settings.requestMemory_ = numberOf<std::size_t>(node, "request_memory");
    settings.readTimeout_ = durationOf(node, "read_timeout");
    settings.trafficThreads_ = numberOf<std::uint32_t>(node, "traffic_threads");
    settings.stopDelay_ = durationOf(node, "stop_delay");
    settings.staleAfter_ = durationOf(node, "stale_after");
    settings.logFile_ = log.at("file");
    settings.logLevel_ = log.at("level");
    settings.dataFolder_ = control.at("data_folder");
    settings.operatorSalt_ = control.at("operator_salt");
    settings.operatorDigest_ = control.at("operator_digest");
    settings.electionTimeout_ = durationOf(control, "election_timeout");
    settings.snapshotEntries_ = numberOf<std::uint32_t>(control, "snapshot_entries");
    settings.snapshotBytes_ = numberOf<std::size_t>(control, "snapshot_bytes");
    settings.nodeLease_ = durationOf(control, "node_lease");
    settings.replaceAfter_ = durationOf(control, "replace_after");
    parseIds(control.at("lift_quarantines"), settings.liftedQuarantines_);
    settings.queueLimit_ = numberOf<std::uint32_t>(agent, "queue_limit");
    return settings;
}

} // namespace

std::span<const SettingSpec> settingsTable()
{
    return table;
}

leaf::result<std::vector<IniSection>> parseIni(const std::string &text, const std::string &file)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return settingError(ErrorId::SettingsFile, file,
                            "line " + std::to_string(error.line()) + ": " + error.message());
    }
    std::vector<IniSection> sections;
    for (const auto &[name, section] : tree) {
        if (section.empty() && !section.data().empty())
            return settingError(ErrorId::SettingsFile, file,
                                "key \"" + name + "\" stands outside any section");
        sections.push_back(IniSection{name, {}});
        for (const auto &[key, value] : section)
            sections.back().entries_.emplace_back(key, value.data());
    }
    return sections;
}

leaf::result<CheckedSection> checkSection(const IniSection &section,
                                          std::span<const SettingSpec> specs,
                                          std::string_view tableSection, const std::string &file)
{
    CheckedSection checked;
    const std::string location = "section [" + section.name_ + "], key \"";
    for (const auto &[key, value] : section.entries_) {
        const SettingSpec *spec = findSpec(specs, tableSection, key);
        if (!spec)
            return settingError(
                ErrorId::SettingUnknown, file,
                location + key + "\" is unknown; allowed: " + allowedKeys(specs, tableSection));
        if (!isAllowed(value, *spec))
            return settingError(ErrorId::SettingValue, file,
                                location + key + "\" has the value \"" + value
                                    + "\"; allowed: " + describeAllowed(*spec));
        checked[key] = value;
    }
    for (const SettingSpec &spec : specs) {
        if (spec.section_ != tableSection || checked.contains(spec.key_))
            continue;
        if (!spec.default_)
            return settingError(ErrorId::SettingMissing, file,
                                location + spec.key_
                                    + "\" is missing; allowed: " + describeAllowed(spec));
        checked[spec.key_] = spec.default_;
    }
    return checked;
}

leaf::result<Settings> parseSettings(const std::string &text, const std::string &file)
{
    BOOST_LEAF_AUTO(sections, parseIni(text, file));
    const std::vector<std::string> sectionNames = {"node", "log", "control", "agent", "retries"};
    std::map<std::string, IniSection> byName;
    for (const std::string &name : sectionNames)
        byName[name].name_ = name;
    for (const IniSection &section : sections) {
        if (std::find(sectionNames.begin(), sectionNames.end(), section.name_)
            == sectionNames.end())
            return settingError(ErrorId::SettingUnknown, file,
                                "section [" + section.name_
                                    + "] is unknown; allowed: node, log, control, agent, retries");
        byName[section.name_] = section;
    }
    BOOST_LEAF_AUTO(node, checkSection(byName["node"], table, "node", file));
    BOOST_LEAF_AUTO(log, checkSection(byName["log"], table, "log", file));
    BOOST_LEAF_AUTO(control, checkSection(byName["control"], table, "control", file));
    BOOST_LEAF_AUTO(agent, checkSection(byName["agent"], table, "agent", file));
    BOOST_LEAF_AUTO(retries, checkSection(byName["retries"], table, "retries", file));
    Settings settings = buildSettings(node, log, control, agent, retries);
    if (settings.control_.empty())
        return settingError(ErrorId::SettingMissing, file,
                            "section [node], key \"control\" or \"seeds\" is missing");
    if (settings.role_ == Role::Control && settings.dataFolder_.empty())
        return settingError(ErrorId::SettingMissing, file,
                            "section [control], key \"data_folder\" is missing; allowed: a folder");
    return settings;
}

std::uint16_t schedulerPort(const Settings &settings)
{
    return static_cast<std::uint16_t>(settings.controlPort_ + 1);
}

leaf::result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    if (!stream || !(content << stream.rdbuf()))
        return leaf::new_error(
            Error{ErrorId::SettingsFile, "read file", path, "the file is missing or empty"});
    return content.str();
}

std::string describeSettings()
{
    std::ostringstream text;
    std::string_view section;
    for (const SettingSpec &spec : table) {
        if (section != spec.section_) {
            section = spec.section_;
            text << "[" << section << "]\n";
        }
        text << "  " << spec.key_ << ": " << spec.help_ << " (" << describeAllowed(spec)
             << (spec.default_ ? std::string("; default \"") + spec.default_ + "\""
                               : std::string("; required"))
             << ")\n";
    }
    return text.str();
}

} // namespace chervilspring
