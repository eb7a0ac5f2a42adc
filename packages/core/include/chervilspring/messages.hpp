/// @file
/// @brief Messages exchanged between the processes of the system, and the commands of the log.
///
/// packages/wire/schema/fleet.capnp defines the same structs with the same member names.
#pragma once

#include "chervilspring/ids.hpp"
#include "chervilspring/upstream.hpp"

#include <boost/describe.hpp>

#include <algorithm>
#include <optional>
#include <variant>

namespace chervilspring {

/// @brief State of an attempt as far as it is known.
enum class AttemptTruth : std::uint16_t {
    NeverStarted, ///< has not started and can no longer start
    Queued, ///< waits in the queue of the agent
    Started, ///< runs at the upstream
    Finished, ///< has ended; the result is known
    Unknown, ///< the agent has restarted and no longer knows the attempt
};
BOOST_DESCRIBE_ENUM(AttemptTruth, NeverStarted, Queued, Started, Finished, Unknown)

/// @brief Outcome of an attempt. NotRun: the agent refused it, or its upstream was unreachable.
enum class ResultKind : std::uint16_t { Ok, Failed, UpstreamCrashed, NotRun };
BOOST_DESCRIBE_ENUM(ResultKind, Ok, Failed, UpstreamCrashed, NotRun)

/// @brief Asks an agent to run one attempt.
struct Dispatch
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< an agent with another boot id refuses the attempt
    std::string pipeline_; ///< name of the pipeline
    std::string stageName_; ///< name of the stage
    std::string account_; ///< name of the client account
    nanoseconds remaining_{0}; ///< time left until the caller's deadline
    std::uint32_t priority_ = 5; ///< 0 runs first, 9 last
    bool idempotent_ = true; ///< the stage may run more than once
    bool stream_ = false; ///< the result is a stream of tokens
    std::uint32_t resumeOffset_ = 0; ///< number of tokens that the caller already has
    std::uint64_t contentDigest_ = 0; ///< digest of account, pipeline and body
    std::uint64_t viewVersion_ = 0; ///< version of the view that the entry decided with
    std::string body_; ///< input of the stage
    std::uint64_t bodyDigest_ = 0; ///< digest of body_
    bool isolate_ = false; ///< must run alone at the upstream: the body may crash upstreams
};
BOOST_DESCRIBE_STRUCT(Dispatch, (),
                      (id_, agentBoot_, pipeline_, stageName_, account_, remaining_, priority_,
                       idempotent_, stream_, resumeOffset_, contentDigest_, viewVersion_, body_,
                       bodyDigest_, isolate_))

/// @brief Asks an agent for the state of an attempt. After a request with revoke_ set, an attempt
/// that has not started can't start any more.
struct Inquire
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent that got the attempt
    std::uint32_t offset_ = 0; ///< number of tokens that the entry already has
    bool revoke_ = false; ///< revokes a queued attempt; an unknown one is always revoked
    nanoseconds remaining_{0}; ///< time for which the agent has to remember the revocation
};
BOOST_DESCRIBE_STRUCT(Inquire, (), (id_, agentBoot_, offset_, revoke_, remaining_))

/// @brief Cancels an attempt whose result is no longer needed.
struct Cancel
{
    AttemptId id_;
};
BOOST_DESCRIBE_STRUCT(Cancel, (), (id_))

/// @brief Load of an upstream as measured by its agent.
struct Load
{
    std::uint32_t queued_ = 0; ///< attempts that wait at the agent
    std::uint32_t running_ = 0; ///< attempts that run at the upstream
    nanoseconds serviceTime_{0}; ///< moving average of the service time of a call
    UpstreamPhase phase_ = UpstreamPhase::Announced;
    std::uint64_t viewVersion_ = 0; ///< version of the view that the agent has applied
};
BOOST_DESCRIBE_STRUCT(Load, (), (queued_, running_, serviceTime_, phase_, viewVersion_))

