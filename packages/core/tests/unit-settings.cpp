// Tests of chervilspring/settings.hpp and chervilspring/fleet.hpp: validation of INI files.
#include "chervilspring/fleet.hpp"
#include "chervilspring/settings.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace chervilspring;

const std::string validSettings = "[node]\nrole = entry\nname = e1\ndata_center = dc1\n"
                                  "secret = 0123456789abcdef\ncontrol = c1@127.0.0.1:7001\n";

struct InvalidFileRow
{
    const char *name_;
    std::string text_; ///< content of the file
    ErrorId id_; ///< expected error
    std::vector<std::string> mentions_; ///< texts that the error message has to contain
};
std::ostream &operator<<(std::ostream &out, const InvalidFileRow &row)
{
    return out << row.name_;
}

const std::vector<InvalidFileRow> invalidSettings = {
    {"unknown key",
     validSettings + "colour = red\n",
     ErrorId::SettingUnknown,
     {"file.ini", "[node]", "\"colour\"", "allowed: role"}},
    {"unknown section",
     validSettings + "[extra]\na = 1\n",
     ErrorId::SettingUnknown,
     {"file.ini", "[extra]", "allowed: node"}},
    {"number out of range",
     validSettings + "port = 70000\n",
     ErrorId::SettingValue,
     {"file.ini", "[node]", "\"port\"", "70000", "0 to 65535"}},
    {"not a number",
     validSettings + "body_limit = many\n",
     ErrorId::SettingValue,
     {"\"body_limit\"", "many", "1024 to 16777216 bytes"}},
    {"unit is in the message",
     validSettings + "read_timeout = 1\n",
     ErrorId::SettingValue,
     {"\"read_timeout\"", "50 to 600000 ms"}},
    {"wrong choice",
     validSettings + "[log]\nlevel = loud\n",
     ErrorId::SettingValue,
     {"[log]", "\"level\"", "loud", "debug|info|warn|error"}},
    {"missing key",
     "[node]\nrole = entry\n",
     ErrorId::SettingMissing,
     {"[node]", "\"name\"", "1 to 64 characters"}},
    {"bad address",
     "[node]\nrole=entry\nname=a\ndata_center=d\nsecret=0123456789abcdef\n"
     "control=nowhere\n",
     ErrorId::SettingValue,
     {"\"control\"", "nowhere", "name@address:port"}},
    {"line without key", "[node]\nrole\n", ErrorId::SettingsFile, {"file.ini", "line 2"}},
    {"key outside a section",
     "role = entry\n" + validSettings,
     ErrorId::SettingsFile,
     {"\"role\""}},
    {"quarantine that is no number",
     validSettings + "[control]\nlift_quarantines = 5,x\n",
     ErrorId::SettingValue,
     {"\"lift_quarantines\"", "5,x", "numbers"}},
    {"control without folder",
     "[node]\nrole=control\nname=c1\ndata_center=d\nsecret=0123456789abcdef\n"
     "control=c1@127.0.0.1:1\n",
     ErrorId::SettingMissing,
     {"[control]", "data_folder"}},
};

void checkError(const Error &error, const InvalidFileRow &row)
{
    BOOST_TEST((error.id_ == row.id_));
    for (const std::string &mention : row.mentions_)
        BOOST_TEST(toString(error).find(mention) != std::string::npos,
                   "\"" << mention << "\" in: " << toString(error));
}

BOOST_DATA_TEST_CASE(invalid_settings_are_reported, boost::unit_test::data::make(invalidSettings),
                     row)
{
    const bool accepted = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseSettings(row.text_, "file.ini"));
            return {};
        },
        [&](const Error &error) { checkError(error, row); });
    BOOST_TEST(!accepted);
}

struct FractionRow
{
    const char *text_; ///< keys of the section [retries]
    bool accepted_;
    std::uint32_t slack_ = 0;
    milliseconds window_{0};
};

std::ostream &operator<<(std::ostream &stream, const FractionRow &row)
{
    return stream << row.text_;
}

