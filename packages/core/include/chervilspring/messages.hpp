/// @file
/// @brief Every message that processes of the system exchange.
///
/// packages/wire/schema/fleet.capnp holds the same structs with the same member names.
#pragma once

#include "chervilspring/ids.hpp"
#include "chervilspring/upstream.hpp"

#include <boost/describe.hpp>

#include <optional>
#include <variant>

namespace chervilspring {

/// @brief What is known about an attempt.
enum class AttemptTruth : std::uint16_t {
    NeverStarted, ///< did not start and never will
    Queued, ///< waits at the agent
    Started, ///< runs at the upstream
    Finished, ///< the result is known
    Unknown, ///< the agent that could tell has lost its memory
};
BOOST_DESCRIBE_ENUM(AttemptTruth, NeverStarted, Queued, Started, Finished, Unknown)

/// @brief How an attempt ended.
enum class ResultKind : std::uint16_t { Ok, Failed, UpstreamCrashed, NotRun };
BOOST_DESCRIBE_ENUM(ResultKind, Ok, Failed, UpstreamCrashed, NotRun)

/// @brief Asks an agent to run one attempt.
struct Dispatch
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< boot that may run it; any other refuses
    std::string pipeline_;
    std::string stageName_;
    std::string account_;
    nanoseconds remaining_{0}; ///< time left until the caller's deadline
    std::uint32_t priority_ = 5;
    bool idempotent_ = true;
    bool stream_ = false;
    std::uint32_t resumeOffset_ = 0; ///< tokens that the caller already has
    std::uint64_t contentDigest_ = 0; ///< of account, pipeline and the caller's body
    std::uint64_t viewVersion_ = 0; ///< version under which the entry decided
    std::string body_;
    std::uint64_t bodyDigest_ = 0;
    bool isolate_ = false; ///< suspected of a crash: runs alone at its upstream
};
BOOST_DESCRIBE_STRUCT(Dispatch, (),
                      (id_, agentBoot_, pipeline_, stageName_, account_, remaining_, priority_,
                       idempotent_, stream_, resumeOffset_, contentDigest_, viewVersion_, body_,
                       bodyDigest_, isolate_))

/// @brief Asks what became of an attempt; with revoke_ also forbids it to start.
struct Inquire
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0;
    std::uint32_t offset_ = 0; ///< tokens that the entry already has
    bool revoke_ = false;
    nanoseconds remaining_{0}; ///< how long a tombstone has to be kept
};
BOOST_DESCRIBE_STRUCT(Inquire, (), (id_, agentBoot_, offset_, revoke_, remaining_))

/// @brief Stops an attempt whose result is no longer wanted.
struct Cancel
{
    AttemptId id_;
};
BOOST_DESCRIBE_STRUCT(Cancel, (), (id_))

/// @brief Load of an upstream as its agent sees it.
struct Load
{
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    nanoseconds serviceTime_{0}; ///< moving mean of one call
    UpstreamPhase phase_ = UpstreamPhase::Announced;
    std::uint64_t viewVersion_ = 0; ///< version that the agent has applied
};
BOOST_DESCRIBE_STRUCT(Load, (), (queued_, running_, serviceTime_, phase_, viewVersion_))

/// @brief The end of an attempt.
struct AttemptResult
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0;
    ResultKind kind_ = ResultKind::Ok;
    std::string detail_; ///< reason, unless kind_ is Ok
    std::string body_;
    std::uint64_t bodyLength_ = 0;
    std::uint64_t bodyDigest_ = 0;
    std::uint32_t tokens_ = 0; ///< tokens of the whole stream; 0 if not streamed
    nanoseconds serviceTime_{0};
    Load load_;
};
BOOST_DESCRIBE_STRUCT(AttemptResult, (),
                      (id_, agentBoot_, kind_, detail_, body_, bodyLength_, bodyDigest_, tokens_,
                       serviceTime_, load_))

