// Tests of chervilspring/labels.hpp: selectors and label lists.
#include "chervilspring/labels.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace chervilspring;

struct MatchRow
{
    const char *selector_;
    bool expected_;
};
std::ostream &operator<<(std::ostream &out, const MatchRow &row)
{
    return out << row.selector_;
}

const Labels labels = {
    {"service", "llm"}, {"tier", "gold"}, {"pool", "a"}, {"pool", "b"}, {"data_center", "dc1"}};

const MatchRow matchTable[] = {
    {"", true},
    {"service=llm", true},
    {" service = llm ", true},
    {"service = encoder", false},
    {"service!=encoder", true},
    {"service != llm", false},
    {"pool=a,pool=b", true},
    {"pool in (x, b)", true},
    {"pool in (x, y)", false},
    {"tier", true},
    {"absent", false},
    {"absent!=x", true},
    {"service=llm, tier in (gold, silver), data_center", true},
    {"service=llm, tier=silver", false},
};

BOOST_DATA_TEST_CASE(selector_matches, boost::unit_test::data::make(matchTable), row)
{
    const bool matched = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(selector, parseSelector(row.selector_));
            return matches(selector, labels);
        },
        [&](const Error &error) {
            BOOST_ERROR(toString(error));
            return !row.expected_;
        },
        [&] { return !row.expected_; });
    BOOST_TEST(matched == row.expected_);
}

const char *const malformed[] = {"=v",      "k=",       "k==v", "k in",   "k in (a",
                                 "k in ()", "k on (a)", "a b",  "k=v,,x", "k=(a)"};

BOOST_DATA_TEST_CASE(malformed_selector_is_refused, boost::unit_test::data::make(malformed), text)
{
    ErrorId id{};
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseSelector(text));
            return {};
        },
        [&](const Error &error) { id = error.id_; });
    BOOST_TEST((id == ErrorId::SelectorSyntax));
}

} // namespace