// The platform states some numbers as fractions, which were refused: no process started.
const FractionRow fractionTable[] = {
    {"slack = 36.17647", true, 36, milliseconds(10'000)},
    {"slack = 0.99", true, 0, milliseconds(10'000)},
    {"slack = 1e3", true, 1000, milliseconds(10'000)},
    {"slack = 1000000", true, 1'000'000, milliseconds(10'000)},
    {"slack = 1000000.5", false},
    {"slack = -0.5", false},
    {"slack = nan", false},
    {"slack = inf", false},
    {"slack = 5x", false},
    {"slack =", false},
    {"window = 9.4", true, 0, milliseconds(9400)},
    {"window = 600", true, 0, milliseconds(600'000)},
    {"window = 600.001", false},
    {"window = 0.5", false},
};

BOOST_DATA_TEST_CASE(retry_limits_may_be_fractions, boost::unit_test::data::make(fractionTable),
                     row)
{
    const bool accepted = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(
                settings,
                parseSettings(validSettings + "[retries]\n" + row.text_ + "\n", "file.ini"));
            BOOST_TEST(settings.retrySlack_ == row.slack_);
            BOOST_TEST((settings.retryWindow_ == row.window_));
            return {};
        },
        [](const Error &) {});
    BOOST_TEST(accepted == row.accepted_);
}

struct EvenLoadRow
{
    const char *text_; ///< text after the valid settings
    bool accepted_;
    bool evenLoad_ = false;
};

std::ostream &operator<<(std::ostream &stream, const EvenLoadRow &row)
{
    return stream << row.text_;
}

const EvenLoadRow evenLoadTable[] = {
    {"", true, false},
    {"[routing]\n", true, false},
    {"[routing]\neven_load = false\n", true, false},
    {"[routing]\neven_load = true\n", true, true},
    {"[routing]\neven_load = 1\n", false},
    {"[routing]\neven = true\n", false},
    {"[retries]\neven_load = true\n", false},
};

BOOST_DATA_TEST_CASE(even_load_is_a_flag_that_is_off_by_default,
                     boost::unit_test::data::make(evenLoadTable), row)
{
    const bool accepted = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, parseSettings(validSettings + row.text_, "file.ini"));
            BOOST_TEST(settings.evenLoad_ == row.evenLoad_);
            return {};
        },
        [](const Error &) {});
    BOOST_TEST(accepted == row.accepted_);
}

BOOST_AUTO_TEST_CASE(valid_settings_are_accepted)
{
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, parseSettings(validSettings + "port = 7000\n", "file.ini"));
            BOOST_TEST((settings.role_ == Role::Entry));
            BOOST_TEST(settings.port_ == 7000);
            BOOST_TEST(settings.control_.at(0).port_ == 7001);
            BOOST_TEST(settings.bodyLimit_ == 1048576u);
            BOOST_TEST(settings.liftedQuarantines_.empty());
            return {};
        },
        [](const Error &error) { BOOST_ERROR(toString(error)); });
}

BOOST_AUTO_TEST_CASE(help_names_every_setting)
{
    const std::string help = describeSettings();
    for (const SettingSpec &spec : settingsTable())
        BOOST_TEST(help.find(std::string("  ") + spec.key_ + ": ") != std::string::npos);
}

const std::string validFleet = "[stage s]\nupstreams = a=b\n[pipeline p]\nstages = s\n"
                               "deadline = 100\n";
const std::vector<InvalidFileRow> invalidFleets = {
    {"unknown stage",
     "[pipeline p]\nstages = nope\ndeadline = 100\n",
     ErrorId::FleetInvalid,
     {"[pipeline p]", "\"stages\"", "nope"}},
    {"bad selector", "[stage s]\nupstreams = a=\n", ErrorId::SelectorSyntax, {"a=", "allowed"}},
    {"unknown kind", validFleet + "[tribe t]\nx = 1\n", ErrorId::FleetInvalid, {"[tribe t]"}},
    {"no name", validFleet + "[pool]\nupstreams = a\n", ErrorId::FleetInvalid, {"[pool]"}},
    {"no pipeline", "[fleet]\nretention = 60\n", ErrorId::FleetInvalid, {"[pipeline NAME]"}},
    {"retention too short",
     validFleet + "[fleet]\nretention = 1\n",
     ErrorId::SettingValue,
     {"\"retention\"", "60 to 86400 s"}},
};

BOOST_DATA_TEST_CASE(invalid_fleets_are_reported, boost::unit_test::data::make(invalidFleets), row)
{
    const bool accepted = handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseFleet(row.text_, "file.ini"));
            return {};
        },
        [&](const Error &error) { checkError(error, row); });
    BOOST_TEST(!accepted);
}

const char *const exampleFleets[] = {"hivewright.ini", "zamasek_krog.ini"};

BOOST_DATA_TEST_CASE(example_fleets_are_valid, boost::unit_test::data::make(exampleFleets), name)
{
    const std::string path = std::string(CHERVILSPRING_SOURCE_DIR) + "/examples/" + name;
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_AUTO(fleet, parseFleet(text, path));
            BOOST_TEST(fleet.pipelines_.size() == 3u);
            BOOST_TEST(fleet.accounts_.size() == 5u);
            return {};
        },
        [](const Error &error) { BOOST_ERROR(toString(error)); });
}

} // namespace