/// @brief Result of an attempt.
struct AttemptResult
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent that ran it
    ResultKind kind_ = ResultKind::Ok;
    std::string detail_; ///< reason of the failure; empty if kind_ is Ok
    std::string body_; ///< output of the stage; empty if it was streamed
    std::uint64_t bodyLength_ = 0; ///< bytes in body_, or in the tokens streamed by this attempt
    std::uint64_t bodyDigest_ = 0; ///< digest of the bytes that bodyLength_ counts
    std::uint32_t tokens_ = 0; ///< number of tokens of the complete stream; 0 if not streamed
    nanoseconds serviceTime_{0}; ///< duration of the call of the upstream
    Load load_; ///< load of the upstream after the attempt
};
BOOST_DESCRIBE_STRUCT(AttemptResult, (),
                      (id_, agentBoot_, kind_, detail_, body_, bodyLength_, bodyDigest_, tokens_,
                       serviceTime_, load_))

/// @brief Consecutive tokens of a running stream.
struct StreamChunk
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent that runs the attempt
    std::uint32_t offset_ = 0; ///< position of the first token in the complete stream
    std::vector<std::string> tokens_;
};
BOOST_DESCRIBE_STRUCT(StreamChunk, (), (id_, agentBoot_, offset_, tokens_))

/// @brief Answer to Inquire.
struct AttemptState
{
    AttemptId id_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the answering agent
    AttemptTruth truth_ = AttemptTruth::Unknown;
};
BOOST_DESCRIBE_STRUCT(AttemptState, (), (id_, agentBoot_, truth_))

/// @brief Keep-alive message on a connection.
struct Ping
{
    std::uint64_t sequence_ = 0; ///< repeated in the reply
    bool reply_ = false; ///< true: answer to a Ping
    Load load_; ///< set by agents only
};
BOOST_DESCRIBE_STRUCT(Ping, (), (sequence_, reply_, load_))

/// @brief Phase of an idempotency record.
///
/// Pending: the attempt may still run. Completed: the result is stored. Unknown: nobody can tell
/// whether the attempt ran, so an operator has to settle the record.
enum class RecordPhase : std::uint16_t { Pending, Completed, Unknown };
BOOST_DESCRIBE_ENUM(RecordPhase, Pending, Completed, Unknown)

/// @brief Key of an idempotency record.
struct RecordKey
{
    std::string account_; ///< name of the client account
    std::string pipeline_; ///< name of the pipeline
    std::string key_; ///< idempotency key sent by the caller
    auto operator<=>(const RecordKey &) const = default;
};
BOOST_DESCRIBE_STRUCT(RecordKey, (), (account_, pipeline_, key_))

/// @brief Idempotency record: the only attempt that may run for a key, and its result.
struct Record
{
    RecordKey key_;
    std::uint64_t bodyDigest_ = 0; ///< digest of the request body
    RecordPhase phase_ = RecordPhase::Pending;
    AttemptId attempt_; ///< the only attempt that may run
    std::string upstream_; ///< upstream of the attempt
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent that the attempt was assigned to
    WallTime created_{}; ///< leader time of the reservation
    WallTime expires_{}; ///< when a completed record is removed
    std::string body_; ///< result of the stage, once completed
};
BOOST_DESCRIBE_STRUCT(Record, (),
                      (key_, bodyDigest_, phase_, attempt_, upstream_, agentBoot_, created_,
                       expires_, body_))

/// @brief Appended by a new leader. Its commit also commits all earlier entries.
struct Noop
{
    std::uint64_t term_ = 0; ///< term of the leader
};
BOOST_DESCRIBE_STRUCT(Noop, (), (term_))

/// @brief Creates a record; committed before the record's attempt is dispatched.
struct ReserveRecord
{
    Record record_;
};
BOOST_DESCRIBE_STRUCT(ReserveRecord, (), (record_))

/// @brief Stores the result of the recorded attempt.
struct CompleteRecord
{
    RecordKey key_;
    AttemptId attempt_; ///< has to be the recorded attempt
    std::string body_; ///< result of the stage
};
BOOST_DESCRIBE_STRUCT(CompleteRecord, (), (key_, attempt_, body_))

/// @brief Replaces the attempt of a record. The old attempt has to be known never to start.
struct ReassignRecord
{
    RecordKey key_;
    AttemptId from_; ///< has to be the recorded attempt
    AttemptId to_; ///< attempt that replaces it
    std::string upstream_; ///< upstream of the new attempt
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent of the new attempt
};
BOOST_DESCRIBE_STRUCT(ReassignRecord, (), (key_, from_, to_, upstream_, agentBoot_))

