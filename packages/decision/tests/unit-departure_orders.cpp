// Tests all orders in which the messages of an upstream arrive that starts again and leaves. A
// departure doesn't name the start that it belongs to.
#include "control_group.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr char name[] = "a";
constexpr auto heartbeatInterval = milliseconds(1200);

struct UpstreamMessage
{
    int start_; ///< number of the start that has sent it, from 1
    int sequence_; ///< of an announcement; 0: departure
    auto operator<=>(const UpstreamMessage &) const = default;
};

struct OrderRow
{
    const char *description_;
    std::vector<UpstreamMessage> messages_; ///< in the order of sending
    milliseconds gap_; ///< time between arrivals
    /// Each start begins when its first message arrives; false: all begin before the first arrival.
    bool startsLate_;
    bool restarts_; ///< the leader restarts after each message
};

std::ostream &operator<<(std::ostream &stream, const OrderRow &row)
{
    return stream << row.description_;
}

const std::vector<UpstreamMessage> twoStarts = {{1, 1}, {1, 2}, {1, 0}, {2, 1}, {2, 2}, {2, 0}};
const std::vector<UpstreamMessage> threeStarts = {{1, 1}, {1, 0}, {2, 1}, {2, 0}, {3, 1}, {3, 0}};
const std::vector<UpstreamMessage> crashedStarts = {{1, 1}, {1, 2}, {2, 1}, {3, 1}, {3, 2}, {3, 0}};

const OrderRow orderTable[] = {
    {"two starts", twoStarts, milliseconds(100), false, false},
    {"two starts, far apart", twoStarts, milliseconds(900), false, false},
    {"two starts, past the lease", twoStarts, milliseconds(3500), false, false},
    {"two starts, the second one later", twoStarts, milliseconds(100), true, false},
    {"two starts, the leader restarts", twoStarts, milliseconds(100), false, true},
    {"three starts", threeStarts, milliseconds(100), false, false},
    {"three starts, later", threeStarts, milliseconds(100), true, false},
    {"three starts, past the lease", threeStarts, milliseconds(3500), false, false},
    {"three starts, two crash", crashedStarts, milliseconds(100), false, false},
    {"three starts, two crash, later", crashedStarts, milliseconds(100), true, false},
};

// Delivers the messages of an upstream to a group with one control process.
class MessageOrder
{
public:
    explicit MessageOrder(const OrderRow &row) : row_(row), group_(1, 5)
    {
        group_.restartWithSeeds({"c1"});
        group_.run(seconds(2));
        if (!row.startsLate_)
            begin(3);
    }

    void deliver(const UpstreamMessage &message, milliseconds gap)
    {
        begin(message.start_);
        BOOST_REQUIRE(group_.leader() == "c1");
        if (message.sequence_ == 0) {
            group_.handle("c1", LocalDeparture{++token_, name});
        } else {
            Upstream upstream;
            upstream.name_ = name;
            upstream.agentAddress_ = "10.0.0.1";
            upstream.agentPort_ = 80;
            upstream.agentBoot_ = boots_.at(message.start_);
            upstream.sequence_ = static_cast<std::uint64_t>(message.sequence_);
            upstream.phase_ = UpstreamPhase::Serving;
            upstream.direct_ = true;
            group_.handle("c1", LocalAnnouncement{++token_, upstream});
        }
        group_.run(gap);
        if (!row_.restarts_)
            return;
        group_.crash("c1");
        group_.boot("c1");
        group_.run(seconds(2));
    }

    // Returns the listed start; 0 if the upstream isn't listed.
    int listedStart()
    {
        const auto &upstreams = group_.member("c1").state_.fleet_.view_.upstreams_;
        for (const auto &[start, boot] : boots_) {
            if (!upstreams.empty() && upstreams.front().agentBoot_ == boot)
                return start;
        }
        return 0;
    }

private:
    // Lets a start begin, after those before it.
    void begin(int start)
    {
        while (static_cast<int>(boots_.size()) < start) {
            const auto now = std::chrono::floor<milliseconds>(group_.now().time_since_epoch());
            boots_.emplace(static_cast<int>(boots_.size()) + 1, bootIdOfStart(WallTime(now)));
            group_.run(milliseconds(50));
        }
    }

    OrderRow row_;
    ControlGroup group_;
    std::map<int, std::uint64_t> boots_; ///< boot ids of the starts that have begun, by start
    std::uint64_t token_ = 900;
};

std::string textOf(const std::vector<UpstreamMessage> &order)
{
    std::string text;
    for (const UpstreamMessage &message : order)
        text += std::to_string(message.start_)
            + (message.sequence_ == 0 ? "-left " : "-" + std::to_string(message.sequence_) + " ");
    return text;
}

std::vector<std::vector<UpstreamMessage>> ordersOf(std::vector<UpstreamMessage> messages)
{
    std::vector<std::vector<UpstreamMessage>> orders;
    std::sort(messages.begin(), messages.end());
    do {
        orders.push_back(messages);
    } while (std::next_permutation(messages.begin(), messages.end()));
    return orders;
}

// Guards against a late announcement that lists an upstream after its departure was acknowledged.
BOOST_DATA_TEST_CASE(upstream_that_has_left_is_not_listed_in_any_order, data::make(orderTable), row)
{
    for (const auto &order : ordersOf(row.messages_)) {
        MessageOrder play(row);
        bool hasLeft = false;
        for (const UpstreamMessage &message : order) {
            play.deliver(message, row.gap_);
            hasLeft = hasLeft || message == row.messages_.back();
            BOOST_TEST((!hasLeft || play.listedStart() == 0),
                       "listed after " << textOf(order) << "at " << textOf({message}));
        }
    }
}

// Guards against an upstream that goes on, and isn't listed since the departure of an earlier start
// arrived late.
BOOST_DATA_TEST_CASE(upstream_that_goes_on_is_listed_in_any_order, data::make(orderTable), row)
{
    std::vector<UpstreamMessage> messages = row.messages_;
    const int last = messages.back().start_;
    messages.pop_back(); // its departure
    OrderRow withoutRestarts = row;
    withoutRestarts.restarts_ = false;
    for (const auto &order : ordersOf(messages)) {
        MessageOrder play(withoutRestarts);
        for (const UpstreamMessage &message : order)
            play.deliver(message, row.gap_);
        for (int sequence = 3; sequence < 7; ++sequence)
            play.deliver({last, sequence}, heartbeatInterval);
        BOOST_TEST(play.listedStart() == last, "not listed after " << textOf(order));
    }
}

} // namespace
