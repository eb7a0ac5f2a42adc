// Covers entry and agent reducers together: whole sessions under faults.
#include "town_session.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;

struct FaultRow
{
    const char *name_;
    SessionFaults faults_;
    bool everyAnswerWhole_; ///< no request may fail at all
};
std::ostream &operator<<(std::ostream &out, const FaultRow &row)
{
    return out << row.name_;
}

const FaultRow faultTable[] = {
    {"nothing fails", {}, true},
    {"messages late and out of order", {.delayed_ = 100}, false},
    {"messages doubled", {.duplicated_ = 300}, true},
    {"results cut short", {.corrupted_ = 100}, false},
    {"connections lost", {.lostConnections_ = 100}, false},
    {"agents die", {.agentCrashes_ = 60}, false},
    {"entries die", {.entryCrashes_ = 60}, false},
    {"control loses proposals", {.lostProposals_ = 100}, false},
    {"control loses answers", {.lostAnswers_ = 200}, false},
    {"upstreams fail", {.upstreamFailures_ = 100}, false},
    {"all at once",
     {.delayed_ = 50,
      .duplicated_ = 50,
      .corrupted_ = 30,
      .lostConnections_ = 30,
      .agentCrashes_ = 20,
      .entryCrashes_ = 20,
      .lostProposals_ = 30,
      .lostAnswers_ = 50,
      .upstreamFailures_ = 30},
     false},
};

constexpr int seedsPerRow = 60;
constexpr int requestsPerSession = 40;

void startTown(TownSession &town)
{
    for (const char *name : {"e1", "e2"})
        town.addEntry(name);
    for (int i = 1; i <= 2; ++i) {
        const std::string number = std::to_string(i);
        town.addAgent("index-" + number, "index", 4);
        town.addAgent("sorter-" + number, "sorter", 4);
        town.addAgent("llm-" + number, "llm", 4);
        town.addAgent("booking-" + number, "booking", 2);
    }
    town.run(milliseconds(500));
}

// Orders are sent again with the same key, to either entry, as callers do.
void sendRequests(TownSession &town)
{
    for (int i = 0; i < requestsPerSession; ++i) {
        const std::string marker = "m" + std::to_string(i);
        const std::string entry = town.pick(2) == 0 ? "e1" : "e2";
        town.run(milliseconds(town.pick(40)));
        if (town.pick(2) == 0) {
            town.call(entry, "answer", marker, "");
            continue;
        }
        const std::string key = TownSession::newKey(town, marker);
        town.call(entry, "order", marker, key);
        const std::uint64_t resends = town.pick(3);
        for (std::uint64_t n = 0; n < resends; ++n) {
            const std::string other = town.pick(2) == 0 ? "e1" : "e2";
            town.at(milliseconds(town.pick(1500)),
                    [&town, other, marker, key] { town.call(other, "order", marker, key); });
        }
    }
    town.run(seconds(30));
}

void checkCaller(const CallerView &caller)
{
    BOOST_TEST_REQUIRE(caller.answers_ == (caller.entryCrashed_ ? 0 : 1));
    if (caller.entryCrashed_ || caller.answer_.errorId_ != 0)
        return;
    if (caller.pipeline_ == "order") {
        BOOST_TEST_REQUIRE(caller.answer_.body_.find("\"" + caller.marker_ + "\"")
                           != std::string::npos);
        return;
    }
    BOOST_TEST_REQUIRE(caller.tokens_ == TownSession::expectedStream(caller.marker_));
}

void checkRuns(const TownSession &town)
{
    std::map<std::string, bool> allNotRun;
    std::map<std::string, bool> anyOk;
    for (const auto &[token, caller] : town.callers_) {
        if (caller.pipeline_ != "order")
            continue;
        const bool notRun = !caller.entryCrashed_ && caller.answer_.errorId_ != 0
            && caller.answer_.truth_ == RunTruth::NotRun;
        const auto [row, fresh] = allNotRun.try_emplace(caller.marker_, true);
        row->second = row->second && notRun;
        anyOk[caller.marker_] |= caller.answers_ == 1 && caller.answer_.errorId_ == 0;
    }
    for (const auto &[marker, none] : allNotRun) {
        const auto found = town.runs_.find(marker);
        const int count = found == town.runs_.end() ? 0 : found->second;
        BOOST_REQUIRE_MESSAGE(count <= 1, marker << " ran " << count << " times");
        BOOST_REQUIRE_MESSAGE(!none || count == 0, marker << " was said not to have run");
        BOOST_REQUIRE_MESSAGE(!anyOk[marker] || count == 1, marker << " was confirmed, not run");
    }
}

BOOST_DATA_TEST_CASE(random_sessions_keep_the_promises, boost::unit_test::data::make(faultTable),
                     row)
{
    int answered = 0;
    int asked = 0;
    for (std::uint64_t seed = 1; seed <= seedsPerRow; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            TownSession town(sessionFleet(), seed, row.faults_);
            startTown(town);
            sendRequests(town);
            for (const auto &[token, caller] : town.callers_) {
                BOOST_TEST_CONTEXT("token " << token << " marker " << caller.marker_)
                {
                    checkCaller(caller);
                }
                ++asked;
                answered += caller.answers_ == 1 && caller.answer_.errorId_ == 0;
            }
            checkRuns(town);
        }
    }
    BOOST_TEST_MESSAGE(row.name_ << ": " << answered << " of " << asked << " answered whole");
    BOOST_TEST(answered > 0);
    if (row.everyAnswerWhole_)
        BOOST_TEST(answered == asked);
}

} // namespace