/// @brief Removes a record. Its attempt has to be known never to start.
struct ReleaseRecord
{
    RecordKey key_;
    AttemptId attempt_; ///< has to be the recorded attempt
};
BOOST_DESCRIBE_STRUCT(ReleaseRecord, (), (key_, attempt_))

/// @brief Sets a record to RecordPhase::Unknown: nobody can tell whether its attempt ran.
struct MarkUnknown
{
    RecordKey key_;
    AttemptId attempt_; ///< has to be the recorded attempt
};
BOOST_DESCRIBE_STRUCT(MarkUnknown, (), (key_, attempt_))

/// @brief Decision of an operator on a record that isn't completed.
struct SettleRecord
{
    std::string operationId_; ///< a resend with the same id gets the first answer
    RecordKey key_;
    bool ran_ = false; ///< true: resends are answered with body_; false: a resend may run
    std::string body_; ///< result to answer resends with
};
BOOST_DESCRIBE_STRUCT(SettleRecord, (), (operationId_, key_, ran_, body_))

/// @brief Replaces the fleet configuration.
struct ApplyFleet
{
    std::string operationId_; ///< a resend with the same id gets the first answer
    std::uint64_t baseVersion_ = 0; ///< fleet version that the new configuration is based on
    Fleet fleet_;
};
BOOST_DESCRIBE_STRUCT(ApplyFleet, (), (operationId_, baseVersion_, fleet_))

/// @brief Replaces the fleet configuration by a document with its own version number.
///
/// The document with the highest version is in force. A document with the same version is accepted
/// only if its text is equal. One with a lower version is accepted without effect, since a newer
/// document has replaced it.
struct ApplyDocument
{
    std::uint64_t documentVersion_ = 0; ///< version number given by the operator
    std::string document_; ///< text of the document as it was sent
    Fleet fleet_; ///< configuration parsed from the document
};
BOOST_DESCRIBE_STRUCT(ApplyDocument, (), (documentVersion_, document_, fleet_))

/// @brief Sets or removes an operator label of an upstream.
struct SetLabel
{
    std::string operationId_; ///< a resend with the same id gets the first answer
    std::string upstream_; ///< name of the upstream
    std::string key_;
    std::string value_; ///< empty: the label is removed
};
BOOST_DESCRIBE_STRUCT(SetLabel, (), (operationId_, upstream_, key_, value_))

/// @brief Drains an upstream, so that it gets no new work, or ends the draining.
struct DrainUpstream
{
    std::string operationId_; ///< a resend with the same id gets the first answer
    std::string upstream_; ///< name of the upstream
    bool drained_ = true; ///< true: no new work; false: ends the draining
};
BOOST_DESCRIBE_STRUCT(DrainUpstream, (), (operationId_, upstream_, drained_))

/// @brief Registers an upstream or changes its phase.
struct AnnounceUpstream
{
    Upstream upstream_;
    bool returned_ = false; ///< it goes on after a departure, which is to be forgotten
};
BOOST_DESCRIBE_STRUCT(AnnounceUpstream, (), (upstream_, returned_))

/// @brief Removes an upstream that left or whose lease expired, unless its boot id has changed.
struct RemoveUpstream
{
    std::string name_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the upstream to remove
    /// It announced its departure: earlier starts are removed, too, and announcements of all of
    /// them are ignored.
    bool departed_ = false;
};
BOOST_DESCRIBE_STRUCT(RemoveUpstream, (), (name_, agentBoot_, departed_))

/// @brief Departure that an upstream has announced.
struct Departure
{
    std::string name_;
    std::uint64_t agentBoot_ = 0; ///< boot id that departed
};
BOOST_DESCRIBE_STRUCT(Departure, (), (name_, agentBoot_))

/// @brief Counts a crash against a request body.
struct ReportCrash
{
    std::uint64_t digest_ = 0; ///< digest of account, pipeline and body
    std::string upstream_; ///< name of the upstream that crashed
    bool alone_ = false; ///< no other request ran at the upstream when it crashed
    /// Boot id of the upstream before the crash. Reports with the same one are about the same
    /// crash. 0: not known, each report counts.
    std::uint64_t boot_ = 0;
    bool hasRunWell_ = false; ///< as in Suspect
};
BOOST_DESCRIBE_STRUCT(ReportCrash, (), (digest_, upstream_, alone_, boot_, hasRunWell_))

