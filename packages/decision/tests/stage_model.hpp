/// @file
/// @brief Simulates schedulers, stage upstreams and callers in virtual time.
#pragma once

#include "chervilspring/detail/scheduler/scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

namespace chervilspring {

/// @brief Parameters of the simulation.
struct StageModelSettings
{
    int schedulers_ = 1; ///< number of schedulers; requests are assigned to them round-robin
    int stageUpstreams_ = 4; ///< upstreams in each of the two stage pools
    int engines_ = 4; ///< model engines in the engine pool
    std::uint32_t batch_ = 8; ///< pieces in a full call
    std::uint64_t resultStorageBytes_ = 100'000'000; ///< storage of each stage upstream
    milliseconds objective_{1500}; ///< time from a request's arrival to its objective
    milliseconds deadline_{6000}; ///< time from a request's arrival to its deadline
    /// Callers leave after this time unless their request was granted or refused; 0: they don't.
    milliseconds patience_{0};
    /// Processor time of a scheduler for each event; events wait while it is busy.
    microseconds eventTime_{0};
    double coldRate_ = 0; ///< requests a second that a cold engine bears; 0: unlimited
    std::uint64_t seed_ = 1; ///< seed of the arrivals and the numbers of pieces
};

/// @brief Counts of requests by outcome.
struct StageModelResult
{
    int submitted_ = 0;
    int onTime_ = 0; ///< granted within the objective
    int late_ = 0; ///< granted after the objective
    int refused_ = 0;
    int abandoned_ = 0; ///< the caller left before the request was granted or refused
    int unanswered_ = 0; ///< neither granted nor refused nor abandoned
    nanoseconds longestRefusal_{0}; ///< longest time from arrival to refusal
};

/// @brief Arrivals with the same route and priority.
struct RequestClass
{
    std::string route_;
    std::uint32_t priority_ = 0; ///< 0 is the highest priority
    double perSecond_ = 0; ///< mean number of requests per second
};

/// @brief Simulated fleet and its schedulers.
///
/// The routes "route" and "other" have the same two stages, in the pools "first" and "second", and
/// run at the pool "engine". The second stage needs the results of the first. Granted requests end
/// at once.
class StageModel
{
public:
    explicit StageModel(const StageModelSettings &settings)
        : settings_(settings), random_(settings.seed_)
    {
        auto view = std::make_shared<View>();
        view->version_ = 1;
        view->fleetVersion_ = 1;
        for (const char *name : {"first", "second"}) {
            Pool pool;
            pool.name_ = name;
            pool.selector_ = std::string("service = ") + name;
            PieceCapacity pieces;
            pieces.batch_ = settings.batch_;
            pieces.callTime_ = milliseconds(200);
            pieces.pieceTime_ = milliseconds(20);
            pieces.resultBytes_ = settings.resultStorageBytes_;
            pieces.resultLifetime_ = seconds(4);
            pool.pieces_ = pieces;
            view->fleet_.pools_.push_back(pool);
            for (int i = 1; i <= settings.stageUpstreams_; ++i)
                view->upstreams_.push_back(makeUpstream(name, i));
        }
        Pool engines;
        engines.name_ = "engine";
        engines.selector_ = "service = engine";
        engines.engine_ = EngineCapacity{64, 400'000};
        engines.coldRate_ = settings.coldRate_;
        view->fleet_.pools_.push_back(engines);
        for (int i = 1; i <= settings.engines_; ++i)
            view->upstreams_.push_back(makeUpstream("engine", i));
        std::sort(view->upstreams_.begin(), view->upstreams_.end(),
                  [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
        RouteSpec route;
        route.name_ = "route";
        route.stages_ = {RouteStage{"first", {}, 60'000}, RouteStage{"second", {0}, 6'000}};
        route.targets_ = {RouteTarget{"engine", 1}};
        view->fleet_.routes_.push_back(route);
        route.name_ = "other";
        view->fleet_.routes_.push_back(route);
        view_ = view;
        for (int i = 0; i < settings.schedulers_; ++i) {
            states_.emplace_back();
            handle(i, SchedulerView{view_});
        }
    }

    /// @brief Submits a request to the scheduler that is next in the round-robin order.
    /// @param firstPieces number of pieces of the first stage
    /// @param secondPieces number of pieces of the second stage
    /// @return id of the request
    std::string submit(std::uint32_t firstPieces, std::uint32_t secondPieces,
                       std::uint32_t priority = 0, const std::string &route = "route")
    {
        PlanRequest request;
        request.id_ = "r" + std::to_string(++submitted_);
        request.route_ = route;
        request.pool_ = "engine";
        request.priority_ = priority;
        request.untilObjective_ = settings_.objective_;
        request.untilDeadline_ = settings_.deadline_;
        request.untilStartDeadline_ = settings_.patience_;
        request.pieceCounts_ = {firstPieces, secondPieces};
        request.stages_ = findByName(view_->fleet_.routes_, route)->stages_;
        request.pieceKey_ = "k";
        request.parts_ = parts_;
        request.round_ = 1;
        arrived_[request.id_] = now_;
        requests_[request.id_] = request;
        handle(submitted_ % settings_.schedulers_, PeerMessage{"entry", request});
        return request.id_;
    }

    /// @brief Moves a request, with the results reported so far, to another scheduler.
    /// @param id id of the request
    /// @param from index of the previous scheduler
    /// @param to index of the next scheduler
    void moveToScheduler(const std::string &id, int from, int to)
    {
        PlanRequest request = requests_.at(id);
        request.round_ = 2;
        request.results_ = progress_[id];
        PlanEnd end;
        end.id_ = id;
        end.moved_ = true;
        handle(from, PeerMessage{"entry", end});
        handle(to, PeerMessage{"entry", request});
    }

    /// @brief Advances the virtual time, in steps of 5 ms.
    void advance(milliseconds time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            finishCalls();
            leaveImpatient();
            handleQueued();
            for (int i = 0; i < settings_.schedulers_; ++i) {
                if (nextWake(states_[static_cast<std::size_t>(i)]) <= now_)
                    handle(i, Wake{});
            }
        }
    }

    /// @brief Generates Poisson arrivals on the route "route".
    /// @param perSecond mean number of requests per second
    void generateLoad(double perSecond, milliseconds time)
    {
        generateLoad(std::vector<RequestClass>{RequestClass{"route", 0, perSecond}}, time);
    }

    /// @brief Generates Poisson arrivals of several request classes concurrently.
    void generateLoad(const std::vector<RequestClass> &classes, milliseconds time)
    {
        std::uniform_int_distribution<std::uint32_t> pieces(1, 4);
        const Instant end = now_ + time;
        std::vector<Instant> next(classes.size(), now_);
        while (now_ < end) {
            for (std::size_t i = 0; i < classes.size(); ++i) {
                std::exponential_distribution<double> gap(classes[i].perSecond_);
                while (next[i] <= now_) {
                    submit(pieces(random_), pieces(random_), classes[i].priority_,
                           classes[i].route_);
                    next[i] += nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
                }
            }
            advance(milliseconds(5));
        }
    }

    /// @brief Counts the outcomes of the requests submitted so far.
    /// @param route name of the route to count; empty: all routes
    StageModelResult result(const std::string &route = {}) const
    {
        StageModelResult result;
        for (const auto &[id, at] : arrived_) {
            if (!route.empty() && requests_.at(id).route_ != route)
                continue;
            ++result.submitted_;
            const auto granted = granted_.find(id);
            const auto refused = refused_.find(id);
            if (granted != granted_.end() && granted->second - at <= settings_.objective_)
                ++result.onTime_;
            else if (granted != granted_.end())
                ++result.late_;
            else if (refused != refused_.end())
                ++result.refused_;
            else if (abandoned_.contains(id))
                ++result.abandoned_;
            else
                ++result.unanswered_;
            if (refused != refused_.end())
                result.longestRefusal_ = std::max(result.longestRefusal_, refused->second - at);
        }
        return result;
    }

    /// @brief Returns the state of a scheduler.
    /// @param index index of the scheduler
    SchedulerState &state(int index = 0) { return states_[static_cast<std::size_t>(index)]; }

    /// @brief Passes an event to a scheduler and performs the resulting effects, at once or when
    /// the scheduler has time for it.
    /// @param index index of the scheduler
    void handle(int index, const SchedulerEvent &event)
    {
        if (settings_.eventTime_ == microseconds(0))
            handleNow(index, event);
        else
            queued_.push_back(QueuedEvent{index, event, now_});
    }

    /// @brief Passes an event to a scheduler and performs the resulting effects.
    void handleNow(int index, const SchedulerEvent &event)
    {
        SchedulerEffects effects;
        reduce(states_[static_cast<std::size_t>(index)], now_, event, effects);
        for (const SchedulerEffect &effect : effects)
            perform(index, effect);
    }

    /// @brief Ends a call early.
    /// @param index index of the scheduler that started the call
    /// @param items outcome of each item if the end is Done
    void endCall(int index, const StartStageCall &call, StageCallEnd end,
                 std::vector<StageItemResult> items = {})
    {
        StageCallEnded ended;
        ended.call_ = call.call_;
        ended.end_ = end;
        ended.items_ = std::move(items);
        handle(index, ended);
    }

    /// @brief Crashes an upstream: its call fails and it refuses connections from now on.
    void crashUpstream(const std::string &name) { crashed_.insert(name); }

    /// @brief Removes an upstream from the view.
    void removeUpstream(const std::string &name)
    {
        auto view = std::make_shared<View>(*view_);
        ++view->version_;
        std::erase_if(view->upstreams_, [&](const Upstream &u) { return u.name_ == name; });
        view_ = view;
        for (int i = 0; i < settings_.schedulers_; ++i)
            handle(i, SchedulerView{view_});
    }

    /// @brief Replaces an upstream by another one of the same pool at the same address.
    void renameUpstream(const std::string &name, const std::string &newName)
    {
        auto view = std::make_shared<View>(*view_);
        ++view->version_;
        for (Upstream &upstream : view->upstreams_) {
            if (upstream.name_ == name)
                upstream.name_ = newName;
        }
        std::sort(view->upstreams_.begin(), view->upstreams_.end(),
                  [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
        view_ = view;
        for (int i = 0; i < settings_.schedulers_; ++i)
            handle(i, SchedulerView{view_});
    }

    /// @brief Publishes a view in which an upstream is cold or warm.
    void setCold(const std::string &name, bool cold)
    {
        auto view = std::make_shared<View>(*view_);
        ++view->version_;
        for (Upstream &upstream : view->upstreams_) {
            if (upstream.name_ == name)
                upstream.cold_ = cold;
        }
        view_ = view;
        for (int i = 0; i < settings_.schedulers_; ++i)
            handle(i, SchedulerView{view_});
    }

    /// @brief Publishes a view with the quarantines that schedulers have stored.
    void publishQuarantines()
    {
        auto view = std::make_shared<View>(*view_);
        ++view->version_;
        for (const Quarantine &quarantine : stored_) {
            std::erase_if(view->quarantines_,
                          [&](const Quarantine &item) { return item.id_ == quarantine.id_; });
            if (!quarantine.parts_.empty())
                view->quarantines_.push_back(quarantine);
        }
        view_ = view;
        for (int i = 0; i < settings_.schedulers_; ++i)
            handle(i, SchedulerView{view_});
    }

    Instant now_ = Instant(seconds(1000)); ///< virtual time
    std::vector<PromptPart> parts_; ///< prompt of the requests submitted next
    std::vector<Quarantine> stored_; ///< quarantines that schedulers have stored, oldest first
    std::vector<StartStageCall> calls_; ///< all calls, in the order of their start
    std::map<std::string, Instant> granted_; ///< time of the first grant by request id
    std::map<std::string, PlanGrant> grants_; ///< last grant by request id
    std::map<std::string, Instant> refused_; ///< time of the first refusal by request id
    std::map<std::string, PlanRefusal> refusals_; ///< last refusal by request id
    std::set<std::string> freedHandles_; ///< handles of the results that schedulers have freed
    int freeMessages_ = 0; ///< messages that free results
    std::map<std::string, PlanRequest> requests_; ///< submitted requests by request id
    std::map<std::string, std::vector<PieceResult>> progress_; ///< reported results by request id

private:
    struct QueuedEvent
    {
        int scheduler_ = 0; // index of the scheduler
        SchedulerEvent event_;
        Instant queuedAt_{};
    };

    struct RunningCall
    {
        int scheduler_ = 0; // index of the scheduler that started the call
        StartStageCall call_;
        Instant endsAt_{};
    };

    static Upstream makeUpstream(const std::string &pool, int number)
    {
        Upstream item;
        item.name_ = pool + "-" + std::to_string(number);
        item.dataCenter_ = "dc" + std::to_string(number % 2);
        item.phase_ = UpstreamPhase::Serving;
        item.direct_ = true;
        item.agentAddress_ = "10.0." + std::to_string(pool.size()) + "." + std::to_string(number);
        item.agentPort_ = 80;
        item.labels_ = {Label{"service", pool}};
        return item;
    }

    // Handles the queued events for which a single scheduler has had the time.
    void handleQueued()
    {
        while (!queued_.empty() && freeAt_ < now_) {
            const QueuedEvent next = std::move(queued_.front());
            queued_.pop_front();
            freeAt_ = std::max(freeAt_, next.queuedAt_) + settings_.eventTime_;
            handleNow(next.scheduler_, SchedulerLag{now_ - next.queuedAt_});
            handleNow(next.scheduler_, next.event_);
        }
    }

    // Carries out an effect of a scheduler. Stage upstreams process one call at a time and queue
    // the others, as real ones do.
    void perform(int index, const SchedulerEffect &effect)
    {
        if (const auto *call = std::get_if<StartStageCall>(&effect)) {
            calls_.push_back(*call);
            Instant &busyUntil = busyUntil_[call->upstream_.name_];
            const Instant start = std::max(busyUntil, now_);
            busyUntil = start + milliseconds(200)
                + milliseconds(20) * static_cast<int>(call->items_.size());
            running_.push_back(RunningCall{index, *call, busyUntil});
        } else if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            if (const auto *grant = std::get_if<PlanGrant>(&send->message_)) {
                granted_.emplace(grant->id_, now_);
                grants_[grant->id_] = *grant;
                handle(index, PeerMessage{"entry", PlanEnd{grant->id_, grant->round_, true, ""}});
            } else if (const auto *refusal = std::get_if<PlanRefusal>(&send->message_)) {
                refused_.emplace(refusal->id_, now_);
                refusals_[refusal->id_] = *refusal;
            } else if (const auto *progress = std::get_if<PlanProgress>(&send->message_)) {
                auto &known = progress_[progress->id_];
                known.insert(known.end(), progress->results_.begin(), progress->results_.end());
            }
        } else if (const auto *store = std::get_if<StoreQuarantine>(&effect)) {
            stored_.push_back(store->quarantine_);
        } else if (const auto *free = std::get_if<FreeResults>(&effect)) {
            freedHandles_.insert(free->handles_.begin(), free->handles_.end());
            ++freeMessages_;
        }
    }

    // Callers whose patience has run out leave; their entry tells the scheduler.
    void leaveImpatient()
    {
        if (settings_.patience_ == milliseconds(0))
            return;
        for (const auto &[id, at] : arrived_) {
            const bool waiting =
                !granted_.contains(id) && !refused_.contains(id) && !abandoned_.contains(id);
            if (!waiting || now_ - at < settings_.patience_)
                continue;
            abandoned_.insert(id);
            for (int i = 0; i < settings_.schedulers_; ++i)
                handle(i, PeerMessage{"entry", PlanEnd{id, 1, false, "caller_gone"}});
        }
    }

    void finishCalls()
    {
        std::vector<RunningCall> endedCalls;
        std::erase_if(running_, [&](const RunningCall &item) {
            const bool ended =
                item.endsAt_ <= now_ || crashed_.contains(item.call_.upstream_.name_);
            if (ended)
                endedCalls.push_back(item);
            return ended;
        });
        for (const RunningCall &item : endedCalls) {
            StageCallEnded event;
            event.call_ = item.call_.call_;
            if (crashed_.contains(item.call_.upstream_.name_)) {
                event.end_ = StageCallEnd::Unreachable;
            } else {
                event.end_ = StageCallEnd::Done;
                for (const StageItem &piece : item.call_.items_)
                    event.items_.push_back(StageItemResult{
                        item.call_.upstream_.name_ + "/" + piece.request_ + "."
                            + std::to_string(piece.stage_) + "." + std::to_string(piece.piece_),
                        ItemFailure::None});
            }
            handle(item.scheduler_, event);
        }
    }

    StageModelSettings settings_;
    std::mt19937_64 random_;
    ViewPointer view_;
    std::deque<SchedulerState> states_;
    std::vector<RunningCall> running_;
    std::deque<QueuedEvent> queued_; // events that wait for a scheduler
    Instant freeAt_{}; // when the scheduler has handled its latest event
    std::map<std::string, Instant> busyUntil_; // end of the last queued call by upstream name
    std::map<std::string, Instant> arrived_; // time of the submission by request id
    std::set<std::string> crashed_; // names of the upstreams
    std::set<std::string> abandoned_; // ids of the requests whose callers have left
    int submitted_ = 0; // number of submitted requests
};

} // namespace chervilspring
