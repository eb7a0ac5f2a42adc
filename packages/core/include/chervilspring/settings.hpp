/// @file
/// @brief Settings of one process, described by one table that the checks and the help share.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief What a process does.
enum class Role { Entry, Agent, Control };

/// @brief Address of a control process.
struct ControlAddress
{
    std::string name_;
    std::string address_;
    std::uint16_t port_ = 0;
};

/// @brief Type of a setting.
enum class SettingKind { Text, Number, Fraction, Choice, Flag, AddressList, Endpoints };

/// @brief One row of a settings table.
struct SettingSpec
{
    const char *section_;
    const char *key_;
    SettingKind kind_;
    const char *unit_; ///< "ms", "bytes" or ""
    std::int64_t min_; ///< for numbers; for texts the shortest length
    std::int64_t max_; ///< for numbers; for texts the longest length
    const char *default_; ///< nullptr: has to be set
    const char *choices_; ///< for choices, separated by '|'
    const char *help_;
};

/// @brief Sections and keys of an INI file, in file order.
struct IniSection
{
    std::string name_;
    std::vector<std::pair<std::string, std::string>> entries_;
};

/// @brief Reads INI text.
/// @param text the text
/// @param file name used in errors
/// @return the sections, or ErrorId::SettingsFile with the line
leaf::result<std::vector<IniSection>> parseIni(const std::string &text, const std::string &file);

/// @brief Checked values of one section by key, defaults filled in.
using CheckedSection = std::map<std::string, std::string>;

/// @brief Checks one section against the rows of a table.
/// @param section as it stands in the file
/// @param table rows; those whose section_ is tableSection apply
/// @param tableSection section name in the table
/// @param file name used in errors
/// @return values by key, or an error that names file, section, key, value and what is allowed
leaf::result<CheckedSection> checkSection(const IniSection &section,
                                          std::span<const SettingSpec> table,
                                          std::string_view tableSection, const std::string &file);

/// @brief Settings of a process after the checks.
struct Settings
{
    Role role_ = Role::Entry;
    std::string name_;
    std::string dataCenter_;
    std::string address_;
    std::uint16_t port_ = 0; ///< for other processes of the system
    std::uint16_t httpPort_ = 0; ///< callers, operators or the local upstream
    std::string secret_; ///< shared by the processes of the fleet
    std::vector<ControlAddress> control_;
    std::string logFile_; ///< empty: standard output
    std::string logLevel_;
    std::size_t bodyLimit_ = 0;
    milliseconds readTimeout_{0};
    std::uint32_t trafficThreads_ = 1;
    milliseconds stopDelay_{0};
    milliseconds staleAfter_{0};
    std::string dataFolder_;
    std::string operatorSalt_;
    std::string operatorDigest_;
    milliseconds electionTimeout_{0};
    std::uint32_t snapshotEntries_ = 0;
    milliseconds nodeLease_{0};
    milliseconds replaceAfter_{0};
    std::uint32_t queueLimit_ = 0;
    bool routes_ = false; ///< serves routes through the platform's adapter, without agents
    std::uint16_t readyPort_ = 0; ///< asked by the platform's balancer; entries with routes only
    std::uint16_t metricsPort_ = 0; ///< 0: not served on a port of their own
    std::uint16_t controlPort_ = 0; ///< of every control process, if only seeds are known
    bool openMembership_ = false; ///< control_ only says where to begin
    bool firstStart_ = true; ///< a blank disk may found a cluster
    milliseconds grace_{0}; ///< between the signal to stop and the kill
    double retryRatio_ = 0; ///< repeats for each request, fleet-wide
    std::uint32_t retrySlack_ = 0; ///< further repeats in a window, fleet-wide
    seconds retryWindow_{0};
};

/// @brief Port on which the schedulers of control processes listen for entries.
std::uint16_t schedulerPort(const Settings &settings);

/// @brief The table of all settings of chervilspringd.
std::span<const SettingSpec> settingsTable();

/// @brief Reads and checks settings.
/// @param text INI text
/// @param file name used in errors
/// @return the settings or the first error
/// @since 0.1.0
leaf::result<Settings> parseSettings(const std::string &text, const std::string &file);

/// @brief Reads a whole file.
/// @param path the file
/// @return its content, or ErrorId::SettingsFile
leaf::result<std::string> readFile(const std::string &path);

/// @brief Text of --help-settings, made from the table.
std::string describeSettings();

} // namespace chervilspring
