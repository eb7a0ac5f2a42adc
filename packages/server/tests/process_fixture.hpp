/// @file
/// @brief A fleet of running processes for the tests in this folder.
#pragma once

#include "standins/fleet_fixture.hpp"
#include "standins/load.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <signal.h>

namespace standins {

inline constexpr auto processTimeout = milliseconds(20000); ///< for a start, a stop or readiness

/// @brief Returns the fleet definition of the tests with placeholders for the credential digests.
///
/// The pipelines "order" and "bare-order" have a stage that must run at most once, "answer"
/// streams, and "note" is idempotent.
inline const char *fleetDefinition()
{
    return R"([fleet]
retention = 60
[stage look]
upstreams = service=index
estimate = 5
[stage book]
upstreams = service=booking
idempotent = false
estimate = 10
[stage generate]
upstreams = service=llm
stream = true
estimate = 100
[pipeline order]
stages = look, book
deadline = 8000
[pipeline bare-order]
stages = book
deadline = 8000
[pipeline answer]
stages = look, generate
deadline = 10000
[pipeline note]
stages = look
deadline = 8000
[account shop]
salt = shop-salt
credential_digest = SHOP_DIGEST
requests_per_second = 10000
concurrency = 4000
[account tight]
salt = tight-salt
credential_digest = TIGHT_DIGEST
requests_per_second = 4
concurrency = 2
)";
}

/// @brief Writes the fleet definition with the actual digests to fleet.ini in a folder.
/// @return path of the file
std::filesystem::path writeFleetDefinition(const std::filesystem::path &folder);

/// @brief Starts control processes, two entries and two upstreams of each service.
class TestFleet
{
public:
    /// @param name name of the folder that the processes work in
    /// @param settings settings of the processes
    /// @param controlCount number of control processes
    explicit TestFleet(const std::string &name, FixtureSettings settings = {},
                       int controlCount = 3);

    /// @brief Calls the pipeline "order" at an entry.
    /// @param entry name of the entry
    /// @param marker marker in the body, by which runs() counts
    /// @param key value of Idempotency-Key
    /// @param deadline value of X-Deadline-Ms; zero omits the header
    CallerAnswer order(const std::string &entry, const std::string &marker, const std::string &key,
                       milliseconds deadline = milliseconds(0));

    /// @brief Returns how often a marker was run, according to the files of the booking stand-ins.
    int runs(const std::string &marker) const;

    /// @brief Returns the member "ran" of an error answer, or an empty string for a success.
    static std::string ran(const CallerAnswer &answer);

    /// @brief Returns the member "id" of an error answer, or an empty string for a success.
    static std::string errorId(const CallerAnswer &answer);

    /// @brief Returns a numeric member of the leader's status.
    std::uint64_t statusNumber(const char *member);

    FleetFixture fixture_;
    std::filesystem::path folder_; ///< folder that the processes work in
    std::filesystem::path fleetFile_; ///< file that holds the applied fleet definition
    std::vector<UpstreamSpec> upstreams_; ///< the six started upstreams
};

} // namespace standins
