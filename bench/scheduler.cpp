/// @file
/// @brief CPU time of the scheduler's reducer at a large fleet, in virtual time and without
/// sockets.
///
/// Usage: bench_scheduler [LOAD_PERCENT [SECONDS]]. Prints CSV: kind of event, count, microseconds
/// each; then totals, and a digest of all decision lines, which stays the same as long as a change
/// only makes decisions cheaper.
#include "chervilspring/detail/scheduler/scheduler.hpp"
#include "chervilspring/digest.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

namespace {

using namespace chervilspring;

constexpr int engineCount = 180;
constexpr nanoseconds prefillTime = milliseconds(90);
constexpr nanoseconds runTime = milliseconds(900);

double cpuSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

struct StagePool
{
    const char *name_;
    int upstreams_;
    std::uint32_t batch_; ///< pieces in a full call
    microseconds pieceTime_;
    std::uint64_t resultBytes_; ///< storage for results at each upstream
};

constexpr StagePool stagePools[] = {
    {"registry", 47, 10, microseconds(17'000), 22'000'000},
    {"cellar", 36, 40, microseconds(4'300), 5'300'000},
    {"notices", 42, 58, microseconds(3'000), 760'000},
};

/// Requests with the same route. Stage s needs the results of stage s - 1 unless it is the first
/// one or independent_.
struct RequestClass
{
    const char *route_;
    double perSecond_;
    std::uint32_t priority_;
    milliseconds objective_;
    milliseconds deadline_;
    std::uint32_t promptTokens_;
    int sharedPrompts_; ///< number of different prompt beginnings
    std::vector<RouteStage> stages_;
    std::vector<double> meanPieces_; ///< by stage
};

std::vector<RequestClass> makeClasses()
{
    const std::vector<RouteStage> chain = {RouteStage{"registry", {}, 8'000},
                                           RouteStage{"cellar", {0}, 60'000},
                                           RouteStage{"notices", {1}, 6'000}};
    const std::vector<RouteStage> branched = {
        RouteStage{"registry", {}, 1'500'000}, RouteStage{"registry", {}, 8'000},
        RouteStage{"cellar", {1}, 60'000}, RouteStage{"notices", {2}, 6'000}};
    return {
        {"summary",
         185,
         1,
         milliseconds(1100),
         milliseconds(6000),
         9190,
         2179,
         {RouteStage{"registry", {}, 1'500'000}},
         {1.75}},
        {"draft", 223, 0, milliseconds(1900), milliseconds(6000), 2368, 2629, chain, {1, 6, 10}},
        {"chat",
         111,
         2,
         milliseconds(1800),
         milliseconds(20000),
         715,
         1302,
         branched,
         {0.6, 1, 6, 10}}};
}

Upstream makeUpstream(const std::string &pool, int number)
{
    Upstream upstream;
    upstream.name_ = pool + "-" + std::to_string(number);
    upstream.dataCenter_ = "dc" + std::to_string(number % 5);
    upstream.agentAddress_ = "10.1.0." + std::to_string(number);
    upstream.agentPort_ = static_cast<std::uint16_t>(7000 + pool.size());
    upstream.agentBoot_ = 1;
    upstream.direct_ = true;
    upstream.phase_ = UpstreamPhase::Serving;
    upstream.labels_ = {Label{"service", pool}};
    return upstream;
}

ViewPointer makeView(const std::vector<RequestClass> &classes)
{
    auto view = std::make_shared<View>();
    view->version_ = view->fleetVersion_ = 1;
    for (const StagePool &stagePool : stagePools) {
        Pool pool;
        pool.name_ = stagePool.name_;
        pool.selector_ = std::string("service = ") + stagePool.name_;
        PieceCapacity capacity;
        capacity.batch_ = stagePool.batch_;
        capacity.callTime_ = milliseconds(200);
        capacity.pieceTime_ = stagePool.pieceTime_;
        capacity.resultBytes_ = stagePool.resultBytes_;
        capacity.resultLifetime_ = seconds(4);
        pool.pieces_ = capacity;
        view->fleet_.pools_.push_back(pool);
        for (int i = 0; i < stagePool.upstreams_; ++i)
            view->upstreams_.push_back(makeUpstream(stagePool.name_, i));
    }
    Pool engines;
    engines.name_ = "engine";
    engines.selector_ = "service = engine";
    engines.engine_ = EngineCapacity{32, 353'787};
    view->fleet_.pools_.push_back(engines);
    for (int i = 0; i < engineCount; ++i)
        view->upstreams_.push_back(makeUpstream("engine", i));
    std::sort(view->upstreams_.begin(), view->upstreams_.end(),
              [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
    for (const RequestClass &item : classes) {
        RouteSpec route;
        route.name_ = item.route_;
        route.stages_ = item.stages_;
        route.targets_ = {RouteTarget{"engine", 1}};
        view->fleet_.routes_.push_back(route);
    }
    return view;
}

/// Event that is due at a virtual time.
struct DueEvent
{
    Instant at_{};
    std::uint64_t order_ = 0; ///< events at the same time are handled in this order
    const char *kind_ = "";
    SchedulerEvent event_;
    bool operator<(const DueEvent &other) const
    {
        return std::tie(at_, order_) > std::tie(other.at_, other.order_); // earliest on top
    }
};

/// CPU time of the events of one kind.
struct Cost
{
    int count_ = 0;
    double seconds_ = 0;
};

/// Callers, entries and upstreams around one scheduler.
class Simulation
{
public:
    explicit Simulation(double load) : classes_(makeClasses()), load_(load)
    {
        handle("view", SchedulerView{makeView(classes_)});
    }

    void run(nanoseconds time)
    {
        for (std::size_t i = 0; i < classes_.size(); ++i)
            scheduleArrival(i);
        const Instant end = now_ + time;
        while (now_ < end) {
            const Instant wakeAt = nextWake(state_);
            if (due_.empty() || wakeAt <= due_.top().at_) {
                now_ = std::max(now_, wakeAt);
                handle("wake", Wake{});
                continue;
            }
            const DueEvent next = due_.top();
            due_.pop();
            now_ = std::max(now_, next.at_);
            handle(next.kind_, next.event_);
            mostPlanned_ = std::max(mostPlanned_, state_.jobs_.size());
        }
    }

    void print() const
    {
        Cost all;
        for (const auto &[kind, cost] : costs_) {
            std::printf("%s,%d,%.1f\n", kind.c_str(), cost.count_,
                        cost.seconds_ / cost.count_ * 1e6);
            all.count_ += cost.count_;
            all.seconds_ += cost.seconds_;
        }
        std::printf("all,%d,%.1f\n", all.count_, all.seconds_ / all.count_ * 1e6);
        std::printf("cpu_seconds,,%.3f\nmost_planned,%zu,\ngranted,%d,\nrefused,%d,\nfree_calls,%d,"
                    "\nstage_calls,%d,\npieces,%d,\ndecision_lines_digest,%llx,\n",
                    all.seconds_, mostPlanned_, granted_, refused_, freeCalls_, stageCalls_,
                    pieces_, static_cast<unsigned long long>(decisionDigest_));
    }

private:
    void scheduleArrival(std::size_t index)
    {
        const RequestClass &item = classes_[index];
        std::exponential_distribution<double> gap(item.perSecond_ * load_);
        std::uniform_int_distribution<int> prompt(0, item.sharedPrompts_ - 1);
        PlanRequest request;
        request.id_ = requestId(++requests_);
        request.route_ = item.route_;
        request.pool_ = "engine";
        request.priority_ = item.priority_;
        request.untilObjective_ = item.objective_;
        request.untilDeadline_ = item.deadline_;
        for (const double mean : item.meanPieces_) {
            std::poisson_distribution<std::uint32_t> pieces(mean);
            request.pieceCounts_.push_back(mean == 1 ? 1 : pieces(random_));
        }
        request.stages_ = item.stages_;
        request.promptTokens_ = item.promptTokens_;
        request.outputTokens_ = 100;
        request.parts_ = {
            PromptPart{std::string(item.route_) + "-" + std::to_string(prompt(random_) % 80), 341},
            PromptPart{std::string(item.route_) + "+" + std::to_string(prompt(random_)), 227},
            PromptPart{request.id_, item.promptTokens_ - 341 - 227}};
        request.round_ = 1;
        const std::string entry = "entry-" + std::to_string(requests_ % 103);
        const auto at = nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
        add(nextArrival_[index] += at, "plan_request", PeerMessage{entry, request});
        classOf_[request.id_] = index;
    }

    static std::string requestId(int number)
    {
        return std::to_string(contentDigest(std::to_string(number)));
    }

    void add(Instant at, const char *kind, SchedulerEvent event)
    {
        due_.push(DueEvent{at, ++events_, kind, std::move(event)});
    }

    void handle(const char *kind, const SchedulerEvent &event)
    {
        if (const auto *message = std::get_if<PeerMessage>(&event)) {
            if (const auto *request = std::get_if<PlanRequest>(&message->message_))
                scheduleArrival(classOf_.at(request->id_));
        }
        SchedulerEffects effects;
        const double before = cpuSeconds();
        reduce(state_, now_, event, effects);
        Cost &cost = costs_[kind];
        cost.seconds_ += cpuSeconds() - before;
        ++cost.count_;
        for (const SchedulerEffect &effect : effects)
            perform(effect);
    }

    void perform(const SchedulerEffect &effect)
    {
        if (const auto *line = std::get_if<DecisionLine>(&effect)) {
            decisionDigest_ = contentDigest(std::to_string(decisionDigest_) + line->text_);
        } else if (const auto *call = std::get_if<StartStageCall>(&effect)) {
            finishCall(*call);
        } else if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            if (const auto *grant = std::get_if<PlanGrant>(&send->message_))
                finishRun(send->peer_, *grant);
            else if (std::holds_alternative<PlanRefusal>(send->message_))
                ++refused_;
        } else if (std::holds_alternative<FreeResults>(effect)) {
            ++freeCalls_;
        }
    }

    void finishCall(const StartStageCall &call)
    {
        ++stageCalls_;
        pieces_ += static_cast<int>(call.items_.size());
        StageCallEnded ended;
        ended.call_ = call.call_;
        ended.end_ = StageCallEnd::Done;
        for (const StageItem &item : call.items_)
            ended.items_.push_back(StageItemResult{item.request_ + "." + std::to_string(item.stage_)
                                                       + "." + std::to_string(item.piece_),
                                                   ItemFailure::None});
        const auto stagePool =
            std::find_if(std::begin(stagePools), std::end(stagePools), [&](const StagePool &item) {
                return call.upstream_.name_.starts_with(item.name_);
            });
        add(now_ + milliseconds(202)
                + stagePool->pieceTime_ * static_cast<std::int64_t>(call.items_.size()),
            "call_ended", ended);
    }

    void finishRun(const std::string &entry, const PlanGrant &grant)
    {
        ++granted_;
        add(now_ + prefillTime, "plan_started",
            PeerMessage{entry, PlanStarted{grant.id_, grant.round_}});
        add(now_ + runTime, "plan_end",
            PeerMessage{entry, PlanEnd{grant.id_, grant.round_, true, ""}});
    }

    std::vector<RequestClass> classes_;
    double load_;
    SchedulerState state_;
    Instant now_ = Instant(seconds(1000));
    std::mt19937_64 random_{1};
    std::priority_queue<DueEvent> due_;
    std::uint64_t events_ = 0;
    std::map<std::size_t, Instant> nextArrival_{
        {0, Instant(seconds(1000))}, {1, Instant(seconds(1000))}, {2, Instant(seconds(1000))}};
    std::map<std::string, std::size_t> classOf_; // by request id
    std::map<std::string, Cost> costs_; // by kind of event
    std::size_t mostPlanned_ = 0;
    int requests_ = 0;
    int granted_ = 0;
    int refused_ = 0;
    int freeCalls_ = 0;
    int stageCalls_ = 0;
    int pieces_ = 0;
    std::uint64_t decisionDigest_ = 0; // of all decision lines
};

} // namespace

int main(int argc, char **argv)
{
    const double load = argc > 1 ? std::atof(argv[1]) / 100 : 1.0;
    const int duration = argc > 2 ? std::atoi(argv[2]) : 10;
    Simulation simulation(load);
    simulation.run(seconds(duration));
    simulation.print();
}
