/// @file
/// @brief Simulated group of control processes: reducers with in-memory network and disks.
#pragma once

#include "chervilspring/detail/control/control.hpp"
#include "chervilspring/detail/control/membership.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

namespace chervilspring {

/// @brief In-memory disk that separates durable data from batches that are not synced yet.
struct MemoryDisk
{
    LoadedState synced_; ///< survives a crash
    std::deque<PersistBatch> unsynced_; ///< lost in a crash, oldest first
};

/// @brief Writes a batch to the durable data of a disk.
inline void applyBatch(LoadedState &disk, const PersistBatch &batch)
{
    if (batch.hardState_)
        disk.hardState_ = *batch.hardState_;
    auto &entries = disk.entries_;
    while (batch.truncateFrom_ > 0 && !entries.empty()
           && entries.back().index_ >= batch.truncateFrom_)
        entries.pop_back();
    entries.insert(entries.end(), batch.entries_.begin(), batch.entries_.end());
    if (!batch.snapshot_)
        return;
    disk.snapshot_ = batch.snapshot_;
    std::erase_if(entries, [&](const LogEntry &entry) {
        return entry.index_ <= batch.snapshot_->lastIndex_;
    });
}

/// @brief One simulated control process.
struct GroupMember
{
    std::string name_;
    MemoryDisk disk_;
    ControlState state_;
    bool up_ = true; ///< false: crashed
};

/// @brief A message that is in flight.
struct GroupMessage
{
    std::string from_;
    std::string to_;
    Message message_;
};

/// @brief Several control processes and the messages in flight between them.
///
/// After each event it checks that a term has one leader and that committed entries agree.
class ControlGroup
{
public:
    ControlGroup(int size, std::uint64_t seed, std::uint32_t snapshotEntries = 24,
                 std::size_t snapshotBytes = ConsensusSettings{}.snapshotBytes_)
        : random_(seed), snapshotEntries_(snapshotEntries), snapshotBytes_(snapshotBytes)
    {
        for (int i = 1; i <= size; ++i)
            names_.push_back("c" + std::to_string(i));
        for (const std::string &name : names_) {
            members_[name].name_ = name;
            members_[name].disk_.synced_.memberId_ = nextMemberId_++;
            boot(name);
        }
    }

    /// @brief Returns a pseudo-random number below a bound.
    std::uint64_t randomBelow(std::uint64_t bound) { return random_() % bound; }
    const std::vector<std::string> &names() const { return names_; }
    GroupMember &member(const std::string &name) { return members_.at(name); }
    /// @brief Returns the messages in flight.
    std::vector<GroupMessage> &messages() { return messages_; }
    Instant now() const { return now_; }

    /// @brief Starts a process from the durable data of its disk.
    void boot(const std::string &name)
    {
        GroupMember &member = members_.at(name);
        ControlSettings settings;
        settings.consensus_.self_ = Member{member.disk_.synced_.memberId_, name, false};
        settings.consensus_.controlNames_ = seeds_.empty() ? names_ : seeds_.at(name);
        settings.consensus_.openMembership_ = !seeds_.empty();
        settings.consensus_.snapshotEntries_ = snapshotEntries_;
        settings.consensus_.snapshotBytes_ = snapshotBytes_;
        settings.consensus_.replaceAfter_ = milliseconds(seeds_.empty() ? 8000 : 1500);
        settings.consensus_.seed_ = random_();
        settings.consensus_.newCluster_ = random_() | 1;
        member.disk_.unsynced_.clear();
        member.state_ = makeControl(settings, member.disk_.synced_, now_);
        member.up_ = true;
    }

    /// @brief Restarts all processes with open membership. Call it first, while disks are blank.
    /// The seeds are founding members.
    /// @param seeds names of the control processes listed in the settings of every process
    void restartWithSeeds(const std::vector<std::string> &seeds)
    {
        messages_.clear();
        for (const std::string &name : names_) {
            seeds_[name] = seeds;
            const FoundingState founding = makeFounding(name, seeds);
            LoadedState &disk = members_.at(name).disk_.synced_;
            disk.memberId_ = founding.memberId_;
            disk.snapshot_ = founding.snapshot_;
            if (founding.snapshot_)
                disk.hardState_.cluster_ = founding.snapshot_->cluster_;
            boot(name);
        }
    }

    /// @brief Starts an additional process with a blank disk.
    /// @param seeds names of the control processes listed in its settings
    void addProcess(const std::string &name, const std::vector<std::string> &seeds)
    {
        names_.push_back(name);
        seeds_[name] = seeds;
        members_[name].name_ = name;
        members_[name].disk_.synced_.memberId_ = nextMemberId_++;
        boot(name);
    }

    /// @brief Stops a process without notice: its unsynced batches and incoming messages are lost.
    void crash(const std::string &name)
    {
        members_.at(name).up_ = false;
        members_.at(name).disk_.unsynced_.clear();
        std::erase_if(messages_, [&](const GroupMessage &m) { return m.to_ == name; });
    }