/// @brief Clears a suspect that ran to its end, or removes one that was followed by no further
/// crash.
struct ClearSuspect
{
    std::uint64_t digest_ = 0; ///< digest of account, pipeline and body
    /// No further crash has followed. That doesn't show that the body is sound: its crashes are
    /// counted on after the next one.
    bool lapsed_ = false;
};
BOOST_DESCRIBE_STRUCT(ClearSuspect, (), (digest_, lapsed_))

/// @brief Offers, takes or ends the trial of a request that is refused because it has crashed
/// upstreams.
struct ChangeTrial
{
    std::uint64_t digest_ = 0; ///< digest of account, pipeline and body
    TrialPhase phase_ = TrialPhase::None; ///< phase after the change
    std::string entry_; ///< name of the entry that takes or ends the trial; empty: the leader
    std::string upstream_; ///< as in Suspect::trialUpstream_
};
BOOST_DESCRIBE_STRUCT(ChangeTrial, (), (digest_, phase_, entry_, upstream_))

/// @brief Adds a quarantine, or replaces the one with the same id. Without parts, it is removed.
struct SetQuarantine
{
    Quarantine quarantine_;
};
BOOST_DESCRIBE_STRUCT(SetQuarantine, (), (quarantine_))

/// @brief Evacuates a data centre, so that its upstreams get no new work, or ends the evacuation.
struct EvacuateDataCenter
{
    std::string dataCenter_; ///< name of the data centre
    bool evacuated_ = true; ///< true: no new work; false: ends the evacuation
};
BOOST_DESCRIBE_STRUCT(EvacuateDataCenter, (), (dataCenter_, evacuated_))

/// @brief A control process as a member of the replicated log.
struct Member
{
    /// Id of its disk, created when the disk was formatted: random, or foundingId().
    std::uint64_t id_ = 0;
    std::string name_;
    bool voter_ = false; ///< false: learner
    auto operator<=>(const Member &) const = default;
};
BOOST_DESCRIBE_STRUCT(Member, (), (id_, name_, voter_))

/// @brief Replaces the member list. At most one voter differs from the previous list.
struct ChangeMembers
{
    std::vector<Member> members_;
};
BOOST_DESCRIBE_STRUCT(ChangeMembers, (), (members_))

/// @brief Command of a log entry.
using Command =
    std::variant<Noop, ReserveRecord, CompleteRecord, ReassignRecord, ReleaseRecord, MarkUnknown,
                 SettleRecord, ApplyFleet, SetLabel, DrainUpstream, AnnounceUpstream,
                 RemoveUpstream, ReportCrash, ClearSuspect, ChangeMembers, ApplyDocument,
                 SetQuarantine, EvacuateDataCenter, ChangeTrial>;

/// @brief Entry of the replicated log.
struct LogEntry
{
    std::uint64_t index_ = 0;
    std::uint64_t term_ = 0; ///< term of the leader that appended it
    WallTime time_{}; ///< leader's wall-clock time, so that all replicas apply the same time
    Command command_;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (index_, term_, time_, command_))

/// @brief Kind of the answer to a proposal.
enum class OutcomeKind : std::uint16_t {
    Accepted,
    Duplicate, ///< a record with the same key and body exists
    OtherBody, ///< a record with the same key but another body exists
    Expired, ///< the idempotency key is older than the retention
    Conflict, ///< contradicts the current state, for example by an outdated base version
    NotFound, ///< the record or upstream does not exist
    NotLeader, ///< the process is not the leader
    Unavailable, ///< the leader changed; the command may be committed nevertheless
};
BOOST_DESCRIBE_ENUM(OutcomeKind, Accepted, Duplicate, OtherBody, Expired, Conflict, NotFound,
                    NotLeader, Unavailable)

/// @brief Answer of the state machine to a command.
struct Outcome
{
    OutcomeKind kind_ = OutcomeKind::Unavailable;
    /// Log index of the command. If ApplyFleet is refused, the version of the current fleet; if
    /// ApplyDocument changes nothing, that of the view; 0 if no command was appended to the log.
    std::uint64_t version_ = 0;
    std::string detail_; ///< explanation for operators; may be empty
    std::optional<Record> record_; ///< the record after the command, if one is concerned
};
BOOST_DESCRIBE_STRUCT(Outcome, (), (kind_, version_, detail_, record_))

