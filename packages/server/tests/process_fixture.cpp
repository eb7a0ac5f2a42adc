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

std::filesystem::path writeTestFleet(const std::filesystem::path &folder)
{
    std::string text = testFleet();
    boost::algorithm::replace_all(text, "SHOP_DIGEST",
                                  chervilspring::credentialDigest("shop-salt", "shop"));
    boost::algorithm::replace_all(text, "TIGHT_DIGEST",
                                  chervilspring::credentialDigest("tight-salt", "tight"));
    const auto path = folder / "fleet.ini";
    std::ofstream(path) << text;
    return path;
}

TestTown::TestTown(const std::string &name, FixtureSettings settings, int controls)
    : fleet_(pathsFor(name), settings), folder_(pathsFor(name).work_)
{
    fleetFile_ = writeTestFleet(folder_);
    fleet_.startControls(controls);
    fleet_.startEntry("e1");
    fleet_.startEntry("e2");
    for (const char *number : {"1", "2"}) {
        upstreams_.push_back(
            {std::string("index-") + number, "service", "service=index", "dc1", 8, 3000, 0});
        upstreams_.push_back(
            {std::string("booking-") + number, "booking", "service=booking", "dc1", 4, 10000, 0});
        upstreams_.push_back(
            {std::string("llm-") + number, "llm", "service=llm", "dc1", 8, 0, 4000});
    }
    for (const UpstreamSpec &spec : upstreams_)
        fleet_.startUpstream(spec);
    const auto count = static_cast<int>(upstreams_.size());
    BOOST_REQUIRE_MESSAGE(fleet_.waitServing(count, processLimit), fleet_.lastOutput());
    BOOST_REQUIRE_MESSAGE(fleet_.ctl({"apply", fleetFile_.string()}) == 0, fleet_.lastOutput());
    BOOST_REQUIRE(fleet_.waitReady("e1", processLimit));
    BOOST_REQUIRE(fleet_.waitReady("e2", processLimit));
}

CallerAnswer TestTown::order(const std::string &entry, const std::string &marker,
                             const std::string &key, milliseconds deadline)
{
    return fleet_.call(entry, "order", "shop", "{\"marker\":\"" + marker + "\"}", key, deadline);
}

int TestTown::runs(const std::string &marker) const
{
    const auto all = fleet_.runs();
    const auto found = all.find(marker);
    return found == all.end() ? 0 : found->second;
}

std::string TestTown::ran(const CallerAnswer &answer)
{
    return errorMember(answer, "ran");
}

std::string TestTown::errorId(const CallerAnswer &answer)
{
    return errorMember(answer, "id");
}

std::uint64_t TestTown::statusNumber(const char *member)
{
    BOOST_REQUIRE(fleet_.ctl({"--json", "status"}) == 0);
    return boost::json::parse(fleet_.lastOutput()).at(member).to_number<std::uint64_t>();
}

} // namespace standins
