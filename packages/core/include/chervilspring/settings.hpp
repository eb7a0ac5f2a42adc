/// @file
/// @brief Settings of a process. One table describes them for the checks and the help text.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief Role of a process.
enum class Role { Entry, Agent, Control };

/// @brief Address of a control process.
struct ControlAddress
{
    std::string name_;
    std::string address_; ///< IP address
    std::uint16_t port_ = 0; ///< port for other processes
};

/// @brief Type of a setting.
///
/// AddressList: entries name@address:port; Endpoints: entries IP:PORT; Ids: numbers from 0 on; all
/// separated by commas.
enum class SettingKind { Text, Number, Fraction, Choice, Flag, AddressList, Endpoints, Ids };

/// @brief Description of one setting.
struct SettingSpec
{
    const char *section_; ///< section of the INI file
    const char *key_; ///< key in the section
    SettingKind kind_;
    const char *unit_; ///< "ms", "s", "bytes", "%" or empty
    std::int64_t min_; ///< lowest number, shortest length of a text or fewest list entries
    std::int64_t max_; ///< highest number, longest length of a text or most list entries
    const char *default_; ///< nullptr: the setting is required
    const char *choices_; ///< allowed values of a Choice, separated by '|'
    const char *help_; ///< description for the help text
};

/// @brief Section of an INI file.
struct IniSection
{
    std::string name_;
    std::vector<std::pair<std::string, std::string>> entries_; ///< keys and values in file order
};

/// @brief Parses an INI file.
/// @param text content of the file
/// @param file name used in errors
/// @return the sections in file order, or ErrorId::SettingsFile with the line number
leaf::result<std::vector<IniSection>> parseIni(const std::string &text, const std::string &file);

/// @brief Checked values of a section by key. Missing keys have their default values.
using CheckedSection = std::map<std::string, std::string>;

/// @brief Checks a section against a settings table.
/// @param section the section of the file
/// @param table the table; rows with section_ equal to tableSection apply
/// @param tableSection name of the section in the table
/// @param file name used in errors
/// @return values by key, or an error that names file, section, key, value and the allowed values
leaf::result<CheckedSection> checkSection(const IniSection &section,
                                          std::span<const SettingSpec> table,
                                          std::string_view tableSection, const std::string &file);

/// @brief Checked settings of a process.
struct Settings
{
    Role role_ = Role::Entry;
    std::string name_; ///< unique in the fleet
    std::string dataCenter_; ///< data centre of the VM
    std::string address_; ///< IP address to listen on
    std::uint16_t port_ = 0; ///< port for other processes of the fleet
    std::uint16_t httpPort_ = 0; ///< port for callers, operators or the local upstream
    std::string secret_; ///< shared by the processes of the fleet
    std::vector<ControlAddress> control_; ///< all control processes, or only seeds
    std::string logFile_; ///< empty: standard output
    std::string logLevel_; ///< debug, info, warn or error
    std::size_t bodyLimit_ = 0; ///< largest request body in bytes
    std::size_t requestMemory_ = 64u << 20; ///< for all requests of an entry on routes, in bytes
    milliseconds readTimeout_{0}; ///< time within which a started request has to be complete
    std::uint32_t trafficThreads_ = 1; ///< threads of an entry that handle requests
    milliseconds stopDelay_{0}; ///< time between failing /readyz and refusing requests at a stop
    milliseconds staleAfter_{0}; ///< age of the view from which on new work is refused
    std::string dataFolder_; ///< folder of the replicated log; control processes only
    std::string operatorSalt_; ///< salt of operatorDigest_
    std::string operatorDigest_; ///< salted digest of the operator credential
    milliseconds electionTimeout_{0}; ///< silence of the leader after which an election starts
    std::uint32_t snapshotEntries_ = 0; ///< log entries between two snapshots
    std::size_t snapshotBytes_ = 0; ///< memory of the log entries between two snapshots
    milliseconds nodeLease_{0}; ///< silence of an agent after which its upstream is removed
    milliseconds replaceAfter_{0}; ///< silence of a voter after which it is replaced
    /// Ids of quarantines and digests of refused requests that are lifted at a reload.
    std::vector<std::uint64_t> liftedQuarantines_;
    std::uint32_t queueLimit_ = 0; ///< attempts that may wait at an agent
    bool routes_ = false; ///< serves routes with the protocol of the platform, without agents
    std::uint16_t readyPort_ = 0; ///< port for readiness checks, if routes_ is set
    std::uint16_t metricsPort_ = 0; ///< port for metrics; 0: they are served on httpPort_ only
    std::uint16_t controlPort_ = 0; ///< port of every control process, if openMembership_ is set
    bool openMembership_ = false; ///< control_ holds only seeds; other control processes may join
    bool firstStart_ = true; ///< a process with an empty data folder may found a cluster
    milliseconds grace_{0}; ///< time between the stop signal and the kill
    double retryRatio_ = 0; ///< retries allowed for each request, fleet-wide
    std::uint32_t retrySlack_ = 0; ///< additional retries allowed in each window, fleet-wide
    milliseconds retryWindow_{0}; ///< window in which requests and retries are counted
};

/// @brief Returns the port on which the schedulers of control processes listen for entries.
std::uint16_t schedulerPort(const Settings &settings);

/// @brief Returns the table of all settings of chervilspringd.
std::span<const SettingSpec> settingsTable();

/// @brief Parses and checks the settings of a process.
/// @param text content of the INI file
/// @param file name used in errors
/// @return the settings or the first error
/// @since 0.1.0
leaf::result<Settings> parseSettings(const std::string &text, const std::string &file);

/// @brief Reads a file.
/// @param path path of the file
/// @return its content, or ErrorId::SettingsFile if it can't be read or is empty
leaf::result<std::string> readFile(const std::string &path);

/// @brief Returns the text for --help-settings, generated from the table.
std::string describeSettings();

} // namespace chervilspring
