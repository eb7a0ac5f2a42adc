#include "chervilspring/detail/scheduler/quarantine.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace chervilspring {

namespace {

// Moments with crashes of engines for which parts are quarantined.
constexpr std::size_t crashLimit = 3;
constexpr std::size_t unclearCrashLimit = 5; // if a part was sound lately, or has a rival
constexpr nanoseconds soundInterval = seconds(30);
constexpr std::size_t maxSoundParts = 16384; // in an interval
// Requests that have to be sound before a part that wasn't counts as unproven.
constexpr std::size_t minSoundRequests = 64;
constexpr nanoseconds sameCrashTime = seconds(1); // an engine takes longer to start
// Engines that crash within this time count as one moment: the loss of a data centre ends all of
// its engines, with parts that many requests share at several of them.
constexpr nanoseconds sameMomentTime = milliseconds(200);
constexpr std::size_t maxQuarantinedParts = 16; // of one quarantine
constexpr nanoseconds crashLifetime = minutes(10); // parts may be rare
constexpr std::size_t maxCrashes = 64;
// Pauses before the trials. After trials that crashed engines, only operators can lift a
// quarantine: each trial costs an engine and the requests that run there.
constexpr std::array<nanoseconds, 2> trialPauses = {minutes(1), minutes(10)};
constexpr nanoseconds lastRetryAfter = minutes(30); // told to callers when no trial will follow
constexpr nanoseconds proposalInterval = seconds(1);
// A scheduler whose changes are never stored has lost its control process's leadership.
constexpr nanoseconds proposalTimeout = minutes(1);

bool hasPart(const std::vector<PromptPart> &parts, const std::string &id)
{
    return std::any_of(parts.begin(), parts.end(),
                       [&](const PromptPart &part) { return part.id_ == id; });
}

bool matchesAll(const Quarantine &quarantine, const std::vector<PromptPart> &parts)
{
    return !quarantine.parts_.empty()
        && std::all_of(quarantine.parts_.begin(), quarantine.parts_.end(),
                       [&](const std::string &id) { return hasPart(parts, id); });
}

Instant nextTrialAt(const Quarantine &quarantine, Instant now)
{
    return quarantine.trials_ < trialPauses.size() ? now + trialPauses[quarantine.trials_]
                                                   : Instant::max();
}

// Marks a changed quarantine for a proposal.
void touch(ActiveQuarantine &quarantine, Instant now)
{
    quarantine.isStored_ = false;
    quarantine.changedAt_ = now;
    quarantine.proposeAt_ = now;
}

void removeCrash(QuarantineTable &table, std::uint64_t number)
{
    table.crashes_.erase(number);
    for (auto &[part, crashes] : table.crashesByPart_) {
        crashes.all_.erase(number);
        crashes.afterStart_.erase(number);
    }
    std::erase_if(table.crashesByPart_, [](const auto &item) { return item.second.all_.empty(); });
}

void removeOldCrashes(QuarantineTable &table, Instant now)
{
    while (!table.crashes_.empty()
           && (table.crashes_.size() > maxCrashes
               || now - table.crashes_.begin()->second.at_ > crashLifetime))
        removeCrash(table, table.crashes_.begin()->first);
}

// Returns the number of the crash that a report belongs to, or nothing if it was reported before.
// Other runs that the same crash ended are reported within a moment. A run that began after it
// ended with another crash: the engine has restarted, and the entry didn't know its new boot id.
std::optional<std::uint64_t> findOrAddCrash(QuarantineTable &table, Instant now,
                                            const RunCrashed &report)
{
    const Instant at = now - report.ago_;
    std::uint64_t number = 0;
    for (const auto &[known, crash] : table.crashes_) {
        if (crash.upstream_ != report.upstream_ || crash.agentBoot_ != report.agentBoot_)
            continue;
        if (crash.requests_.contains(report.id_))
            return std::nullopt;
        const bool isSame = std::max(at - crash.at_, crash.at_ - at) < sameCrashTime
            && at - report.runTime_ < crash.at_;
        if (isSame)
            number = known;
    }
    if (number == 0) {
        number = table.nextCrash_++;
        table.crashes_[number] = EngineCrash{report.upstream_, report.agentBoot_, at, {}, false};
    }
    table.crashes_[number].requests_.insert(report.id_);
    return number;
}

void addSoundParts(SoundHistory &history, Instant now, const std::vector<PromptPart> &parts)
{
    if (now >= history.intervalEndsAt_ || history.current_.parts_.size() >= maxSoundParts) {
        if (now >= history.intervalEndsAt_ + soundInterval)
            history.current_ = {};
        history.previous_ = std::exchange(history.current_, {});
        history.intervalEndsAt_ = now + soundInterval;
    }
    ++history.current_.requests_;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        history.current_.parts_.insert(parts[i].id_);
}

bool wasSoundLately(const SoundHistory &history, const std::string &part)
{
    return history.current_.parts_.contains(part) || history.previous_.parts_.contains(part);
}

// What speaks against crashes before the first token, or after it.
const SoundHistory &soundHistory(const QuarantineTable &table, bool afterStart)
{
    return afterStart ? table.served_ : table.started_;
}

// Whether a part was sound lately. Without enough sound requests to tell, each part may have been.
bool mayBeSound(const QuarantineTable &table, const std::string &part)
{
    const auto crashes = table.crashesByPart_.find(part);
    const bool afterStart =
        crashes != table.crashesByPart_.end() && !crashes->second.afterStart_.empty();
    const SoundHistory &history = soundHistory(table, afterStart);
    return history.current_.requests_ + history.previous_.requests_ < minSoundRequests
        || wasSoundLately(history, part);
}

// A part that may crash engines, and how strongly it is suspected.
struct Suspicion
{
    bool unproven_ = false; // not known to have been sound lately
    std::set<std::uint64_t> crashes_; // numbers
    auto strength() const { return std::pair(unproven_, crashes_.size()); }
};

// Returns at how many different moments the crashes happened.
std::size_t countMoments(const QuarantineTable &table, const std::set<std::uint64_t> &crashes)
{
    std::set<Instant> times;
    for (const std::uint64_t number : crashes)
        times.insert(table.crashes_.at(number).at_);
    std::size_t moments = 0;
    Instant momentEndsAt{};
    for (const Instant at : times) {
        if (moments > 0 && at < momentEndsAt)
            continue;
        ++moments;
        momentEndsAt = at + sameMomentTime;
    }
    return moments;
}

bool isCausedByOneRequest(const QuarantineTable &table, const std::set<std::uint64_t> &crashes)
{
    std::set<std::string> requests;
    for (const std::uint64_t number : crashes) {
        const EngineCrash &crash = table.crashes_.at(number);
        requests.insert(crash.requests_.begin(), crash.requests_.end());
    }
    return requests.size() == 1;
}

// Whether a part of other requests may explain the crashes as well: several requests were beginning
// at each engine. The newest crash doesn't count, as not all of its requests are reported yet.
bool hasRival(const QuarantineTable &table, const std::set<std::uint64_t> &crashes,
              const std::vector<PromptPart> &parts)
{
    const auto last = std::prev(crashes.end());
    const bool isAmbiguous = std::all_of(crashes.begin(), last, [&](std::uint64_t number) {
        return table.crashes_.at(number).requests_.size() > 1;
    });
    if (!isAmbiguous)
        return false;
    return std::any_of(
        table.crashesByPart_.begin(), table.crashesByPart_.end(), [&](const auto &item) {
            const auto &[part, partCrashes] = item;
            const auto &numbers = partCrashes.all_;
            return std::includes(numbers.begin(), numbers.end(), crashes.begin(), last)
                && !hasPart(parts, part) && !mayBeSound(table, part);
        });
}

// Returns the strongest suspicion against a part of a request that is enough for a quarantine.
std::optional<Suspicion> strongestSuspicion(const QuarantineTable &table,
                                            const std::vector<PromptPart> &parts)
{
    std::optional<Suspicion> strongest;
    for (const PromptPart &part : parts) {
        const auto found = table.crashesByPart_.find(part.id_);
        if (found == table.crashesByPart_.end())
            continue;
        const Suspicion suspicion{!mayBeSound(table, part.id_), found->second.all_};
        const auto &crashes = suspicion.crashes_;
        const bool isClear = suspicion.unproven_ && !hasRival(table, crashes, parts);
        if (countMoments(table, crashes) < (isClear ? crashLimit : unclearCrashLimit)
            || isCausedByOneRequest(table, crashes))
            continue;
        if (!strongest || suspicion.strength() > strongest->strength())
            strongest = suspicion;
    }
    return strongest;
}

// Attributes crashes to quarantined parts, so that they don't count against other ones.
void explainCrashes(QuarantineTable &table, const std::set<std::uint64_t> &crashes,
                    const std::vector<std::string> &parts)
{
    for (const std::uint64_t number : crashes)
        table.crashes_.at(number).explained_ = true;
    const auto isExplained = [&](std::uint64_t item) { return crashes.contains(item); };
    for (auto &[part, partCrashes] : table.crashesByPart_) {
        if (std::find(parts.begin(), parts.end(), part) != parts.end())
            continue;
        std::erase_if(partCrashes.all_, isExplained);
        std::erase_if(partCrashes.afterStart_, isExplained);
    }
    std::erase_if(table.crashesByPart_, [](const auto &item) { return item.second.all_.empty(); });
}

// Quarantines parts, or narrows a quarantine that contains all of them.
void addQuarantine(QuarantineTable &table, Instant now, const std::vector<std::string> &parts,
                   std::size_t crashes, bool afterStart)
{
    const std::uint64_t id = contentDigest(partsText(parts));
    const auto known = std::find_if(
        table.active_.begin(), table.active_.end(), [&](const ActiveQuarantine &active) {
            const auto &wider = active.record_.parts_;
            return active.record_.id_ == id
                || std::includes(wider.begin(), wider.end(), parts.begin(), parts.end());
        });
    const bool isNew = known == table.active_.end();
    ActiveQuarantine &active = isNew ? table.active_.emplace_back() : *known;
    if (isNew)
        active.record_.id_ = id;
    active.record_.parts_ = parts;
    active.record_.crashes_ = static_cast<std::uint32_t>(crashes);
    active.record_.afterStart_ = active.record_.afterStart_ || afterStart;
    active.trialAt_ = nextTrialAt(active.record_, now);
    touch(active, now);
}

// Narrows a quarantine to the parts that a request which crashed its engine has, too. Its record
// counts, also if another scheduler has made it.
bool narrowQuarantine(QuarantineTable &table, Instant now, std::uint64_t number,
                      const RunCrashed &crash)
{
    for (ActiveQuarantine &active : table.active_) {
        std::vector<std::string> shared;
        for (const std::string &part : active.record_.parts_) {
            if (hasPart(crash.parts_, part)
                && !wasSoundLately(soundHistory(table, crash.started_), part))
                shared.push_back(part);
        }
        if (shared.empty())
            continue;
        explainCrashes(table, {number}, shared);
        active.record_.parts_ = shared;
        ++active.record_.crashes_;
        active.record_.afterStart_ = active.record_.afterStart_ || crash.started_;
        touch(active, now);
        return true;
    }
    return false;
}

// Removes sound parts from the quarantines: from all of them if a request with the parts was
// served, else from those of engines that crash before the first token. Returns whether one
// changed.
bool clearSoundParts(QuarantineTable &table, Instant now, const std::vector<PromptPart> &parts,
                     bool served)
{
    bool changed = false;
    for (ActiveQuarantine &active : table.active_) {
        if (active.record_.afterStart_ && !served)
            continue;
        const std::size_t removed = std::erase_if(
            active.record_.parts_, [&](const std::string &id) { return hasPart(parts, id); });
        if (removed == 0)
            continue;
        changed = true;
        touch(active, now);
    }
    return changed;
}

} // namespace

