/// @file
/// @brief A scheduler with stage upstreams and callers in virtual time, for load and failure tests.
#pragma once

#include "chervilspring/detail/scheduler/scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

namespace chervilspring {

/// @brief Numbers of the model.
struct StageModelSettings
{
    int schedulers_ = 1; ///< requests are dealt out to them in turn
    int stageUpstreams_ = 4; ///< of each of the two stage pools
    int engines_ = 4;
    std::uint32_t batch_ = 8;
    std::uint64_t room_ = 100'000'000; ///< for results at each stage upstream
    milliseconds objective_{1500};
    milliseconds deadline_{6000};
    std::uint64_t seed_ = 1;
};

/// @brief What callers got.
struct StageModelResult
{
    int asked_ = 0;
    int onTime_ = 0;
    int late_ = 0;
    int refused_ = 0;
    int unanswered_ = 0;
    nanoseconds longestRefusal_{0}; ///< time until a refusal
};

/// @brief Requests of one kind.
struct StageModelLoad
{
    std::string route_;
    std::uint32_t priority_ = 0;
    double perSecond_ = 0;
};

/// @brief Pool "first" (no predecessors) and "second" (after it), engines "engine". Routes "route"
/// and "other" go through both.
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
            pieces.resultBytes_ = settings.room_;
            pieces.resultLifetime_ = seconds(4);
            pool.pieces_ = pieces;
            view->fleet_.pools_.push_back(pool);
            for (int i = 1; i <= settings.stageUpstreams_; ++i)
                view->upstreams_.push_back(upstream(name, i));
        }
        Pool engines;
        engines.name_ = "engine";
        engines.selector_ = "service = engine";
        engines.engine_ = EngineCapacity{64, 400'000};
        view->fleet_.pools_.push_back(engines);
        for (int i = 1; i <= settings.engines_; ++i)
            view->upstreams_.push_back(upstream("engine", i));
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

    /// @brief A request arrives now.
    std::string ask(std::uint32_t firstPieces, std::uint32_t secondPieces,
                    std::uint32_t priority = 0, const std::string &route = "route")
    {
        PlanRequest request;
        request.id_ = "r" + std::to_string(++asked_);
        request.route_ = route;
        request.pool_ = "engine";
        request.priority_ = priority;
        request.untilObjective_ = settings_.objective_;
        request.untilDeadline_ = settings_.deadline_;
        request.pieceCounts_ = {firstPieces, secondPieces};
        request.pieceKey_ = "k";
        request.round_ = 1;
        arrived_[request.id_] = now_;
        requests_[request.id_] = request;
        handle(asked_ % settings_.schedulers_, PeerMessage{"entry", request});
        return request.id_;
    }

    /// @brief Its entry has a request planned by another scheduler from now on.
    void move(const std::string &id, int from, int to)
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

    /// @brief Lets time pass.
    void run(milliseconds time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            finishCalls();
            for (int i = 0; i < settings_.schedulers_; ++i) {
                if (nextWake(states_[static_cast<std::size_t>(i)]) <= now_)
                    handle(i, Wake{});
            }
        }
    }

    /// @brief Poisson arrivals.
    void load(double perSecond, milliseconds time)
    {
        load(std::vector<StageModelLoad>{StageModelLoad{"route", 0, perSecond}}, time);
    }

    /// @brief Poisson arrivals of several kinds side by side.
    void load(const std::vector<StageModelLoad> &kinds, milliseconds time)
    {
        std::uniform_int_distribution<std::uint32_t> pieces(1, 4);
        const Instant end = now_ + time;
        std::vector<Instant> next(kinds.size(), now_);
        while (now_ < end) {
            for (std::size_t i = 0; i < kinds.size(); ++i) {
                std::exponential_distribution<double> gap(kinds[i].perSecond_);
                while (next[i] <= now_) {
                    ask(pieces(random_), pieces(random_), kinds[i].priority_, kinds[i].route_);
                    next[i] += nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
                }
            }
            run(milliseconds(5));
        }
    }

    /// @param route empty: all of them
    StageModelResult result(const std::string &route = {}) const
    {
        StageModelResult result;
        for (const auto &[id, at] : arrived_) {
            if (!route.empty() && requests_.at(id).route_ != route)
                continue;
            ++result.asked_;
            const auto granted = granted_.find(id);
            const auto refused = refused_.find(id);
            if (granted != granted_.end() && granted->second - at <= settings_.objective_)
                ++result.onTime_;
            else if (granted != granted_.end())
                ++result.late_;
            else if (refused != refused_.end())
                ++result.refused_;
            else
                ++result.unanswered_;
            if (refused != refused_.end())
                result.longestRefusal_ = std::max(result.longestRefusal_, refused->second - at);
        }
        return result;
    }

    SchedulerState &state(int index = 0) { return states_[static_cast<std::size_t>(index)]; }

    void handle(int index, const SchedulerEvent &event)
    {
        SchedulerEffects effects;
        reduce(states_[static_cast<std::size_t>(index)], now_, event, effects);
        for (const SchedulerEffect &effect : effects)
            carryOut(index, effect);
    }

    /// @brief A call ends before its time.
    /// @param index of the scheduler that made it
    void endCall(int index, const StartStageCall &call, StageCallEnd end,
                 std::vector<StageItemResult> items = {})
    {
        StageCallEnded ended;
        ended.call_ = call.call_;
        ended.end_ = end;
        ended.items_ = std::move(items);
        handle(index, ended);
    }

    /// @brief The upstream doesn't answer its call, and refuses connections from now on.
    void crash(const std::string &name) { crashed_.insert(name); }

    /// @brief The view no longer lists the upstream.
    void remove(const std::string &name)
    {
        auto view = std::make_shared<View>(*view_);
        ++view->version_;
        std::erase_if(view->upstreams_, [&](const Upstream &u) { return u.name_ == name; });
        view_ = view;
        for (int i = 0; i < settings_.schedulers_; ++i)
            handle(i, SchedulerView{view_});
    }

    Instant now_ = Instant(seconds(1000));
    std::vector<StartStageCall> calls_; ///< all that were started
    std::map<std::string, Instant> granted_;
    std::map<std::string, PlanGrant> grants_;
    std::map<std::string, Instant> refused_;
    std::map<std::string, PlanRefusal> refusals_;
    std::set<std::string> freed_; ///< handles
    std::map<std::string, PlanRequest> requests_;
    std::map<std::string, std::vector<PieceResult>> progress_; ///< by request id