/// @brief Asks a control process to commit a command.
struct Propose
{
    std::uint64_t sequence_ = 0; ///< number chosen by the sender; repeated in the reply
    Command command_;
};
BOOST_DESCRIBE_STRUCT(Propose, (), (sequence_, command_))

/// @brief Answer to Propose, sent after the commit or on failure.
struct ProposeReply
{
    std::uint64_t sequence_ = 0; ///< sequence_ of the Propose
    Outcome outcome_;
    std::string leader_; ///< name of the leader to retry at on NotLeader; empty if unknown
};
BOOST_DESCRIBE_STRUCT(ProposeReply, (), (sequence_, outcome_, leader_))

/// @brief Renews the lease of an agent or entry and asks for changes of the view.
struct Heartbeat
{
    std::string node_; ///< name of the sender
    std::uint64_t viewVersion_ = 0; ///< newest version of the view that the sender has applied
    std::optional<Upstream> upstream_; ///< the announced upstream; set by agents only
    bool isEntry_ = false; ///< the sender is an entry
    std::uint32_t share_ = 0; ///< an entry's share of fleet-wide limits, in millionths
    Load load_; ///< set by agents only
    std::uint64_t fleetVersion_ = 0; ///< version of the fleet configuration in that view
    bool awaitsView_ = false; ///< the view is on its way from another process: the reply needs none
};
BOOST_DESCRIBE_STRUCT(Heartbeat, (),
                      (node_, viewVersion_, upstream_, isEntry_, share_, load_, fleetVersion_,
                       awaitsView_))

/// @brief Share that stands for a complete fleet-wide limit, in millionths.
inline constexpr std::uint32_t wholeShare = 1'000'000;

/// @brief Changes of the view between two versions, or the whole view.
struct ViewUpdate
{
    std::uint64_t fromVersion_ = 0; ///< version that the changes apply to; 0: whole view
    std::uint64_t toVersion_ = 0; ///< version of the view after the update
    std::uint64_t fleetVersion_ = 0; ///< log index of the fleet configuration
    std::optional<Fleet> fleet_; ///< fleet configuration, if it changed and isn't large
    std::vector<Upstream> upstreams_; ///< new and changed upstreams
    std::vector<std::string> removed_; ///< names of removed upstreams
    std::vector<Suspect> suspects_; ///< all suspects, replacing the previous ones
    std::vector<Quarantine> quarantines_; ///< all quarantines, replacing the previous ones
    std::vector<std::string>
        evacuated_; ///< all evacuated data centres, replacing the previous ones
    /// Digests of the blocks of a large fleet configuration, if it changed; see splitFleet().
    std::vector<std::uint64_t> fleetBlocks_;
};
BOOST_DESCRIBE_STRUCT(ViewUpdate, (),
                      (fromVersion_, toVersion_, fleetVersion_, fleet_, upstreams_, removed_,
                       suspects_, quarantines_, evacuated_, fleetBlocks_))

/// @brief Asks a control process for blocks of a large fleet configuration.
struct RequestFleetBlocks
{
    std::vector<std::uint64_t> digests_; ///< from ViewUpdate::fleetBlocks_
};
BOOST_DESCRIBE_STRUCT(RequestFleetBlocks, (), (digests_))

/// @brief Answers RequestFleetBlocks, once for each block.
struct FleetBlockReply
{
    std::uint64_t digest_ = 0; ///< digest that was asked for
    bool known_ = false; ///< false: the configuration of the sender has no such block
    Fleet part_; ///< the block, if known_
};
BOOST_DESCRIBE_STRUCT(FleetBlockReply, (), (digest_, known_, part_))

/// @brief Answer to Heartbeat.
struct HeartbeatReply
{
    std::string leader_; ///< name of the leader; empty if unknown
    nanoseconds age_{0}; ///< upper bound on the time by which the sender lags behind a quorum
    bool fresh_ = false; ///< age_ is set
    std::optional<ViewUpdate> update_; ///< changes since Heartbeat::viewVersion_, if there are any
    bool granted_ = false; ///< share_ and shareLease_ are set
    std::uint32_t share_ = 0; ///< share of each fleet-wide limit, in millionths
    nanoseconds shareLease_{0}; ///< validity of share_ from the sending of the heartbeat on
    std::vector<std::string> members_; ///< names of the control processes; empty if unknown
};
BOOST_DESCRIBE_STRUCT(HeartbeatReply, (),
                      (leader_, age_, fresh_, update_, granted_, share_, shareLease_, members_))