const Quarantine *findQuarantine(const std::vector<Quarantine> &quarantines,
                                 const std::vector<PromptPart> &parts)
{
    const auto found =
        std::find_if(quarantines.begin(), quarantines.end(),
                     [&](const Quarantine &item) { return matchesAll(item, parts); });
    return found == quarantines.end() ? nullptr : &*found;
}

QuarantineMatch matchQuarantines(const QuarantineTable &table, Instant now,
                                 const std::vector<PromptPart> &parts)
{
    QuarantineMatch match;
    for (const ActiveQuarantine &active : table.active_) {
        if (!matchesAll(active.record_, parts))
            continue;
        match.isTrial_ = true;
        if (now >= std::max(active.trialAt_, active.trialPlannedUntil_))
            continue;
        match.quarantine_ = &active.record_;
        match.untilTrial_ = active.trialAt_ == Instant::max()
            ? lastRetryAfter
            : std::max(active.trialAt_, active.trialPlannedUntil_) - now;
        match.isTrial_ = false;
        return match;
    }
    return match;
}

void planTrial(QuarantineTable &table, const std::vector<PromptPart> &parts, Instant deadlineAt)
{
    for (ActiveQuarantine &active : table.active_) {
        if (matchesAll(active.record_, parts))
            active.trialPlannedUntil_ = deadlineAt;
    }
}

