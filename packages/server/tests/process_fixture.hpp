/// @file
/// @brief A started fleet of processes for the tests in this folder.
#pragma once

#include "standins/fleet_fixture.hpp"
#include "standins/load.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <signal.h>

namespace standins {

inline constexpr auto processLimit = milliseconds(20000);

/// @brief Fleet file of the tests: "order" books once, "answer" streams, "note" is plain.
inline const char *testFleet()
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

/// @brief Writes the fleet file into a folder.
std::filesystem::path writeTestFleet(const std::filesystem::path &folder);

/// @brief Three control processes, two entries, two upstreams of each service.
class TestTown
{
public:
    explicit TestTown(const std::string &name, FixtureSettings settings = {}, int controls = 3);

    /// @brief An order at an entry.
    CallerAnswer order(const std::string &entry, const std::string &marker, const std::string &key,
                       milliseconds deadline = milliseconds(0));

    /// @brief Number of runs of a marker, from the booking stand-ins' own files.
    int runs(const std::string &marker) const;

    /// @brief Member "ran" of an error answer, empty for a success.
    static std::string ran(const CallerAnswer &answer);

    /// @brief Member "id" of an error answer.
    static std::string errorId(const CallerAnswer &answer);

    /// @brief A number of the leader's status.
    std::uint64_t statusNumber(const char *member);

    FleetFixture fleet_;
    std::filesystem::path folder_;
    std::filesystem::path fleetFile_;
    std::vector<UpstreamSpec> upstreams_;
};

} // namespace standins