    /// @brief Starts a process with other seeds than before.
    void boot(const std::string &name, const std::vector<std::string> &seeds)
    {
        seeds_[name] = seeds;
        boot(name);
    }

    /// @brief Asks a process to stop, and ends it as soon as it is ready to.
    void stop(const std::string &name)
    {
        stopped_.erase(name);
        handle(name, StopRequested{});
        BOOST_TEST(runUntil(seconds(5), [&] { return stopped_.contains(name); }));
        crash(name);
    }

    /// @brief Stops a process and replaces its disk by a blank one.
    void replaceDisk(const std::string &name)
    {
        crash(name);
        members_.at(name).disk_ = MemoryDisk{};
        members_.at(name).disk_.synced_.memberId_ = nextMemberId_++;
    }

    /// @brief Passes an event to a running process, collects its effects and checks invariants.
    void handle(const std::string &name, const ControlEvent &event)
    {
        GroupMember &member = members_.at(name);
        if (!member.up_ || frozen_.contains(name))
            return;
        ControlEffects effects;
        reduce(member.state_, now_, wall(), event, effects);
        for (ControlEffect &effect : effects) {
            if (onEffect_)
                onEffect_(effect);
            executeEffect(member, effect);
        }
        check(member);
    }

    /// @brief Completes the sync of the oldest unsynced batch of a process.
    void syncOldest(const std::string &name)
    {
        GroupMember &member = members_.at(name);
        if (!member.up_ || frozen_.contains(name) || stalledDisks_.contains(name)
            || member.disk_.unsynced_.empty())
            return;
        const PersistBatch batch = member.disk_.unsynced_.front();
        member.disk_.unsynced_.pop_front();
        applyBatch(member.disk_.synced_, batch);
        handle(name, BatchSynced{batch.sequence_});
    }

    /// @brief Delivers a message in flight. Messages to a frozen process stay in flight.
    /// @param index position in messages()
    void deliver(std::size_t index)
    {
        const GroupMessage message = messages_[index];
        if (frozen_.contains(message.to_))
            return;
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        if (cutLinks_.contains({message.from_, message.to_}))
            return;
        handle(message.to_, PeerMessage{message.from_, message.message_});
    }

    /// @brief Advances the clock and wakes all processes.
    void advance(milliseconds time)
    {
        now_ += time;
        for (const std::string &name : names_) {
            if (!frozen_.contains(name))
                handle(name, Wake{});
        }
    }

    /// @brief Lets time pass while all messages are delivered and all batches synced in order.
    void run(milliseconds time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            for (int i = 0; i < 2000 && step(); ++i) { }
            advance(milliseconds(50));
        }
    }

