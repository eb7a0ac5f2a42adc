/// @file
/// @brief Reducer of a scheduler: has the stages of requests done and chooses their model engines.
///
/// A scheduler sees the requests of all entries, so that it can fill calls to stage upstreams with
/// pieces of many requests. It keeps nothing on disk: an entry that loses its scheduler asks
/// another one, and pieces are made again.
#pragma once

#include "chervilspring/detail/scheduler/engine_plan.hpp"
#include "chervilspring/detail/scheduler/piece_plan.hpp"
#include "chervilspring/detail/scheduler/service_share.hpp"
#include "chervilspring/detail/scheduler/stage_room.hpp"
#include "chervilspring/detail/scheduler/time_estimate.hpp"
#include "chervilspring/events.hpp"

#include <deque>
#include <map>

namespace chervilspring {

/// @brief A call to a stage upstream ended.
struct StageCallEnded
{
    std::uint64_t call_ = 0;
    StageCallEnd end_ = StageCallEnd::Failed;
    std::vector<StageItemResult> items_; ///< as many as were sent, if end_ is Done
    std::string detail_;
};

/// @brief A newer view of the fleet.
struct SchedulerView
{
    ViewPointer view_;
};

using SchedulerEvent = std::variant<PeerMessage, PeerLost, StageCallEnded, SchedulerView, Wake>;

/// @brief Make a call to a stage upstream.
struct StartStageCall
{
    std::uint64_t call_ = 0;
    Upstream upstream_;
    std::vector<StageItem> items_;
    nanoseconds limit_{0};
};

/// @brief Tell a stage upstream that results aren't needed any more.
struct FreeResults
{
    Upstream upstream_;
    std::vector<std::string> handles_;
};

using SchedulerEffect = std::variant<SendToPeer, StartStageCall, FreeResults, DecisionLine>;
using SchedulerEffects = std::vector<SchedulerEffect>;

/// @brief A call under way.
struct StageCall
{
    std::string pool_;
    std::string upstream_;
    std::vector<PieceId> pieces_;
    std::vector<std::uint64_t> resultBytes_; ///< by piece
    std::uint64_t bytesBefore_ = 0; ///< that this scheduler had at the upstream
    Instant startedAt_{};
    nanoseconds expected_{0};
};

/// @brief Whole state of a scheduler.
///
/// Each event looks through the requests that are being planned. Those at an engine are kept apart:
/// they are many times more.
struct SchedulerState
{
    ViewPointer view_ = std::make_shared<const View>();
    std::map<std::string, std::vector<std::string>> upstreamsByPool_; ///< that take new work
    std::map<JobId, Job> jobs_; ///< requests that are being planned
    std::map<JobId, Job> granted_; ///< requests that were handed to an engine
    std::map<std::string, StageUpstream> stageUpstreams_; ///< by name
    EngineTable engines_;
    std::map<std::string, TimeEstimate> startTimes_; ///< from grant to first token, by route
    std::map<std::string, TimeEstimate> startOverruns_; ///< beyond an engine's cost, by pool
    ServiceTable service_; ///< of new requests
    std::map<std::uint64_t, StageCall> calls_;
    std::uint64_t nextCall_ = 1;
    Instant sweepAt_{};
    Instant tookOverAt_{}; ///< from another scheduler
    Instant dispatchAt_{}; ///< no calls are started before
};

/// @brief Handles one event.
/// @since 0.2.0
void reduce(SchedulerState &state, Instant now, const SchedulerEvent &event,
            SchedulerEffects &effects);

/// @brief When a Wake event is due.
Instant nextWake(const SchedulerState &state);

} // namespace chervilspring
