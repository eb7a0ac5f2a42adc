// Tests detail/scheduler/work_index.hpp: the index against the requests that it was made from, and
// what an event costs beside many requests in planning.
#include "stage_model.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <ctime>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

// Counts the waiting pieces ahead of a request by looking at all planned ones.
std::map<std::string, Backlog> countBacklogAhead(const std::map<JobId, Job> &jobs, const Job &job,
                                                 Instant now)
{
    std::map<std::string, Backlog> backlogs;
    for (const StageWork &stage : job.stages_)
        backlogs[stage.pool_];
    for (const auto &[id, other] : jobs) {
        if (priorityRank(other) > priorityRank(job)
            || (!hasStarted(other) && !canMeetObjective(other, now)))
            continue;
        for (const StageWork &stage : other.stages_) {
            const auto waiting = static_cast<std::size_t>(
                std::count_if(stage.pieces_.begin(), stage.pieces_.end(),
                              [](const Piece &p) { return p.state_ == PieceState::Waiting; }));
            backlogs[stage.pool_].pieces_ += waiting;
            if (priorityRank(other) < priorityRank(job))
                backlogs[stage.pool_].higherRankPieces_ += waiting;
        }
    }
    return backlogs;
}

void checkBacklogs(SchedulerState &state, Instant now)
{
    for (const std::uint32_t priority : {0u, 1u, 2u}) {
        Job probe;
        probe.request_.priority_ = priority;
        for (const char *pool : {"first", "second"}) {
            probe.stages_.emplace_back().pool_ = pool;
            probe.stages_.back().pieces_.resize(1);
        }
        const auto counted = countBacklogAhead(state.jobs_, probe, now);
        for (const auto &[pool, backlog] : backlogAhead(state.work_, probe, now)) {
            BOOST_TEST(backlog.pieces_ == counted.at(pool).pieces_);
            BOOST_TEST(backlog.higherRankPieces_ == counted.at(pool).higherRankPieces_);
        }
    }
}

void checkReadyStages(const SchedulerState &state, const std::string &pool, Instant now)
{
    std::size_t expected = 0;
    for (const auto &[id, job] : state.jobs_) {
        for (std::size_t stage = 0; stage < job.stages_.size(); ++stage)
            expected += job.stages_[stage].pool_ == pool && hasWaitingPieces(job.stages_[stage])
                && inputsReady(job, stage);
    }
    const auto ready = collectReadyStages(state.work_, pool, now);
    BOOST_TEST(ready.size() == expected);
    for (const ReadyStage &stage : ready) {
        const Job &job = state.jobs_.at(*stage.job_);
        const StageWork &work = job.stages_[stage.stage_];
        const bool misses = now + work.criticalPathTime_ > stagesDueAt(job);
        BOOST_TEST(stage.missesObjective_ == misses);
        BOOST_TEST((stage.latestStart_ + work.criticalPathTime_
                    == (misses ? latestStagesEnd(job) : stagesDueAt(job))));
        BOOST_TEST(stage.priorityRank_ == priorityRank(job));
        for (const std::uint32_t piece : stage.pieces_)
            BOOST_TEST((work.pieces_[piece].state_ == PieceState::Waiting));
    }
}

// Crashes, removed and replaced upstreams, promotions, refusals, requests that move and leave.
BOOST_DATA_TEST_CASE(index_matches_the_planned_requests_in_all_sessions, data::xrange(1, 21), seed)
{
    StageModelSettings settings;
    settings.seed_ = static_cast<std::uint64_t>(seed);
    settings.patience_ = milliseconds(1200);
    settings.schedulers_ = 2;
    StageModel model(settings);
    std::mt19937_64 random(settings.seed_);
    for (int step = 0; step < 40; ++step) {
        model.generateLoad({{"route", 0, 30}, {"other", 2, 40}}, milliseconds(50));
        if (step == 10)
            model.crashUpstream("first-1");
        if (step == 15)
            model.removeUpstream("first-1");
        if (step == 20)
            model.renameUpstream("second-2", "second-5");
        if (step % 4 == 0 && !model.requests_.empty())
            model.moveToScheduler(std::prev(model.requests_.end())->first, 0, 1);
        for (const int scheduler : {0, 1}) {
            checkBacklogs(model.state(scheduler), model.now_);
            for (const char *pool : {"first", "second"})
                checkReadyStages(model.state(scheduler), pool, model.now_);
        }
    }
}

// Returns the shortest processor time of an arrival and departure beside this many other requests.
nanoseconds arrivalTime(int planned)
{
    StageModelSettings settings;
    settings.stageUpstreams_ = 1;
    settings.objective_ = settings.deadline_ = seconds(100'000); // none is refused
    StageModel model(settings);
    for (int i = 0; i < planned; ++i)
        model.submit(1, 1);
    PlanRequest request = model.requests_.begin()->second;
    request.id_ = "measured";
    nanoseconds shortest = seconds(1);
    for (int i = 0; i < 200; ++i) {
        timespec start{};
        timespec end{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
        model.handle(0, PeerMessage{"entry", request});
        model.handle(0, PeerMessage{"entry", PlanEnd{request.id_, 1, false, ""}});
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        shortest = std::min<nanoseconds>(shortest,
                                         seconds(end.tv_sec - start.tv_sec)
                                             + nanoseconds(end.tv_nsec - start.tv_nsec));
    }
    return shortest;
}

// The scheduler of a large fleet fell behind: the longer its backlog, the longer each event took.
BOOST_AUTO_TEST_CASE(arrival_takes_no_longer_beside_a_long_backlog)
{
    const nanoseconds few = arrivalTime(50);
    const nanoseconds many = arrivalTime(1600);
    BOOST_TEST(many.count() < 4 * few.count());
}

} // namespace
