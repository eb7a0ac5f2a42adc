#include "process_fixture.hpp"

#include "chervilspring/digest.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <fstream>

namespace standins {

namespace {

FixturePaths pathsFor(const std::string &name)
{
    return FixturePaths{CHERVILSPRING_PROGRAMS_DIR,
                        std::filesystem::path(CHERVILSPRING_WORK_DIR) / name};
}

std::string errorMember(const CallerAnswer &answer, const char *member)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(answer.body_, error);
    if (error || !value.is_object() || !value.as_object().contains("error"))
        return {};
    return std::string(value.at("error").at(member).as_string());
}

} // namespace

std::filesystem::path writeFleetDefinition(const std::filesystem::path &folder)
{
    std::string text = fleetDefinition();
    boost::algorithm::replace_all(text, "SHOP_DIGEST",
                                  chervilspring::credentialDigest("shop-salt", "shop"));
    boost::algorithm::replace_all(text, "TIGHT_DIGEST",
                                  chervilspring::credentialDigest("tight-salt", "tight"));
    const auto path = folder / "fleet.ini";
    std::ofstream(path) << text;
    return path;
}

TestFleet::TestFleet(const std::string &name, FixtureSettings settings, int controlCount)
    : fixture_(pathsFor(name), settings), folder_(pathsFor(name).work_)
{
    fleetFile_ = writeFleetDefinition(folder_);
    fixture_.startControls(controlCount);
    fixture_.startEntry("e1");
    fixture_.startEntry("e2");
    // The numbers are the concurrency, the mean service time in us and the decoding step in us.
    for (const char *number : {"1", "2"}) {
        upstreams_.push_back(
            {std::string("index-") + number, "service", "service=index", "dc1", 8, 3000, 0});
        upstreams_.push_back(
            {std::string("booking-") + number, "booking", "service=booking", "dc1", 4, 10000, 0});
        upstreams_.push_back(
            {std::string("llm-") + number, "llm", "service=llm", "dc1", 8, 0, 4000});
    }
    for (const UpstreamSpec &spec : upstreams_)
        fixture_.startUpstream(spec);
    const auto count = static_cast<int>(upstreams_.size());
    BOOST_REQUIRE_MESSAGE(fixture_.waitServing(count, processTimeout), fixture_.lastOutput());
    BOOST_REQUIRE_MESSAGE(fixture_.ctl({"apply", fleetFile_.string()}) == 0, fixture_.lastOutput());
    BOOST_REQUIRE(fixture_.waitReady("e1", processTimeout));
    BOOST_REQUIRE(fixture_.waitReady("e2", processTimeout));
}

CallerAnswer TestFleet::order(const std::string &entry, const std::string &marker,
                              const std::string &key, milliseconds deadline)
{
    return fixture_.call(entry, "order", "shop", "{\"marker\":\"" + marker + "\"}", key, deadline);
}

int TestFleet::runs(const std::string &marker) const
{
    const auto runsByMarker = fixture_.runs();
    const auto found = runsByMarker.find(marker);
    return found == runsByMarker.end() ? 0 : found->second;
}

std::string TestFleet::ran(const CallerAnswer &answer)
{
    return errorMember(answer, "ran");
}

std::string TestFleet::errorId(const CallerAnswer &answer)
{
    return errorMember(answer, "id");
}

std::uint64_t TestFleet::statusNumber(const char *member)
{
    BOOST_REQUIRE(fixture_.ctl({"--json", "status"}) == 0);
    return boost::json::parse(fixture_.lastOutput()).at(member).to_number<std::uint64_t>();
}

} // namespace standins