private:
    struct Running
    {
        int scheduler_ = 0;
        StartStageCall call_;
        Instant endsAt_{};
    };

    static Upstream upstream(const std::string &pool, int number)
    {
        Upstream item;
        item.name_ = pool + "-" + std::to_string(number);
        item.dataCenter_ = "dc" + std::to_string(number % 2);
        item.phase_ = UpstreamPhase::Serving;
        item.direct_ = true;
        item.labels_ = {Label{"service", pool}};
        return item;
    }

    // One call at a time; others wait, as at a real stage upstream.
    void carryOut(int index, const SchedulerEffect &effect)
    {
        if (const auto *call = std::get_if<StartStageCall>(&effect)) {
            calls_.push_back(*call);
            Instant &busy = busyUntil_[call->upstream_.name_];
            const Instant start = std::max(busy, now_);
            busy = start + milliseconds(200)
                + milliseconds(20) * static_cast<int>(call->items_.size());
            running_.push_back(Running{index, *call, busy});
        } else if (const auto *send = std::get_if<SendToPeer>(&effect)) {
            if (const auto *grant = std::get_if<PlanGrant>(&send->message_)) {
                granted_.emplace(grant->id_, now_);
                grants_[grant->id_] = *grant;
                handle(index, PeerMessage{"entry", PlanEnd{grant->id_, grant->round_, true, ""}});
            } else if (const auto *refusal = std::get_if<PlanRefusal>(&send->message_)) {
                refused_.emplace(refusal->id_, now_);
                refusals_[refusal->id_] = *refusal;
            } else if (const auto *made = std::get_if<PlanProgress>(&send->message_)) {
                auto &known = progress_[made->id_];
                known.insert(known.end(), made->results_.begin(), made->results_.end());
            }
        } else if (const auto *free = std::get_if<FreeResults>(&effect)) {
            freed_.insert(free->handles_.begin(), free->handles_.end());
        }
    }

    void finishCalls()
    {
        std::vector<Running> ended;
        std::erase_if(running_, [&](const Running &item) {
            const bool over = item.endsAt_ <= now_ || crashed_.contains(item.call_.upstream_.name_);
            if (over)
                ended.push_back(item);
            return over;
        });
        for (const Running &item : ended) {
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
    std::vector<Running> running_;
    std::map<std::string, Instant> busyUntil_;
    std::map<std::string, Instant> arrived_;
    std::set<std::string> crashed_;
    int asked_ = 0;
};

} // namespace chervilspring