    /// @brief Lets time pass like run() until a condition holds after a single event.
    /// @return false if the condition has not held in this time
    bool runUntil(milliseconds time, const std::function<bool()> &condition)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            for (int i = 0; i < 2000; ++i) {
                if (condition())
                    return true;
                if (!step())
                    break;
            }
            advance(milliseconds(50));
        }
        return condition();
    }

    /// @brief Proposes a command to the first running process that is leader.
    /// @return token of the proposal, 0 if there is no leader
    std::uint64_t propose(const Command &command)
    {
        for (const std::string &name : names_) {
            GroupMember &member = members_.at(name);
            if (!member.up_ || member.state_.consensus_.role_ != MemberRole::Leader)
                continue;
            const std::uint64_t token = nextToken_++;
            handle(name, LocalProposal{token, command});
            return token;
        }
        return 0;
    }

    /// @brief Drops all messages from one process to another until healAll is called.
    void cut(const std::string &from, const std::string &to) { cutLinks_.insert({from, to}); }
    /// @brief Restores all links and resumes all frozen processes.
    void healAll()
    {
        cutLinks_.clear();
        frozen_.clear();
    }
    /// @brief Suspends a process: it handles no events and syncs nothing until thaw is called.
    void freeze(const std::string &name) { frozen_.insert(name); }
    /// @brief Makes the disk of a process sync nothing, like a full one, until it is resumed.
    void stallDisk(const std::string &name) { stalledDisks_.insert(name); }
    /// @brief Lets the disk of a process sync again.
    void resumeDisk(const std::string &name) { stalledDisks_.erase(name); }
    /// @brief Resumes a frozen process.
    void thaw(const std::string &name) { frozen_.erase(name); }

    /// @brief Returns the name of the running leader with the highest term, empty if there is none.
    std::string leader() const
    {
        std::string found;
        std::uint64_t term = 0;
        for (const auto &[name, member] : members_) {
            const ConsensusState &state = member.state_.consensus_;
            if (!member.up_ || state.role_ != MemberRole::Leader || state.hardState_.term_ < term)
                continue;
            found = name;
            term = state.hardState_.term_;
        }
        return found;
    }

    /// @brief Returns the names of the voters according to the leader, sorted. There must be one.
    std::vector<std::string> voterNames()
    {
        std::vector<std::string> names;
        for (const Member &item : members(member(leader()).state_.consensus_)) {
            if (item.voter_)
                names.push_back(item.name_);
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    std::map<std::uint64_t, Outcome> answers_; ///< outcomes of proposals by token
    std::map<std::uint64_t, std::string> answerLeaders_; ///< AnswerProposal::leader_ by token
    std::map<std::uint64_t, bool> readResults_; ///< AnswerRead::ok_ by token
    std::set<std::string> stopped_; ///< processes that have asked to be ended
    std::function<void(const ControlEffect &)> onEffect_; ///< called with each effect, if set

private:
    WallTime wall() const
    {
        return WallTime(std::chrono::floor<milliseconds>(now_.time_since_epoch()));
    }

    // Syncs one batch of each process and delivers one message. Returns false if idle.
    bool step()
    {
        bool busy = false;
        for (const std::string &name : names_) {
            if (!members_.at(name).disk_.unsynced_.empty() && !frozen_.contains(name)
                && !stalledDisks_.contains(name)) {
                syncOldest(name);
                busy = true;
            }
        }
        for (std::size_t i = 0; i < messages_.size(); ++i) {
            if (frozen_.contains(messages_[i].to_))
                continue;
            deliver(i);
            return true;
        }
        return busy;
    }

    void executeEffect(GroupMember &member, ControlEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (members_.contains(send->peer_))
                messages_.push_back(GroupMessage{member.name_, send->peer_, send->message_});
        } else if (auto *batch = std::get_if<PersistBatch>(&effect)) {
            member.disk_.unsynced_.push_back(*batch);
        } else if (auto *answer = std::get_if<AnswerProposal>(&effect)) {
            answers_[answer->token_] = answer->outcome_;
            answerLeaders_[answer->token_] = answer->leader_;
        } else if (auto *read = std::get_if<AnswerRead>(&effect)) {
            readResults_[read->token_] = read->ok_;
        } else if (std::holds_alternative<StopNow>(effect)) {
            stopped_.insert(member.name_);
            const ControlState &state = member.state_;
            BOOST_TEST(state.waiters_.empty(), member.name_ << " ends with unanswered proposals");
            BOOST_TEST(state.consensus_.pendingReads_.empty(),
                       member.name_ << " ends with unanswered reads");
        }
    }

    // Checks that no other process leads in the same term and that newly committed entries have the
    // term that any process committed at their index before.
    void check(const GroupMember &member)
    {
        const ConsensusState &state = member.state_.consensus_;
        if (state.role_ == MemberRole::Leader) {
            auto &leader = leadersByTerm_[state.hardState_.term_];
            BOOST_REQUIRE_MESSAGE(leader.empty() || leader == member.name_,
                                  "two leaders in term " << state.hardState_.term_);
            leader = member.name_;
        }
        std::uint64_t &checked = checkedIndexes_[member.name_];
        if (checked < state.baseIndex_ || checked > state.commitIndex_)
            checked = state.baseIndex_;
        for (; checked < state.commitIndex_; ++checked) {
            const LogEntry &entry = state.log_[checked - state.baseIndex_];
            const auto [known, isNew] = committedTerms_.emplace(entry.index_, entry.term_);
            BOOST_REQUIRE_MESSAGE(known->second == entry.term_,
                                  member.name_ << " committed another entry at " << entry.index_);
        }
    }

    std::mt19937_64 random_;
    std::uint32_t snapshotEntries_;
    std::size_t snapshotBytes_;
    std::map<std::string, std::vector<std::string>> seeds_; ///< by process; empty: fixed membership
    std::vector<std::string> names_;
    std::map<std::string, GroupMember> members_;
    std::vector<GroupMessage> messages_;
    std::set<std::pair<std::string, std::string>> cutLinks_; ///< sender and recipient
    std::set<std::string> frozen_;
    std::set<std::string> stalledDisks_; ///< processes whose disks sync nothing
    Instant now_ = Instant(seconds(1000));
    std::uint64_t nextMemberId_ = 101;
    std::uint64_t nextToken_ = 1;
    std::map<std::uint64_t, std::string> leadersByTerm_;
    std::map<std::uint64_t, std::uint64_t> committedTerms_; ///< by log index
    std::map<std::string, std::uint64_t> checkedIndexes_; ///< last checked index by process
};

/// @brief Creates a pending record with an idempotency key.
inline Record testRecord(const std::string &key)
{
    Record record;
    record.key_ = RecordKey{"account", "pipeline", key};
    record.attempt_ = AttemptId{RequestId{"e1", 1, 1}, 0, 0};
    return record;
}

} // namespace chervilspring
