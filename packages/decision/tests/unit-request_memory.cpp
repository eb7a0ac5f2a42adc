// Tests detail/direct/request_memory.hpp: which requests are refused or given up when memory is
// short.
#include "chervilspring/detail/direct/request_memory.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr std::size_t megabyte = 1u << 20;
constexpr std::size_t smallBytes = 32u << 10;
const Instant start(seconds(1000));

struct Arrival
{
    std::size_t bytes_;
    bool complete_; ///< the rest of the request arrives at once
};

struct MemoryRow
{
    const char *name_;
    std::vector<Arrival> before_; ///< requests 1, 2, ..., 10 ms apart
    nanoseconds pause_; ///< since the last of them
    std::size_t bytes_; ///< of the request that arrives then
    bool isAdmitted_;
    std::vector<std::uint64_t> evicted_;
};

std::ostream &operator<<(std::ostream &stream, const MemoryRow &row)
{
    return stream << row.name_;
}

constexpr Arrival unfinished{3 * megabyte, false};
constexpr Arrival complete{3 * megabyte, true};
// Of 8 MiB, 7 are for large requests.
const MemoryRow memoryTable[] = {
    {"the only one", {}, seconds(0), 4 * megabyte, true, {}},
    {"room for another one", {unfinished}, seconds(0), 4 * megabyte, true, {}},
    {"no room, others still arrive",
     {unfinished, unfinished},
     milliseconds(500),
     3 * megabyte,
     false,
     {}},
    {"no room, another one has stalled",
     {unfinished, unfinished},
     seconds(2),
     3 * megabyte,
     true,
     {1}},
    {"no room, others are being served", {complete, complete}, seconds(2), 3 * megabyte, false, {}},
    {"no room, one of the others has stalled",
     {complete, unfinished},
     seconds(2),
     3 * megabyte,
     true,
     {2}},
    {"more than all", {unfinished}, seconds(2), 9 * megabyte, false, {1}},
    {"small one in the part that is kept for it",
     {complete, unfinished, {megabyte, true}},
     seconds(0),
     smallBytes,
     true,
     {}},
};

BOOST_DATA_TEST_CASE(requests_that_do_not_fit_are_refused_or_replace_stalled_ones,
                     data::make(memoryTable), row)
{
    RequestMemory memory{8 * megabyte, 0, {}};
    Instant now = start;
    std::uint64_t id = 0;
    for (const Arrival &arrival : row.before_) {
        now += milliseconds(10);
        BOOST_REQUIRE(holdRequest(memory, ++id, arrival.bytes_, now).isAdmitted_);
        if (arrival.complete_)
            completeRequest(memory, id, arrival.bytes_);
    }
    const auto decision = holdRequest(memory, ++id, row.bytes_, now + row.pause_);
    BOOST_TEST(decision.isAdmitted_ == row.isAdmitted_);
    BOOST_TEST(decision.evicted_ == row.evicted_, boost::test_tools::per_element());
    BOOST_TEST(memory.requests_.contains(id) == row.isAdmitted_);
    BOOST_TEST(memory.usedBytes_ <= memory.limitBytes_);
}

// Many small requests that stop before their end.
BOOST_AUTO_TEST_CASE(small_request_replaces_unfinished_ones_although_they_are_new)
{
    RequestMemory memory{8 * megabyte, 0, {}};
    for (std::uint64_t id = 1; id <= 256; ++id)
        BOOST_REQUIRE(holdRequest(memory, id, smallBytes, start).isAdmitted_);
    const auto decision = holdRequest(memory, 257, smallBytes, start);
    BOOST_TEST(decision.isAdmitted_);
    BOOST_TEST(decision.evicted_ == std::vector<std::uint64_t>{1},
               boost::test_tools::per_element());
    completeRequest(memory, 257, smallBytes);
    for (std::uint64_t id = 300; id < 900; ++id) {
        const auto next = holdRequest(memory, id, smallBytes, start);
        BOOST_TEST(next.isAdmitted_);
    }
    BOOST_TEST(memory.requests_.contains(257)); // complete
}

BOOST_AUTO_TEST_CASE(growing_request_is_given_up_when_nothing_else_can_be)
{
    RequestMemory memory{8 * megabyte, 0, {}};
    holdRequest(memory, 1, 3 * megabyte, start);
    completeRequest(memory, 1, 3 * megabyte);
    for (std::size_t size = 1; size <= 4; ++size)
        BOOST_TEST(holdRequest(memory, 2, size * megabyte, start).isAdmitted_);
    BOOST_TEST(!holdRequest(memory, 2, 5 * megabyte, start).isAdmitted_);
    BOOST_TEST(memory.usedBytes_ == 3 * megabyte);
    releaseRequest(memory, 2); // is no longer held
    releaseRequest(memory, 1);
    BOOST_TEST(memory.usedBytes_ == 0u);
}

} // namespace