/// @brief Asks for a vote; with pre_ set, asks only whether the vote would be granted.
struct VoteRequest
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t term_ = 0; ///< term of the candidacy; with pre_ the term it would have
    std::uint64_t candidate_ = 0; ///< member id of the candidate
    std::uint64_t lastIndex_ = 0; ///< index of the candidate's newest entry
    std::uint64_t lastTerm_ = 0; ///< term of the candidate's newest entry
    bool pre_ = false; ///< pre-vote: changes no state of the receiver
    bool transfer_ = false; ///< the leader transfers its leadership by this election
};
BOOST_DESCRIBE_STRUCT(VoteRequest, (),
                      (group_, cluster_, term_, candidate_, lastIndex_, lastTerm_, pre_, transfer_))

/// @brief Answer to VoteRequest.
struct VoteReply
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t term_ = 0; ///< term of the voter; for a granted pre-vote that of the request
    std::uint64_t voter_ = 0; ///< member id of the sender
    bool granted_ = false;
    bool pre_ = false; ///< answers a pre-vote
};
BOOST_DESCRIBE_STRUCT(VoteReply, (), (group_, cluster_, term_, voter_, granted_, pre_))

/// @brief Sends log entries from the leader; without entries it is a heartbeat.
struct AppendRequest
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t term_ = 0; ///< term of the leader
    std::uint64_t leader_ = 0; ///< member id of the leader
    std::uint64_t previousIndex_ = 0; ///< index of the entry that precedes entries_
    std::uint64_t previousTerm_ = 0; ///< term of the entry at previousIndex_
    std::uint64_t commit_ = 0; ///< leader's commit index
    std::uint64_t round_ = 0; ///< heartbeat round; the reply confirms the leadership for this round
    std::vector<LogEntry> entries_;
};
BOOST_DESCRIBE_STRUCT(AppendRequest, (),
                      (group_, cluster_, term_, leader_, previousIndex_, previousTerm_, commit_,
                       round_, entries_))

/// @brief Answer to AppendRequest or InstallSnapshot, sent once the data is durable.
struct AppendReply
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t term_ = 0; ///< term of the sender
    std::uint64_t member_ = 0; ///< member id of the sender
    bool success_ = false; ///< the sender has all entries up to match_
    std::uint64_t match_ = 0; ///< on success the last matching index, else the index to retry after
    std::uint64_t round_ = 0; ///< round_ of the request
};
BOOST_DESCRIBE_STRUCT(AppendReply, (), (group_, cluster_, term_, member_, success_, match_, round_))

/// @brief Replicated state after applying all entries up to an index.
struct Snapshot
{
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t lastIndex_ = 0; ///< index of the last applied entry
    std::uint64_t lastTerm_ = 0; ///< term of the last applied entry
    WallTime time_{}; ///< highest leader time applied
    std::vector<Member> members_; ///< member list in force at lastIndex_
    View view_;
    std::vector<Record> records_;
    std::vector<std::string> operationIds_; ///< ids of answered operator commands, oldest first
    std::vector<Outcome> operationOutcomes_; ///< answers in the order of operationIds_
    std::uint64_t documentVersion_ = 0; ///< version of document_
    std::string document_; ///< newest accepted configuration document, as it was sent
    std::vector<Departure> departures_; ///< newest departures of upstreams, oldest first
    std::uint32_t foundingMembers_ = 0; ///< number of founding members; 0: not known
    std::vector<Suspect> formerSuspects_; ///< as in FleetState
};
BOOST_DESCRIBE_STRUCT(Snapshot, (),
                      (cluster_, lastIndex_, lastTerm_, time_, members_, view_, records_,
                       operationIds_, operationOutcomes_, documentVersion_, document_, departures_,
                       foundingMembers_, formerSuspects_))