void recordTrial(QuarantineTable &table, Instant now, const std::string &request,
                 const std::vector<PromptPart> &parts)
{
    for (ActiveQuarantine &active : table.active_) {
        if (!matchesAll(active.record_, parts))
            continue;
        active.trialRequest_ = request;
        active.trialPlannedUntil_ = Instant{};
        active.trialAt_ = nextTrialAt(active.record_, now);
    }
}

bool recordCrash(QuarantineTable &table, Instant now, const RunCrashed &crash)
{
    removeOldCrashes(table, now);
    const auto reported = findOrAddCrash(table, now, crash);
    if (!reported)
        return false;
    const std::uint64_t number = *reported;
    const auto known =
        std::find_if(table.active_.begin(), table.active_.end(), [&](const ActiveQuarantine &item) {
            return matchesAll(item.record_, crash.parts_);
        });
    if (known != table.active_.end()) {
        explainCrashes(table, {number}, known->record_.parts_);
        ++known->record_.crashes_;
        const bool isFirstAfterStart = crash.started_ && !known->record_.afterStart_;
        if (isFirstAfterStart) {
            known->record_.afterStart_ = true;
            touch(*known, now);
        }
        if (known->trialRequest_ != crash.id_)
            return isFirstAfterStart;
        known->trialRequest_.clear();
        ++known->record_.trials_;
        known->trialAt_ = nextTrialAt(known->record_, now);
        touch(*known, now);
        return true;
    }
    if (table.crashes_.at(number).explained_)
        return false;
    if (narrowQuarantine(table, now, number, crash))
        return true;
    for (const PromptPart &part : crash.parts_) {
        PartCrashes &crashes = table.crashesByPart_[part.id_];
        crashes.all_.insert(number);
        if (crash.started_)
            crashes.afterStart_.insert(number);
    }
    const auto suspicion = strongestSuspicion(table, crash.parts_);
    if (!suspicion)
        return false;
    std::vector<std::string> parts;
    bool afterStart = false;
    for (const PromptPart &part : crash.parts_) {
        const bool unproven = !mayBeSound(table, part.id_);
        const PartCrashes &crashes = table.crashesByPart_.at(part.id_);
        if (crashes.all_ != suspicion->crashes_ || unproven != suspicion->unproven_
            || parts.size() == maxQuarantinedParts)
            continue;
        parts.push_back(part.id_);
        afterStart = afterStart || !crashes.afterStart_.empty();
    }
    std::sort(parts.begin(), parts.end());
    explainCrashes(table, suspicion->crashes_, parts);
    addQuarantine(table, now, parts, suspicion->crashes_.size(), afterStart);
    return true;
}

