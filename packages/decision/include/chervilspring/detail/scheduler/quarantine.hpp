/// @file
/// @brief Finds prompt parts that crash model engines, and decides which requests are refused for
/// it.
///
/// The parts of a prompt are shared with sound requests, so one crash doesn't tell which part
/// caused it. Each part counts the crashes of the requests that have it, from zero again whenever a
/// request with it is served. A first token clears only the crashes that came before the first
/// token of their request: other ones show that the part may crash engines later. Parts that were
/// sound lately need more crashes than others. Crashes at the same moment count once, since a cause
/// outside of the requests ends several engines at a time. Parts of a request that were in exactly
/// the same crashes can't be told apart; only requests that have all of them are refused, so that
/// the next request with some of them tells more. Requests with a quarantined part that run already
/// go on: they may show that the part is sound.
#pragma once

#include "chervilspring/messages.hpp"

#include <map>
#include <set>
#include <unordered_set>

namespace chervilspring {

/// @brief Crash of a model engine that had requests.
struct EngineCrash
{
    std::string upstream_; ///< name of the engine
    std::uint64_t agentBoot_ = 0; ///< boot id of the engine
    Instant at_{}; ///< end of the run that was reported first
    std::set<std::string> requests_; ///< ids of the requests that it had
    bool explained_ = false; ///< attributed to quarantined parts
};

/// @brief A quarantine that is in force at a scheduler.
struct ActiveQuarantine
{
    Quarantine record_; ///< without parts, the quarantine is being removed from the log
    Instant trialAt_{}; ///< when the next request may be admitted as a trial; the maximum: never
    Instant trialPlannedUntil_{}; ///< until then, a request may be planned as a trial
    std::string trialRequest_; ///< id of the request that was granted as a trial last
    bool isStored_ = false; ///< the view contains record_
    bool wasStored_ = false; ///< the view has contained an earlier record_
    Instant changedAt_{}; ///< last change of record_ by this scheduler
    Instant proposeAt_{}; ///< when record_ is proposed to the log, unless it is stored
};

/// @brief Crashes that a prompt part may have caused, by number.
struct PartCrashes
{
    std::set<std::uint64_t> all_;
    std::set<std::uint64_t> afterStart_; ///< those after the first token of a request with the part
};

/// @brief Prompt parts of requests that were sound in an interval, without the parts that ended the
/// prompts: most of these belong to one request.
struct SoundParts
{
    std::unordered_set<std::string> parts_;
    std::size_t requests_ = 0; ///< number of the requests
};

/// @brief Prompt parts of requests that were sound lately.
struct SoundHistory
{
    SoundParts current_; ///< in the current interval
    SoundParts previous_; ///< in the one before
    Instant intervalEndsAt_{};
};

/// @brief Crashes and quarantines known to a scheduler.
struct QuarantineTable
{
    std::map<std::uint64_t, EngineCrash> crashes_; ///< by number, oldest first
    std::uint64_t nextCrash_ = 1; ///< number of the next crash of an engine
    std::map<std::string, PartCrashes> crashesByPart_;
    SoundHistory started_; ///< of requests that got their first token
    SoundHistory served_; ///< of requests that got their whole response
    std::vector<ActiveQuarantine> active_;
};

/// @brief How a request relates to the quarantines.
struct QuarantineMatch
{
    const Quarantine *quarantine_ = nullptr; ///< the first one that refuses the request, or nullptr
    nanoseconds untilTrial_{0}; ///< time until a request may be admitted as a trial
    bool isTrial_ = false; ///< not refused, but only as a trial
};

/// @brief Finds a quarantine all of whose parts a request has.
/// @return nullptr if there is none
const Quarantine *findQuarantine(const std::vector<Quarantine> &quarantines,
                                 const std::vector<PromptPart> &parts);

/// @brief Finds out whether a request is refused. Changes nothing.
QuarantineMatch matchQuarantines(const QuarantineTable &table, Instant now,
                                 const std::vector<PromptPart> &parts);

/// @brief Records that a request is being planned as a trial of the quarantines that it matches, so
/// that no other one becomes a trial before its deadline.
void planTrial(QuarantineTable &table, const std::vector<PromptPart> &parts, Instant deadlineAt);

/// @brief Records that a request is granted now as a trial of the quarantines that it matches. The
/// trial counts once it has crashed its engine.
void recordTrial(QuarantineTable &table, Instant now, const std::string &request,
                 const std::vector<PromptPart> &parts);

/// @brief Records a crash. May add a quarantine, or narrow one to fewer parts.
/// @return whether the quarantines changed
bool recordCrash(QuarantineTable &table, Instant now, const RunCrashed &crash);

/// @brief Records that a request got its first token: its parts crash no engine before it.
/// @return whether the quarantines changed
bool recordStart(QuarantineTable &table, Instant now, const std::vector<PromptPart> &parts);

/// @brief Records that a request was served: its parts are sound.
/// @return whether the quarantines changed
bool recordServed(QuarantineTable &table, Instant now, const std::vector<PromptPart> &parts);

/// @brief Applies the quarantines of a view. Changes that are being proposed stay in force.
void applyQuarantines(QuarantineTable &table, Instant now,
                      const std::vector<Quarantine> &quarantines);

/// @brief Returns the quarantines that have to be proposed to the log now; those without parts are
/// to be removed.
std::vector<Quarantine> takeProposals(QuarantineTable &table, Instant now);

/// @brief Returns when takeProposals() is due; the maximum: nothing has to be proposed.
Instant nextProposalAt(const QuarantineTable &table);

/// @brief Returns the ids of the parts, separated by commas.
std::string partsText(const std::vector<std::string> &parts);

} // namespace chervilspring
