// Tests the entry and agent reducers together: simulated sessions with injected faults.
#include "simulated_session.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;

struct FaultRow
{
    const char *name_;
    SessionFaults faults_;
    bool allSucceed_; ///< no request may fail
};
std::ostream &operator<<(std::ostream &out, const FaultRow &row)
{
    return out << row.name_;
}

const FaultRow faultTable[] = {
    {"no faults", {}, true},
    {"messages delayed and reordered", {.delayed_ = 100}, false},
    {"messages duplicated", {.duplicated_ = 300}, true},
    {"results truncated", {.corrupted_ = 100}, false},
    {"connections lost", {.lostConnections_ = 100}, false},
    {"agents crash", {.agentCrashes_ = 60}, false},
    {"entries crash", {.entryCrashes_ = 60}, false},
    {"proposals lost", {.lostProposals_ = 100}, false},
    {"proposal outcomes lost", {.lostAnswers_ = 200}, false},
    {"upstreams fail", {.upstreamFailures_ = 100}, false},
    {"all faults together",
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

void startSession(SimulatedSession &session)
{
    for (const char *name : {"e1", "e2"})
        session.addEntry(name);
    for (int i = 1; i <= 2; ++i) {
        const std::string number = std::to_string(i);
        session.addAgent("index-" + number, "index", 4);
        session.addAgent("sorter-" + number, "sorter", 4);
        session.addAgent("llm-" + number, "llm", 4);
        session.addAgent("booking-" + number, "booking", 2);
    }
    session.run(milliseconds(500));
}

// Sends requests of both pipelines at random times to either entry. Resends orders with the same
// idempotency key, as callers do.
void sendRequests(SimulatedSession &session)
{
    for (int i = 0; i < requestsPerSession; ++i) {
        const std::string marker = "m" + std::to_string(i);
        const std::string entry = session.pick(2) == 0 ? "e1" : "e2";
        session.run(milliseconds(session.pick(40)));
        if (session.pick(2) == 0) {
            session.call(entry, "answer", marker, "");
            continue;
        }
        const std::string key = SimulatedSession::newKey(session, marker);
        session.call(entry, "order", marker, key);
        const std::uint64_t resends = session.pick(3);
        for (std::uint64_t n = 0; n < resends; ++n) {
            const std::string other = session.pick(2) == 0 ? "e1" : "e2";
            session.at(milliseconds(session.pick(1500)), [&session, other, marker, key] {
                session.call(other, "order", marker, key);
            });
        }
    }
    session.run(seconds(30));
}

// Checks that a caller got one answer unless its entry crashed, and that a success is complete.
void checkAnswer(const CallerLog &caller)
{
    BOOST_TEST_REQUIRE(caller.answers_ == (caller.entryCrashed_ ? 0 : 1));
    if (caller.entryCrashed_ || caller.answer_.errorId_ != 0)
        return;
    if (caller.pipeline_ == "order") {
        BOOST_TEST_REQUIRE(caller.answer_.body_.find("\"" + caller.marker_ + "\"")
                           != std::string::npos);
        return;
    }
    BOOST_TEST_REQUIRE(caller.tokens_ == SimulatedSession::expectedStream(caller.marker_));
}

// Checks that the non-idempotent stage of each order ran at most once; that it ran if an answer was
// successful, and did not run if all answers said so.
void checkRuns(const SimulatedSession &session)
{
    std::map<std::string, bool> allNotRun;
    std::map<std::string, bool> anyOk;
    for (const auto &[token, caller] : session.callers_) {
        if (caller.pipeline_ != "order")
            continue;
        const bool notRun = !caller.entryCrashed_ && caller.answer_.errorId_ != 0
            && caller.answer_.truth_ == RunTruth::NotRun;
        const auto [row, inserted] = allNotRun.try_emplace(caller.marker_, true);
        row->second = row->second && notRun;
        anyOk[caller.marker_] |= caller.answers_ == 1 && caller.answer_.errorId_ == 0;
    }
    for (const auto &[marker, reportedNotRun] : allNotRun) {
        const auto found = session.runs_.find(marker);
        const int count = found == session.runs_.end() ? 0 : found->second;
        BOOST_REQUIRE_MESSAGE(count <= 1, marker << " ran " << count << " times");
        BOOST_REQUIRE_MESSAGE(!reportedNotRun || count == 0,
                              marker << " ran although all answers said that it did not");
        BOOST_REQUIRE_MESSAGE(!anyOk[marker] || count == 1,
                              marker << " was answered successfully but did not run");
    }
}

BOOST_DATA_TEST_CASE(random_sessions_run_each_order_at_most_once,
                     boost::unit_test::data::make(faultTable), row)
{
    int succeeded = 0;
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= seedsPerRow; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedSession session(sessionFleet(), seed, row.faults_);
            startSession(session);
            sendRequests(session);
            for (const auto &[token, caller] : session.callers_) {
                BOOST_TEST_CONTEXT("token " << token << " marker " << caller.marker_)
                {
                    checkAnswer(caller);
                }
                ++sent;
                succeeded += caller.answers_ == 1 && caller.answer_.errorId_ == 0;
            }
            checkRuns(session);
        }
    }
    BOOST_TEST_MESSAGE(row.name_ << ": " << succeeded << " of " << sent << " requests succeeded");
    BOOST_TEST(succeeded > 0);
    if (row.allSucceed_)
        BOOST_TEST(succeeded == sent);
}

} // namespace