/// @brief Tokens of a running stream.
struct StreamChunk
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0;
    std::uint32_t offset_ = 0; ///< index of the first token in the whole stream
    std::vector<std::string> tokens_;
};
BOOST_DESCRIBE_STRUCT(StreamChunk, (), (id_, agentBoot_, offset_, tokens_))

/// @brief Answer to Inquire.
struct AttemptState
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0;
    AttemptTruth truth_ = AttemptTruth::Unknown;
};
BOOST_DESCRIBE_STRUCT(AttemptState, (), (id_, agentBoot_, truth_))

/// @brief Proof of life on one connection.
struct Ping
{
    std::uint64_t sequence_ = 0;
    bool reply_ = false;
    Load load_; ///< filled by agents
};
BOOST_DESCRIBE_STRUCT(Ping, (), (sequence_, reply_, load_))

/// @brief Where an idempotency record stands.
enum class RecordPhase : std::uint16_t { Pending, Completed, Unknown };
BOOST_DESCRIBE_ENUM(RecordPhase, Pending, Completed, Unknown)

/// @brief Names a record: one booking of one account.
struct RecordKey
{
    std::string account_;
    std::string pipeline_;
    std::string key_;
    auto operator<=>(const RecordKey &) const = default;
};
BOOST_DESCRIBE_STRUCT(RecordKey, (), (account_, pipeline_, key_))

/// @brief The one attempt that a record allows, and its result.
struct Record
{
    RecordKey key_;
    std::uint64_t bodyDigest_ = 0;
    RecordPhase phase_ = RecordPhase::Pending;
    AttemptId attempt_;
    std::string upstream_;
    std::uint64_t agentBoot_ = 0;
    WallTime created_{};
    WallTime expires_{};
    std::string body_; ///< result of the stage once completed
};
BOOST_DESCRIBE_STRUCT(Record, (),
                      (key_, bodyDigest_, phase_, attempt_, upstream_, agentBoot_, created_,
                       expires_, body_))

/// @brief Committed by a new leader to learn what is committed.
struct Noop
{
    std::uint64_t term_ = 0;
};
BOOST_DESCRIBE_STRUCT(Noop, (), (term_))

/// @brief Creates a record before its only attempt is dispatched.
struct ReserveRecord
{
    Record record_;
};
BOOST_DESCRIBE_STRUCT(ReserveRecord, (), (record_))

/// @brief Stores the result of the recorded attempt.
struct CompleteRecord
{
    RecordKey key_;
    AttemptId attempt_;
    std::string body_;
};
BOOST_DESCRIBE_STRUCT(CompleteRecord, (), (key_, attempt_, body_))

/// @brief Replaces a recorded attempt that is known never to have started.
struct ReassignRecord
{
    RecordKey key_;
    AttemptId from_;
    AttemptId to_;
    std::string upstream_;
    std::uint64_t agentBoot_ = 0;
};
BOOST_DESCRIBE_STRUCT(ReassignRecord, (), (key_, from_, to_, upstream_, agentBoot_))

/// @brief Removes the record of an attempt that is known never to have started.
struct ReleaseRecord
{
    RecordKey key_;
    AttemptId attempt_;
};
BOOST_DESCRIBE_STRUCT(ReleaseRecord, (), (key_, attempt_))

/// @brief Marks that nobody can tell whether the recorded attempt ran.
struct MarkUnknown
{
    RecordKey key_;
    AttemptId attempt_;
};
BOOST_DESCRIBE_STRUCT(MarkUnknown, (), (key_, attempt_))

/// @brief An operator's verdict on a record whose outcome is unknown.
struct SettleRecord
{
    std::string operationId_;
    RecordKey key_;
    bool ran_ = false; ///< true: answer resends with body_; false: a resend may run
    std::string body_;
};
BOOST_DESCRIBE_STRUCT(SettleRecord, (), (operationId_, key_, ran_, body_))

