// Covers detail/entry/routing.hpp and admission.hpp: choice of upstream, estimates, budgets.
#include "chervilspring/detail/entry/admission.hpp"
#include "chervilspring/detail/entry/routing.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace chervilspring;

struct Bench
{
    explicit Bench(int upstreams = 3)
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

    // How often each upstream is chosen.
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

struct AvoidRow
{
    const char *name_;
    std::function<void(Bench &)> prepare_; ///< makes u0 worse than the others
};
std::ostream &operator<<(std::ostream &out, const AvoidRow &row)
{
    return out << row.name_;
}

const std::vector<AvoidRow> avoidTable = {
    {"has work of ours", [](Bench &b) { b.state_.estimates_["u0"].inFlight_ = 2; }},
    {"is slow", [](Bench &b) { b.state_.estimates_["u0"].slowness_ = 4; }},
    {"has failed three times",
     [](Bench &b) {
         for (int i = 0; i < 3; ++i)
             noteFailure(b.state_, b.now_, "u0");
     }},
    {"was tried by this request", [](Bench &b) { b.request_.tried_ = {"u0"}; }},
    {"is silent while it has work, and the others have more",
     [](Bench &b) {
         for (const char *name : {"u0", "u1", "u2"}) {
             UpstreamEstimate &estimate = b.state_.estimates_[name];
             estimate.inFlight_ = 3;
             estimate.busySince_ = estimate.heardAt_ = b.now_;
         }
         b.state_.estimates_["u0"].inFlight_ = 1;
         b.state_.estimates_["u0"].heardAt_ = b.now_ - seconds(2);
         b.state_.estimates_["u0"].busySince_ = b.now_ - seconds(2);
     }},
};

BOOST_DATA_TEST_CASE(worse_upstream_is_avoided, boost::unit_test::data::make(avoidTable), row)
{
    Bench bench;
    row.prepare_(bench);
    const auto counts = bench.choose(300);
    BOOST_TEST(!counts.contains("u0"));
    BOOST_TEST(counts.at("u1") > 60);
    BOOST_TEST(counts.at("u2") > 60);
}

BOOST_AUTO_TEST_CASE(equal_upstreams_share_the_work)
{
    Bench bench;
    for (const auto &[name, count] : bench.choose(300))
        BOOST_TEST(count > 60, name);
}

// Every entry sees the same late reports; following them would send all to one place.
BOOST_AUTO_TEST_CASE(lagging_load_reports_draw_no_herd)
{
    Bench bench;
    noteLoad(bench.state_, bench.now_, "u0", Load{20, 4, milliseconds(100), {}, 0});
    noteLoad(bench.state_, bench.now_, "u1", Load{20, 4, milliseconds(100), {}, 0});
    noteLoad(bench.state_, bench.now_, "u2", Load{0, 0, milliseconds(100), {}, 0});
    for (const auto &[name, count] : bench.choose(300))
        BOOST_TEST(count > 60, name);
}

BOOST_AUTO_TEST_CASE(ejection_keeps_half_of_the_candidates)
{
    Bench bench(4);
    for (const char *name : {"u0", "u1", "u2"}) {
        for (int i = 0; i < 3; ++i)
            noteFailure(bench.state_, bench.now_, name);
    }
    BOOST_TEST(bench.choose(400).size() == 4u);
}

// Answers of one pipeline once were refused for the length of another's summaries.
BOOST_AUTO_TEST_CASE(long_work_of_another_pipeline_does_not_count)
{
    Bench bench;
    auto view = std::make_shared<View>(*bench.state_.view_);
    view->fleet_.pipelines_.push_back(view->fleet_.pipelines_[0]);
    view->fleet_.pipelines_[1].name_ = "summaries";
    Request summary = bench.request_;
    summary.view_ = view;
    summary.pipeline_ = &view->fleet_.pipelines_[1];
    summary.attempt_.upstream_ = "u0";
    for (int i = 0; i < 50; ++i)
        noteSuccess(bench.state_, summary, seconds(4));
    BOOST_TEST((expectedTotal(bench.state_, bench.now_, bench.request_) == milliseconds(100)));
    BOOST_TEST((expectedTotal(bench.state_, bench.now_, summary) > seconds(3)));
}

BOOST_AUTO_TEST_CASE(entry_talks_to_a_stable_subset)
{
    Bench bench(100);
    const auto &list = candidatesFor(bench.state_, *bench.request_.pipeline_, 0, Policy{});
    BOOST_TEST(list.size() == 24u);
    std::set<std::string> before;
    for (const Upstream *upstream : list)
        before.insert(upstream->name_);
    Bench larger(101);
    int kept = 0;
    for (const Upstream *upstream :
         candidatesFor(larger.state_, *larger.request_.pipeline_, 0, Policy{}))
        kept += before.contains(upstream->name_);
    BOOST_TEST(kept >= 23);
}

BOOST_AUTO_TEST_CASE(retries_have_a_budget)
{
    Bench bench;
    int allowed = 0;
    while (takeRetry(bench.state_, "p") && allowed < 100)
        ++allowed;
    BOOST_TEST(allowed <= 10);
}

} // namespace