/// @brief Sends a snapshot to a member that needs entries no longer in the leader's log.
struct InstallSnapshot
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t term_ = 0; ///< term of the leader
    std::uint64_t leader_ = 0; ///< member id of the leader
    Snapshot snapshot_;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshot, (), (group_, term_, leader_, snapshot_))

/// @brief Asks a member to start an election at once, to transfer the leadership to it.
struct TimeoutNow
{
    std::uint32_t group_ = 0; ///< reserved, 0
    std::uint64_t cluster_ = 0; ///< cluster id
    std::uint64_t term_ = 0; ///< term of the leader
};
BOOST_DESCRIBE_STRUCT(TimeoutNow, (), (group_, cluster_, term_))

/// @brief Announces a control process to others. From a process with a blank disk it is the request
/// to join.
struct Join
{
    std::uint64_t cluster_ = 0; ///< cluster id; 0: blank disk
    Member member_; ///< id and name of the sender; voter_ is not used
    std::string leader_; ///< name of the leader that the sender follows; empty if unknown
    bool stopping_ = false; ///< the sender is about to end
};
BOOST_DESCRIBE_STRUCT(Join, (), (cluster_, member_, leader_, stopping_))

/// @brief Part of a prompt that several requests may have in common.
struct PromptPart
{
    std::string id_; ///< equal for equal content
    std::uint32_t tokens_ = 0; ///< length in tokens
};
BOOST_DESCRIBE_STRUCT(PromptPart, (), (id_, tokens_))

/// @brief Result of a piece of a stage, stored at the upstream that produced it.
struct PieceResult
{
    std::uint32_t stage_ = 0; ///< index of the stage in the route
    std::uint32_t piece_ = 0; ///< index of the piece in the stage
    std::string upstream_; ///< upstream that produced and stores it
    std::string handle_; ///< name of the result at that upstream
    nanoseconds age_{0}; ///< time since it was produced
};
BOOST_DESCRIBE_STRUCT(PieceResult, (), (stage_, piece_, upstream_, handle_, age_))

/// @brief Largest number of pieces of a request, over all stages of its route.
///
/// Far above what an upstream takes: the handles of a request's results are sent in one header.
inline constexpr std::uint32_t maxPiecesPerRequest = 4096;

/// @brief Returns whether a request has more than maxPiecesPerRequest pieces.
/// @param pieceCounts number of pieces by stage, as given by the caller
/// @param stages number of stages of the route; further counts are ignored
inline bool hasTooManyPieces(const std::vector<std::uint32_t> &pieceCounts, std::size_t stages)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < std::min(stages, pieceCounts.size()); ++i)
        total += pieceCounts[i];
    return total > maxPiecesPerRequest;
}

/// @brief Asks a scheduler to run the stages of a request and to choose its model engine.
struct PlanRequest
{
    std::string id_; ///< id of the client attempt
    std::string route_; ///< name of the route
    std::string pool_; ///< pool of the model engine
    std::string account_; ///< name of the client account
    std::uint32_t priority_ = 0; ///< 0 is the highest priority
    nanoseconds untilObjective_{0}; ///< time left until the first token of the answer is due
    nanoseconds untilDeadline_{0}; ///< time left until the deadline
    std::vector<std::uint32_t> pieceCounts_; ///< number of pieces by stage; 0: the stage is skipped
    /// Key given by the caller. It is sent with the pieces of stages without predecessors.
    std::string pieceKey_;
    std::uint32_t promptTokens_ = 0; ///< length of the prompt in tokens
    std::uint32_t outputTokens_ = 0; ///< expected length of the answer in tokens
    std::vector<PromptPart> parts_; ///< parts of the prompt, in prompt order
    std::uint32_t round_ = 0; ///< number of this plan request for id_, from 1 on
    std::vector<std::string> avoid_; ///< names of upstreams that refused or failed the request
    bool remake_ = false; ///< earlier results are lost and have to be produced again
    std::vector<PieceResult> results_; ///< results that were produced for an earlier scheduler
    /// Time left until the caller gives up unless it gets an event; 0: it waits until the deadline.
    nanoseconds untilStartDeadline_{0};
    /// Stages of the route in the view of the entry. The scheduler's view may be older or newer.
    std::vector<RouteStage> stages_;
};
BOOST_DESCRIBE_STRUCT(PlanRequest, (),
                      (id_, route_, pool_, account_, priority_, untilObjective_, untilDeadline_,
                       pieceCounts_, pieceKey_, promptTokens_, outputTokens_, parts_, round_,
                       avoid_, remake_, results_, untilStartDeadline_, stages_))