/// @brief Replaces the fleet configuration.
struct ApplyFleet
{
    std::string operationId_; ///< a resend with the same id gets the first answer
    std::uint64_t baseVersion_ = 0; ///< fleet version that the change was made from
    Fleet fleet_;
};
BOOST_DESCRIBE_STRUCT(ApplyFleet, (), (operationId_, baseVersion_, fleet_))

/// @brief Replaces the configuration by a document that carries a version of its own.
///
/// The highest version wins. A document of the version held is accepted again only if it is equal,
/// and one of a lower version is accepted without effect: a later one has replaced it.
struct ApplyDocument
{
    std::uint64_t documentVersion_ = 0;
    std::string document_; ///< as the operator sent it
    Fleet fleet_; ///< what the document means
};
BOOST_DESCRIBE_STRUCT(ApplyDocument, (), (documentVersion_, document_, fleet_))

/// @brief Sets or removes a label of an upstream.
struct SetLabel
{
    std::string operationId_;
    std::string upstream_;
    std::string key_;
    std::string value_; ///< empty: remove
};
BOOST_DESCRIBE_STRUCT(SetLabel, (), (operationId_, upstream_, key_, value_))

/// @brief Asks an upstream to leave, or takes that back.
struct DrainUpstream
{
    std::string operationId_;
    std::string upstream_;
    bool drained_ = true;
};
BOOST_DESCRIBE_STRUCT(DrainUpstream, (), (operationId_, upstream_, drained_))

