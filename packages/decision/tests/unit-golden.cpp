// Covers whole sessions of both deployments against golden files: every effect of every reducer.
//
// CHERVILSPRING_WRITE_GOLDEN=1 writes the files anew.
#include "town_session.hpp"

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
    const char *name_;
    const char *credentialAccount_;
    std::vector<std::pair<const char *, const char *>> services_; ///< agent name, service
    std::vector<std::pair<const char *, bool>> requests_; ///< pipeline, sent with a key
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
    // The session's callers present one credential.
    for (Account &account : fleet.accounts_) {
        if (account.name_ == row.credentialAccount_)
            account.credentialDigest_ = credentialDigest(account.salt_, "credential");
    }
    return fleet;
}

std::string play(const GoldenRow &row)
{
    TownSession town(loadFleet(row), 42);
    town.record_ = true;
    town.addEntry("e1");
    town.addEntry("e2");
    for (const auto &[name, service] : row.services_)
        town.addAgent(name, service, 4);
    town.run(milliseconds(100));
    for (const auto &[pipeline, keyed] : row.requests_) {
        const std::string key = keyed ? TownSession::newKey(town, pipeline) : "";
        town.call("e1", pipeline, pipeline, key);
        town.run(milliseconds(500));
        if (keyed)
            town.call("e2", pipeline, pipeline, key); // a resend at the other entry
        town.run(milliseconds(200));
    }
    // An agent dies while it runs an attempt; a wrong pipeline; a planned stop.
    town.call("e2", row.requests_[0].first, "cut", "");
    town.run(milliseconds(60));
    town.crashAgent("encoder-1");
    town.crashAgent("llm-1");
    town.call("e1", "no-such-pipeline", "lost", "");
    town.run(seconds(3));
    town.stopAgent("llm-2");
    town.stopEntry("e1");
    town.run(seconds(1));
    std::ostringstream text;
    for (const std::string &line : town.trace_)
        text << line << "\n";
    return text.str();
}

BOOST_DATA_TEST_CASE(session_equals_golden_file, boost::unit_test::data::make(goldenTable), row)
{
    const std::string path = std::string(CHERVILSPRING_SOURCE_DIR)
        + "/packages/decision/tests/golden/" + row.name_ + ".txt";
    const std::string played = play(row);
    if (std::getenv("CHERVILSPRING_WRITE_GOLDEN"))
        std::ofstream(path) << played;
    std::ifstream file(path);
    std::istringstream lines(played);
    std::string expected;
    std::string actual;
    int number = 0;
    while (std::getline(file, expected)) {
        ++number;
        BOOST_REQUIRE_MESSAGE(std::getline(lines, actual), "session ends before line " << number);
        BOOST_REQUIRE_MESSAGE(actual == expected,
                              "line " << number << "\nexpected " << expected << "\nactual   "
                                      << actual);
    }
    BOOST_TEST(number > 50);
    BOOST_TEST(!std::getline(lines, actual), "session goes on: " << actual);
}

} // namespace
