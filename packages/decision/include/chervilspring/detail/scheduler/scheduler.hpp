/// @file
/// @brief Scheduler state machine: runs the stages of requests and chooses their model engines.
///
/// A scheduler receives the requests of all entries, so that it can fill calls to stage upstreams
/// with pieces of many requests. It stores nothing on disk: an entry that loses its scheduler asks
/// another one, and pieces are processed again.
#pragma once

#include "chervilspring/detail/scheduler/cold_rate.hpp"
#include "chervilspring/detail/scheduler/engine_cost.hpp"
#include "chervilspring/detail/scheduler/piece_plan.hpp"
#include "chervilspring/detail/scheduler/quarantine.hpp"
#include "chervilspring/detail/scheduler/service_share.hpp"
#include "chervilspring/detail/scheduler/stage_storage.hpp"
#include "chervilspring/detail/scheduler/time_estimate.hpp"
#include "chervilspring/detail/scheduler/work_index.hpp"
#include "chervilspring/detail/upstream_notices.hpp"
#include "chervilspring/events.hpp"

#include <deque>
#include <map>

namespace chervilspring {

/// @brief Event: a call to a stage upstream ended.
struct StageCallEnded
{
    std::uint64_t call_ = 0; ///< id of the call, as in StartStageCall
    StageCallEnd end_ = StageCallEnd::Failed;
    std::vector<StageItemResult> items_; ///< one outcome for each item sent if end_ is Done
    std::string detail_; ///< text for the log
    UpstreamNotice notice_; ///< from the head of the answer
};

/// @brief Event: a newer view of the fleet is available.
struct SchedulerView
{
    ViewPointer view_; ///< the new view; not null
};

/// @brief Results that a stage upstream will be told to free.
struct PendingFree
{
    std::string pool_; ///< pool of the upstream
    std::vector<std::string> handles_;
    Instant dueAt_{}; ///< when it is told at the latest
};

/// @brief Event: measurement of how long events wait until the scheduler handles them.
struct SchedulerLag
{
    nanoseconds lag_{0};
};

using SchedulerEvent =
    std::variant<PeerMessage, PeerLost, StageCallEnded, SchedulerView, SchedulerLag, Wake>;

/// @brief Effect: start a call to a stage upstream.
struct StartStageCall
{
    std::uint64_t call_ = 0; ///< id of the call
    Upstream upstream_;
    std::vector<StageItem> items_;
    nanoseconds limit_{0}; ///< timeout of the call, from its start
};

/// @brief Effect: tell a stage upstream to free results that are no longer needed.
struct FreeResults
{
    Upstream upstream_;
    std::vector<std::string> handles_;
};

/// @brief Effect: close the idle connections to a stage upstream that sent an answer to another
/// call, since the one to the right call may still arrive on them.
struct CloseConnections
{
    Upstream upstream_;
};

/// @brief Effect: store a quarantine in the replicated log; one without parts is removed from it.
struct StoreQuarantine
{
    Quarantine quarantine_;
};

using SchedulerEffect = std::variant<SendToPeer, StartStageCall, FreeResults, CloseConnections,
                                     StoreQuarantine, DecisionLine>;
using SchedulerEffects = std::vector<SchedulerEffect>;

/// @brief A call in progress to a stage upstream.
struct StageCall
{
    std::string pool_; ///< pool of the upstream
    std::string upstream_; ///< name of the upstream
    std::vector<PieceId> pieces_;
    std::vector<std::uint64_t> resultBytes_; ///< result sizes, in the order of pieces_
    std::uint64_t knownBytesAtStart_ = 0; ///< knownBytes() of the upstream before the call
    Instant startedAt_{};
    nanoseconds expectedTime_{0};
};

/// @brief A model engine that requests may be assigned to.
struct EngineCandidate
{
    const Upstream *upstream_ = nullptr; ///< owned by SchedulerState::view_
    EnginePlace place_;
    const Engine *engine_ = nullptr; ///< owned by SchedulerState::engines_
};

/// @brief Complete state of a scheduler.
///
/// Sweeps iterate over the requests that are being planned. Requests that run at an engine are many
/// times more numerous and are therefore stored separately.
struct SchedulerState
{
    ViewPointer view_ = std::make_shared<const View>();
    /// Upstreams that accept new work, owned by view_, by pool name.
    std::map<std::string, std::vector<const Upstream *>> upstreamsByPool_;
    std::map<JobId, Job> jobs_; ///< requests that are being planned
    WorkIndex work_; ///< waiting pieces of jobs_
    std::map<JobId, Job> granted_; ///< requests that were assigned to an engine
    std::map<std::string, StageUpstream> stageUpstreams_; ///< by upstream name
    std::map<std::string, PendingFree> pendingFrees_; ///< by upstream name
    NoticeTable notices_; ///< stage upstreams that leave or want no calls for a while
    EngineTable engines_;
    ColdRates coldRates_; ///< recent grants of engines whose pools limit the rate of cold ones
    /// Engines by pool name; a pool that is missing here has not been needed since the last view.
    std::map<std::string, std::vector<EngineCandidate>> candidates_;
    std::map<std::string, TimeEstimate> timesToFirstToken_; ///< since the grant, by route name
    /// Actual minus expected prefill time, by the pool of the engine.
    std::map<std::string, TimeEstimate> prefillOverruns_;
    ServiceTable serviceByPriority_; ///< recent requests, as received and as served in time
    QuarantineTable quarantines_;
    std::map<std::uint64_t, StageCall> calls_; ///< calls in progress by call id
    std::uint64_t nextCallId_ = 1;
    /// When calls to a pool may next be possible, by pool name. A pool without an entry is not
    /// looked at before the next sweep.
    std::map<std::string, Instant> dispatchDueAt_;
    std::uint64_t dispatches_ = 0; ///< how often a pool was searched for calls to start
    nanoseconds lag_{0}; ///< moving average of the time that events wait until they are handled
    Instant nextSweepAt_{}; ///< when timeouts are next checked and grants retried
    Instant tookOverAt_{}; ///< when requests of another scheduler began to arrive; Instant{}: never
    Instant dispatchPausedUntil_{}; ///< no call is started before this time
};

/// @brief Processes one event.
/// @param effects receives the effects to carry out, in order
/// @since 0.2.0
void reduce(SchedulerState &state, Instant now, const SchedulerEvent &event,
            SchedulerEffects &effects);

/// @brief Returns when the next Wake event is due.
Instant nextWake(const SchedulerState &state);

} // namespace chervilspring