bool recordStart(QuarantineTable &table, Instant now, const std::vector<PromptPart> &parts)
{
    addSoundParts(table.started_, now, parts);
    for (const PromptPart &part : parts) {
        const auto found = table.crashesByPart_.find(part.id_);
        if (found == table.crashesByPart_.end())
            continue;
        found->second.all_ = found->second.afterStart_;
        if (found->second.all_.empty())
            table.crashesByPart_.erase(found);
    }
    return clearSoundParts(table, now, parts, false);
}

bool recordServed(QuarantineTable &table, Instant now, const std::vector<PromptPart> &parts)
{
    addSoundParts(table.served_, now, parts);
    for (const PromptPart &part : parts)
        table.crashesByPart_.erase(part.id_);
    return clearSoundParts(table, now, parts, true);
}

void applyQuarantines(QuarantineTable &table, Instant now,
                      const std::vector<Quarantine> &quarantines)
{
    std::erase_if(table.active_, [&](const ActiveQuarantine &active) {
        const bool isListed =
            std::any_of(quarantines.begin(), quarantines.end(),
                        [&](const Quarantine &item) { return item.id_ == active.record_.id_; });
        return !isListed
            && (active.isStored_ || active.wasStored_ || active.record_.parts_.empty());
    });
    for (const Quarantine &quarantine : quarantines) {
        const auto known =
            std::find_if(table.active_.begin(), table.active_.end(),
                         [&](const auto &active) { return active.record_.id_ == quarantine.id_; });
        if (known == table.active_.end()) {
            ActiveQuarantine &active = table.active_.emplace_back();
            active.record_ = quarantine;
            active.trialAt_ = nextTrialAt(quarantine, now);
            active.isStored_ = active.wasStored_ = true;
            continue;
        }
        known->wasStored_ = true;
        if (known->record_ == quarantine)
            known->isStored_ = true;
        if (!known->isStored_)
            continue;
        if (known->record_.trials_ != quarantine.trials_)
            known->trialAt_ = nextTrialAt(quarantine, now);
        known->record_ = quarantine;
    }
}

std::vector<Quarantine> takeProposals(QuarantineTable &table, Instant now)
{
    std::vector<Quarantine> proposals;
    std::erase_if(table.active_, [&](const ActiveQuarantine &active) {
        return !active.isStored_ && !active.wasStored_ && now - active.changedAt_ > proposalTimeout;
    });
    for (ActiveQuarantine &active : table.active_) {
        if (now - active.changedAt_ > proposalTimeout)
            active.isStored_ = true; // the stored record replaces the change with the next view
        if (active.isStored_ || now < active.proposeAt_)
            continue;
        active.proposeAt_ = now + proposalInterval;
        proposals.push_back(active.record_);
    }
    return proposals;
}

Instant nextProposalAt(const QuarantineTable &table)
{
    Instant next = Instant::max();
    for (const ActiveQuarantine &active : table.active_) {
        if (!active.isStored_)
            next = std::min(next, active.proposeAt_);
    }
    return next;
}

std::string partsText(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : ",") + part;
    return text;
}

} // namespace chervilspring