/// @brief Reports finished pieces of a request, so that another scheduler can continue from them.
struct PlanProgress
{
    std::string id_; ///< id_ of the PlanRequest
    std::uint32_t round_ = 0; ///< round_ of the PlanRequest
    std::vector<PieceResult> results_; ///< results of one call, with age_ 0
};
BOOST_DESCRIBE_STRUCT(PlanProgress, (), (id_, round_, results_))

/// @brief Tells an entry to run a request now at a chosen model engine.
struct PlanGrant
{
    std::string id_; ///< id_ of the PlanRequest
    std::uint32_t round_ = 0; ///< round_ of the PlanRequest
    std::string upstream_; ///< model engine to run the request at
    std::uint64_t agentBoot_ = 0; ///< boot id of that upstream
    std::vector<std::string> inputs_; ///< handles of the results that the run needs
    bool trial_ = false; ///< the request is quarantined and admitted as a trial
};
BOOST_DESCRIBE_STRUCT(PlanGrant, (), (id_, round_, upstream_, agentBoot_, inputs_, trial_))

/// @brief Refuses a request that can't be served in time. It didn't run at a model engine.
struct PlanRefusal
{
    std::string id_; ///< id_ of the PlanRequest
    std::uint32_t round_ = 0; ///< round_ of the PlanRequest
    nanoseconds retryAfter_{0}; ///< time after which the request can probably be served
    std::string reason_; ///< one of a fixed set of words, for metrics and callers
    std::string detail_; ///< figures for the log
};
BOOST_DESCRIBE_STRUCT(PlanRefusal, (), (id_, round_, retryAfter_, reason_, detail_))

/// @brief Reports that the model engine has fetched the inputs and read the prompt of a request.
struct PlanStarted
{
    std::string id_; ///< id_ of the PlanRequest
    std::uint32_t round_ = 0; ///< round_ of the PlanRequest
};
BOOST_DESCRIBE_STRUCT(PlanStarted, (), (id_, round_))

/// @brief Reports the end of a granted or abandoned request. Its slot is released, and so are its
/// results unless moved_ is set.
struct PlanEnd
{
    std::string id_; ///< id_ of the PlanRequest
    std::uint32_t round_ = 0; ///< round_ of the PlanRequest
    bool served_ = false; ///< the caller got a complete answer that is no failure
    std::string detail_; ///< reason, for the log
    bool engineFailed_ = false; ///< the model engine aborted the run or gave no answer in time
    bool moved_ = false; ///< another scheduler continues with the results
};
BOOST_DESCRIBE_STRUCT(PlanEnd, (), (id_, round_, served_, detail_, engineFailed_, moved_))

/// @brief Reports a run that a model engine had when it crashed.
struct RunCrashed
{
    std::string id_; ///< id of the client attempt
    std::string upstream_; ///< name of the engine
    std::uint64_t agentBoot_ = 0; ///< boot id of the engine
    std::vector<PromptPart> parts_; ///< parts of the prompt, in prompt order
    nanoseconds ago_{0}; ///< time since the run ended
    nanoseconds runTime_{0}; ///< from the start of the run to its end
    bool started_ = false; ///< the run had sent its first token
};
BOOST_DESCRIBE_STRUCT(RunCrashed, (),
                      (id_, upstream_, agentBoot_, parts_, ago_, runTime_, started_))

/// @brief Message of a frame. New alternatives have to be added at the end.
using Message = std::variant<Dispatch, Inquire, Cancel, AttemptResult, StreamChunk, AttemptState,
                             Ping, Propose, ProposeReply, Heartbeat, HeartbeatReply, VoteRequest,
                             VoteReply, AppendRequest, AppendReply, InstallSnapshot, TimeoutNow,
                             Join, PlanRequest, PlanGrant, PlanRefusal, PlanStarted, PlanEnd,
                             PlanProgress, RunCrashed, RequestFleetBlocks, FleetBlockReply>;

/// @brief Combines lambdas into one visitor for std::visit.
template<typename... Ts> struct Overloaded : Ts...
{
    using Ts::operator()...;
};
template<typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace chervilspring
