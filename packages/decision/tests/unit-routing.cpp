// Tests detail/entry/routing.hpp and admission.hpp: choice of an upstream, estimates, retry
// budgets.
#include "chervilspring/detail/entry/admission.hpp"
#include "chervilspring/detail/entry/routing.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace chervilspring;

// A request of a pipeline with one stage, at an entry that knows equal upstreams "u0", "u1", ...
struct RoutingFixture
{
    explicit RoutingFixture(int upstreams = 3)
    {
        auto view = std::make_shared<View>();
        view->version_ = 1;
        PipelineSpec pipeline;
        pipeline.name_ = "p";
        pipeline.deadline_ = milliseconds(5000);
        pipeline.stages_ = {StageSpec{"s", "service=x", true, false, milliseconds(100), 1}};
        view->fleet_.pipelines_ = {pipeline};
        for (int i = 0; i < upstreams; ++i) {
            Upstream upstream;
            upstream.name_ = "u" + std::to_string(i);
            upstream.dataCenter_ = "dc1";
            upstream.concurrency_ = 4;
            upstream.phase_ = UpstreamPhase::Serving;
            upstream.labels_ = {{"service", "x"}};
            view->upstreams_.push_back(upstream);
        }
        EntrySettings settings;
        settings.name_ = "e1";
        settings.dataCenter_ = "dc1";
        state_ = makeEntry(settings);
        state_.view_ = view;
        request_.view_ = view;
        request_.pipeline_ = view->fleet_.pipelines_.data();
    }

    // Chooses an upstream a number of times and counts how often each one is chosen.
    std::map<std::string, int> choose(int times)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i) {
            const Route route = chooseUpstream(state_, now_, request_);
            ++counts[route.upstream_ ? route.upstream_->name_ : "none"];
        }
        return counts;
    }

    EntryState state_;
    Request request_;
    Instant now_ = Instant(seconds(1000));
};

struct AvoidanceRow
{
    const char *name_;
    std::function<void(RoutingFixture &)> degrade_; ///< gives u0 a worse score than the others
};
std::ostream &operator<<(std::ostream &out, const AvoidanceRow &row)
{
    return out << row.name_;
}

const std::vector<AvoidanceRow> avoidanceTable = {
    {"has attempts of this entry in flight",
     [](RoutingFixture &fixture) { fixture.state_.estimates_["u0"].inFlight_ = 2; }},
    {"is slow", [](RoutingFixture &fixture) { fixture.state_.estimates_["u0"].slowness_ = 4; }},
    {"has failed three times in a row",
     [](RoutingFixture &fixture) {
         for (int i = 0; i < 3; ++i)
             noteFailure(fixture.state_, fixture.now_, "u0");
     }},
    {"was tried by this request",
     [](RoutingFixture &fixture) { fixture.request_.tried_ = {"u0"}; }},
    {"is silent while it has work, and the others have more",
     [](RoutingFixture &fixture) {
         for (const char *name : {"u0", "u1", "u2"}) {
             UpstreamEstimate &estimate = fixture.state_.estimates_[name];
             estimate.inFlight_ = 3;
             estimate.busySince_ = estimate.lastMessageAt_ = fixture.now_;
         }
         fixture.state_.estimates_["u0"].inFlight_ = 1;
         fixture.state_.estimates_["u0"].lastMessageAt_ = fixture.now_ - seconds(2);
         fixture.state_.estimates_["u0"].busySince_ = fixture.now_ - seconds(2);
     }},
};

BOOST_DATA_TEST_CASE(worse_upstream_is_avoided, boost::unit_test::data::make(avoidanceTable), row)
{
    RoutingFixture fixture;
    row.degrade_(fixture);
    const auto counts = fixture.choose(300);
    BOOST_TEST(!counts.contains("u0"));
    BOOST_TEST(counts.at("u1") > 60);
    BOOST_TEST(counts.at("u2") > 60);
}

BOOST_AUTO_TEST_CASE(equal_upstreams_share_requests)
{
    RoutingFixture fixture;
    for (const auto &[name, count] : fixture.choose(300))
        BOOST_TEST(count > 60, name);
}

// All entries get the same delayed load reports. If they routed by them, all requests would go to
// the upstream that was reported idle.
BOOST_AUTO_TEST_CASE(delayed_load_reports_do_not_attract_all_requests)
{
    RoutingFixture fixture;
    noteLoad(fixture.state_, fixture.now_, "u0", Load{20, 4, milliseconds(100), {}, 0});
    noteLoad(fixture.state_, fixture.now_, "u1", Load{20, 4, milliseconds(100), {}, 0});
    noteLoad(fixture.state_, fixture.now_, "u2", Load{0, 0, milliseconds(100), {}, 0});
    for (const auto &[name, count] : fixture.choose(300))
        BOOST_TEST(count > 60, name);
}

BOOST_AUTO_TEST_CASE(ejection_is_ignored_when_less_than_half_of_the_candidates_would_remain)
{
    RoutingFixture fixture(4);
    for (const char *name : {"u0", "u1", "u2"}) {
        for (int i = 0; i < 3; ++i)
            noteFailure(fixture.state_, fixture.now_, name);
    }
    BOOST_TEST(fixture.choose(400).size() == 4u);
}

// Two pipelines may share an upstream. With one service time estimate for both, admission refused
// requests of the fast pipeline because those of the slow one took long.
BOOST_AUTO_TEST_CASE(service_times_of_pipelines_are_estimated_separately)
{
    RoutingFixture fixture;
    auto view = std::make_shared<View>(*fixture.state_.view_);
    view->fleet_.pipelines_.push_back(view->fleet_.pipelines_[0]);
    view->fleet_.pipelines_[1].name_ = "summaries";
    Request summary = fixture.request_;
    summary.view_ = view;
    summary.pipeline_ = &view->fleet_.pipelines_[1];
    summary.attempt_.upstream_ = "u0";
    for (int i = 0; i < 50; ++i)
        noteSuccess(fixture.state_, summary, seconds(4));
    BOOST_TEST(
        (expectedTotal(fixture.state_, fixture.now_, fixture.request_) == milliseconds(100)));
    BOOST_TEST((expectedTotal(fixture.state_, fixture.now_, summary) > seconds(3)));
}

BOOST_AUTO_TEST_CASE(entry_uses_a_stable_subset)
{
    RoutingFixture fixture(100);
    const auto &list = candidatesFor(fixture.state_, *fixture.request_.pipeline_, 0, Policy{});
    BOOST_TEST(list.size() == 24u);
    std::set<std::string> before;
    for (const Upstream *upstream : list)
        before.insert(upstream->name_);
    RoutingFixture larger(101);
    int kept = 0;
    for (const Upstream *upstream :
         candidatesFor(larger.state_, *larger.request_.pipeline_, 0, Policy{}))
        kept += before.contains(upstream->name_);
    BOOST_TEST(kept >= 23);
}

BOOST_AUTO_TEST_CASE(retry_budget_is_bounded)
{
    RoutingFixture fixture;
    int allowed = 0;
    while (takeRetry(fixture.state_, "p") && allowed < 100)
        ++allowed;
    BOOST_TEST(allowed <= 10);
}

} // namespace
