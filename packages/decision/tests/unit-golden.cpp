// Compares simulated sessions of both example deployments with golden files that list every effect
// of the entry and agent reducers.
//
// Run with CHERVILSPRING_WRITE_GOLDEN=1 to rewrite the golden files.
#include "simulated_session.hpp"

#include "chervilspring/settings.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace {

using namespace chervilspring;

struct GoldenRow
{
    const char *name_; ///< name of the example deployment and of its golden file
    const char *credentialAccount_; ///< account of the callers
    std::vector<std::pair<const char *, const char *>> services_; ///< agent name, service
    /// Pipeline, and whether its request has an idempotency key and is resent.
    std::vector<std::pair<const char *, bool>> requests_;
};
std::ostream &operator<<(std::ostream &out, const GoldenRow &row)
{
    return out << row.name_;
}

const std::vector<GoldenRow> goldenTable = {
    {"hivewright",
     "buyers-desk",
     {{"encoder-1", "encoder"},
      {"retriever-1", "retriever"},
      {"reranker-1", "reranker"},
      {"llm-1", "llm"},
      {"llm-2", "llm"},
      {"cellar-ledger-1", "cellar-ledger"},
      {"order-booking-1", "order-booking"},
      {"order-booking-2", "order-booking"}},
     {{"blend-note", false}, {"batch-question", false}, {"honey-order", true}}},
    {"zamasek_krog",
     "drivers",
     {{"encoder-1", "encoder"},
      {"retriever-1", "retriever"},
      {"reranker-1", "reranker"},
      {"llm-1", "llm"},
      {"llm-2", "llm"},
      {"stock-ledger-1", "stock-ledger"},
      {"pickup-1", "pickup"},
      {"pickup-2", "pickup"}},
     {{"report-summary", false}, {"counter-question", false}, {"pickup-confirmation", true}}},
};

Fleet loadFleet(const GoldenRow &row)
{
    Fleet fleet;
    handleErrors(
        [&]() -> leaf::result<void> {
            const std::string path =
                std::string(CHERVILSPRING_SOURCE_DIR) + "/examples/" + row.name_ + ".ini";
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_ASSIGN(fleet, parseFleet(text, path));
            return {};
        },
        [](const Error &error) { BOOST_ERROR(toString(error)); });
    // All callers of the simulated session use the same credential.
    for (Account &account : fleet.accounts_) {
        if (account.name_ == row.credentialAccount_)
            account.credentialDigest_ = credentialDigest(account.salt_, "credential");
    }
    return fleet;
}

std::string runSession(const GoldenRow &row)
{
    SimulatedSession session(loadFleet(row), 42);
    session.record_ = true;
    session.addEntry("e1");
    session.addEntry("e2");
    for (const auto &[name, service] : row.services_)
        session.addAgent(name, service, 4);
    session.run(milliseconds(100));
    for (const auto &[pipeline, keyed] : row.requests_) {
        const std::string key = keyed ? SimulatedSession::newKey(session, pipeline) : "";
        session.call("e1", pipeline, pipeline, key);
        session.run(milliseconds(500));
        if (keyed)
            session.call("e2", pipeline, pipeline, key); // resent through the other entry
        session.run(milliseconds(200));
    }
    // Agents crash while one runs an attempt; a pipeline is unknown; an agent and an entry stop.
    session.call("e2", row.requests_[0].first, "cut", "");
    session.run(milliseconds(60));
    session.crashAgent("encoder-1");
    session.crashAgent("llm-1");
    session.call("e1", "no-such-pipeline", "lost", "");
    session.run(seconds(3));
    session.stopAgent("llm-2");
    session.stopEntry("e1");
    session.run(seconds(1));
    std::ostringstream text;
    for (const std::string &line : session.trace_)
        text << line << "\n";
    return text.str();
}

BOOST_DATA_TEST_CASE(session_equals_golden_file, boost::unit_test::data::make(goldenTable), row)
{
    const std::string path = std::string(CHERVILSPRING_SOURCE_DIR)
        + "/packages/decision/tests/golden/" + row.name_ + ".txt";
    const std::string recorded = runSession(row);
    if (std::getenv("CHERVILSPRING_WRITE_GOLDEN"))
        std::ofstream(path) << recorded;
    std::ifstream file(path);
    std::istringstream lines(recorded);
    std::string expected;
    std::string actual;
    int number = 0;
    while (std::getline(file, expected)) {
        ++number;
        BOOST_REQUIRE_MESSAGE(std::getline(lines, actual),
                              "session ends before golden file line " << number);
        BOOST_REQUIRE_MESSAGE(actual == expected,
                              "line " << number << "\nexpected " << expected << "\nactual   "
                                      << actual);
    }
    BOOST_TEST(number > 50);
    BOOST_TEST(!std::getline(lines, actual),
               "session continues after the end of the golden file: " << actual);
}

} // namespace