/// @brief Registers an upstream or changes its phase.
struct AnnounceUpstream
{
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(AnnounceUpstream, (), (upstream_))

/// @brief Forgets an upstream whose lease ran out. A newer boot id stays.
struct RemoveUpstream
{
    std::string name_;
    std::uint64_t agentBoot_ = 0;
    bool departed_ = false; ///< it said so itself: late announcements of this boot are ignored
};
BOOST_DESCRIBE_STRUCT(RemoveUpstream, (), (name_, agentBoot_, departed_))

/// @brief An upstream that said that it left.
struct Departure
{
    std::string name_;
    std::uint64_t agentBoot_ = 0;
};
BOOST_DESCRIBE_STRUCT(Departure, (), (name_, agentBoot_))

/// @brief Counts a crash against a request body.
struct ReportCrash
{
    std::uint64_t digest_ = 0;
    std::string upstream_;
    bool alone_ = false; ///< nothing else ran at the upstream: the culprit is known
};
BOOST_DESCRIBE_STRUCT(ReportCrash, (), (digest_, upstream_, alone_))

/// @brief Clears a suspect that ran alone to its end.
struct ClearSuspect
{
    std::uint64_t digest_ = 0;
};
BOOST_DESCRIBE_STRUCT(ClearSuspect, (), (digest_))

/// @brief A control process as a member of the replicated log.
struct Member
{
    std::uint64_t id_ = 0; ///< minted when its disk was formatted
    std::string name_;
    bool voter_ = false;
    auto operator<=>(const Member &) const = default;
};
BOOST_DESCRIBE_STRUCT(Member, (), (id_, name_, voter_))

/// @brief Replaces the member list; differs from the one before by one voter at most.
struct ChangeMembers
{
    std::vector<Member> members_;
};
BOOST_DESCRIBE_STRUCT(ChangeMembers, (), (members_))

/// @brief Everything that can stand in the replicated log.
using Command =
    std::variant<Noop, ReserveRecord, CompleteRecord, ReassignRecord, ReleaseRecord, MarkUnknown,
                 SettleRecord, ApplyFleet, SetLabel, DrainUpstream, AnnounceUpstream,
                 RemoveUpstream, ReportCrash, ClearSuspect, ChangeMembers, ApplyDocument>;

/// @brief One position of the replicated log.
struct LogEntry
{
    std::uint64_t index_ = 0;
    std::uint64_t term_ = 0;
    WallTime time_{}; ///< leader's clock, so that every replica sees the same time
    Command command_;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (index_, term_, time_, command_))

/// @brief How a proposal ended.
enum class OutcomeKind : std::uint16_t {
    Accepted,
    Duplicate, ///< the record exists with the same body
    OtherBody, ///< the record exists with another body
    Expired, ///< the key is older than the retention
    Conflict, ///< made from a version that is no longer the newest
    NotFound,
    NotLeader,
    Unavailable,
};
BOOST_DESCRIBE_ENUM(OutcomeKind, Accepted, Duplicate, OtherBody, Expired, Conflict, NotFound,
                    NotLeader, Unavailable)

/// @brief What the state machine answered to a command.
struct Outcome
{
    OutcomeKind kind_ = OutcomeKind::Unavailable;
    std::uint64_t version_ = 0; ///< log position, or the newest version on a conflict
    std::string detail_;
    std::optional<Record> record_; ///< the record that stands after the command
};
BOOST_DESCRIBE_STRUCT(Outcome, (), (kind_, version_, detail_, record_))

/// @brief Asks a control process to commit a command.
struct Propose
{
    std::uint64_t sequence_ = 0; ///< chosen by the sender, returned in the reply
    Command command_;
};
BOOST_DESCRIBE_STRUCT(Propose, (), (sequence_, command_))

/// @brief Answer to Propose, after the commit.
struct ProposeReply
{
    std::uint64_t sequence_ = 0;
    Outcome outcome_;
    std::string leader_; ///< where to go, if kind_ is NotLeader
};
BOOST_DESCRIBE_STRUCT(ProposeReply, (), (sequence_, outcome_, leader_))

/// @brief Renews a node's lease and asks for what changed.
struct Heartbeat
{
    std::string node_;
    std::uint64_t viewVersion_ = 0; ///< newest version that the node has applied
    std::optional<Upstream> upstream_; ///< filled by agents
    bool isEntry_ = false;
    std::uint32_t share_ = 0; ///< share of fleet-wide limits that the entry holds, in millionths
    Load load_; ///< filled by agents
};
BOOST_DESCRIBE_STRUCT(Heartbeat, (), (node_, viewVersion_, upstream_, isEntry_, share_, load_))

/// @brief The whole of a fleet-wide limit, in the unit of shares.
inline constexpr std::uint32_t wholeShare = 1'000'000;

/// @brief Changes of the view since a version.
struct ViewUpdate
{
    std::uint64_t fromVersion_ = 0; ///< 0: whole view
    std::uint64_t toVersion_ = 0;
    std::uint64_t fleetVersion_ = 0;
    std::optional<Fleet> fleet_;
    std::vector<Upstream> upstreams_;
    std::vector<std::string> removed_;
    std::vector<Suspect> suspects_;
};
BOOST_DESCRIBE_STRUCT(ViewUpdate, (),
                      (fromVersion_, toVersion_, fleetVersion_, fleet_, upstreams_, removed_,
                       suspects_))

/// @brief Answer to Heartbeat.
struct HeartbeatReply
{
    std::string leader_; ///< empty if unknown
    nanoseconds age_{0}; ///< upper bound on how far the sender lags behind a quorum
    bool fresh_ = false; ///< age_ is known
    std::optional<ViewUpdate> update_;
    bool granted_ = false; ///< share_ and shareLease_ are set
    std::uint32_t share_ = 0; ///< millionths of each fleet-wide limit
    nanoseconds shareLease_{0}; ///< counted from the sending of the heartbeat
    std::vector<std::string> members_; ///< control processes in force; empty if unknown
};
BOOST_DESCRIBE_STRUCT(HeartbeatReply, (),
                      (leader_, age_, fresh_, update_, granted_, share_, shareLease_, members_))

/// @brief Asks for a vote, or with pre_ whether one would be given.
struct VoteRequest
{
    std::uint32_t group_ = 0;
    std::uint64_t cluster_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t candidate_ = 0;
    std::uint64_t lastIndex_ = 0;
    std::uint64_t lastTerm_ = 0;
    bool pre_ = false;
    bool transfer_ = false; ///< the leader asked for this election
};
BOOST_DESCRIBE_STRUCT(VoteRequest, (),
                      (group_, cluster_, term_, candidate_, lastIndex_, lastTerm_, pre_, transfer_))

/// @brief Answer to VoteRequest.
struct VoteReply
{
    std::uint32_t group_ = 0;
    std::uint64_t cluster_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t voter_ = 0;
    bool granted_ = false;
    bool pre_ = false;
};
BOOST_DESCRIBE_STRUCT(VoteReply, (), (group_, cluster_, term_, voter_, granted_, pre_))

/// @brief Entries of the log, or none as a heartbeat.
struct AppendRequest
{
    std::uint32_t group_ = 0;
    std::uint64_t cluster_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t leader_ = 0;
    std::uint64_t previousIndex_ = 0;
    std::uint64_t previousTerm_ = 0;
    std::uint64_t commit_ = 0;
    std::uint64_t round_ = 0; ///< read round; a reply confirms the leadership at that round
    std::vector<LogEntry> entries_;
};
BOOST_DESCRIBE_STRUCT(AppendRequest, (),
                      (group_, cluster_, term_, leader_, previousIndex_, previousTerm_, commit_,
                       round_, entries_))

/// @brief Answer to AppendRequest, after the sync.
struct AppendReply
{
    std::uint32_t group_ = 0;
    std::uint64_t cluster_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t member_ = 0;
    bool success_ = false;
    std::uint64_t match_ = 0; ///< on success the last stored index, else a hint where to go on
    std::uint64_t round_ = 0;
};
BOOST_DESCRIBE_STRUCT(AppendReply, (), (group_, cluster_, term_, member_, success_, match_, round_))

/// @brief The replicated state up to an index.
struct Snapshot
{
    std::uint64_t cluster_ = 0;
    std::uint64_t lastIndex_ = 0;
    std::uint64_t lastTerm_ = 0;
    WallTime time_{}; ///< newest leader time applied
    std::vector<Member> members_;
    View view_;
    std::vector<Record> records_;
    std::vector<std::string> operationIds_; ///< oldest first, paired with operationOutcomes_
    std::vector<Outcome> operationOutcomes_;
    std::uint64_t documentVersion_ = 0;
    std::string document_;
    std::vector<Departure> departures_; ///< oldest first
};
BOOST_DESCRIBE_STRUCT(Snapshot, (),
                      (cluster_, lastIndex_, lastTerm_, time_, members_, view_, records_,
                       operationIds_, operationOutcomes_, documentVersion_, document_, departures_))

/// @brief Brings a member that is too far behind up to date.
struct InstallSnapshot
{
    std::uint32_t group_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t leader_ = 0;
    Snapshot snapshot_;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshot, (), (group_, term_, leader_, snapshot_))

/// @brief Asks a member to start an election at once.
struct TimeoutNow
{
    std::uint32_t group_ = 0;
    std::uint64_t cluster_ = 0;
    std::uint64_t term_ = 0;
};
BOOST_DESCRIBE_STRUCT(TimeoutNow, (), (group_, cluster_, term_))

/// @brief A control process tells the others who it is; a blank disk asks to join this way.
struct Join
{
    std::uint64_t cluster_ = 0; ///< 0: blank disk
    Member member_;
    std::string leader_; ///< name of the leader that the sender follows, empty if none
};
BOOST_DESCRIBE_STRUCT(Join, (), (cluster_, member_, leader_))

/// @brief A part of a prompt that requests share.
struct PromptPart
{
    std::string id_;
    std::uint32_t tokens_ = 0;
};
BOOST_DESCRIBE_STRUCT(PromptPart, (), (id_, tokens_))

/// @brief A result of a stage that lies at its maker.
struct PieceResult
{
    std::uint32_t stage_ = 0;
    std::uint32_t piece_ = 0;
    std::string upstream_; ///< its maker
    std::string handle_;
    nanoseconds age_{0}; ///< since it was made
};
BOOST_DESCRIBE_STRUCT(PieceResult, (), (stage_, piece_, upstream_, handle_, age_))

/// @brief Asks a scheduler to have a request's stages done and to choose its model engine.
struct PlanRequest
{
    std::string id_; ///< of the client attempt
    std::string route_;
    std::string pool_; ///< of the model engine
    std::string account_;
    std::uint32_t priority_ = 0; ///< 0 is first
    nanoseconds untilObjective_{0};
    nanoseconds untilDeadline_{0};
    std::vector<std::uint32_t> pieceCounts_; ///< by stage; 0: the stage is left out
    std::string pieceKey_;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t outputTokens_ = 0; ///< expected
    std::vector<PromptPart> parts_; ///< in prompt order
    std::uint32_t round_ = 0; ///< counts how often this entry asked for the request
    std::vector<std::string> avoid_; ///< upstreams that refused or failed it
    bool remake_ = false; ///< the results handed out before are gone
    std::vector<PieceResult> results_; ///< that a scheduler before this one had made
};
BOOST_DESCRIBE_STRUCT(PlanRequest, (),
                      (id_, route_, pool_, account_, priority_, untilObjective_, untilDeadline_,
                       pieceCounts_, pieceKey_, promptTokens_, outputTokens_, parts_, round_,
                       avoid_, remake_, results_))

/// @brief Pieces of the request have been made. Whoever plans it next goes on from them.
struct PlanProgress
{
    std::string id_;
    std::uint32_t round_ = 0;
    std::vector<PieceResult> results_; ///< of one call, age zero
};
BOOST_DESCRIBE_STRUCT(PlanProgress, (), (id_, round_, results_))

/// @brief The request may run now, at this upstream, with these inputs.
struct PlanGrant
{
    std::string id_;
    std::uint32_t round_ = 0;
    std::string upstream_;
    std::uint64_t agentBoot_ = 0;
    std::vector<std::string> inputs_; ///< handles of the results that the run needs
};
BOOST_DESCRIBE_STRUCT(PlanGrant, (), (id_, round_, upstream_, agentBoot_, inputs_))

/// @brief The request can't be served in time; nothing of it ran at a model engine.
struct PlanRefusal
{
    std::string id_;
    std::uint32_t round_ = 0;
    nanoseconds retryAfter_{0}; ///< when it probably can be served
    std::string reason_; ///< one word of a small set, for metrics and callers
    std::string detail_; ///< figures for the log
};
BOOST_DESCRIBE_STRUCT(PlanRefusal, (), (id_, round_, retryAfter_, reason_, detail_))

/// @brief The model engine has fetched the inputs and read the prompt of a granted request.
struct PlanStarted
{
    std::string id_;
    std::uint32_t round_ = 0;
};
BOOST_DESCRIBE_STRUCT(PlanStarted, (), (id_, round_))

/// @brief A granted or given up request is over: its results and its place are free.
struct PlanEnd
{
    std::string id_;
    std::uint32_t round_ = 0;
    bool served_ = false;
    std::string detail_;
    bool engineFailed_ = false; ///< the model engine broke off, or gave no answer in time
    bool moved_ = false; ///< another scheduler goes on with its results
};
BOOST_DESCRIBE_STRUCT(PlanEnd, (), (id_, round_, served_, detail_, engineFailed_, moved_))

/// @brief Everything that can stand in a frame. New alternatives go at the end.
using Message =
    std::variant<Dispatch, Inquire, Cancel, AttemptResult, StreamChunk, AttemptState, Ping, Propose,
                 ProposeReply, Heartbeat, HeartbeatReply, VoteRequest, VoteReply, AppendRequest,
                 AppendReply, InstallSnapshot, TimeoutNow, Join, PlanRequest, PlanGrant,
                 PlanRefusal, PlanStarted, PlanEnd, PlanProgress>;

/// @brief Helper to build a visitor from lambdas.
template<typename... Ts> struct Overloaded : Ts...
{
    using Ts::operator()...;
};
template<typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace chervilspring
