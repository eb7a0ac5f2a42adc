/// @file
/// @brief Control reducers joined by a message bag and disks in memory, for seeded sessions.
#pragma once

#include "chervilspring/detail/control/control.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

namespace chervilspring {

/// @brief A disk that keeps what was synced.
struct MemoryDisk
{
    LoadedState synced_;
    std::deque<PersistBatch> unsynced_;
};

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

/// @brief One control process of the session.
struct GroupMember
{
    std::string name_;
    MemoryDisk disk_;
    ControlState state_;
    bool up_ = true;
};

struct GroupMessage
{
    std::string from_;
    std::string to_;
    Message message_;
};

/// @brief Several control processes, their messages on the way and the checks after each step.
class ControlGroup
{
public:
    ControlGroup(int size, std::uint64_t seed, std::uint32_t snapshotEntries = 24)
        : random_(seed), snapshotEntries_(snapshotEntries)
    {
        for (int i = 1; i <= size; ++i)
            names_.push_back("c" + std::to_string(i));
        for (const std::string &name : names_) {
            members_[name].name_ = name;
            members_[name].disk_.synced_.memberId_ = nextMemberId_++;
            boot(name);
        }
    }

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    const std::vector<std::string> &names() const { return names_; }
    GroupMember &member(const std::string &name) { return members_.at(name); }
    std::vector<GroupMessage> &messages() { return messages_; }
    Instant now() const { return now_; }

    void boot(const std::string &name)
    {
        GroupMember &member = members_.at(name);
        ControlSettings settings;
        settings.consensus_.self_ = Member{member.disk_.synced_.memberId_, name, false};
        settings.consensus_.controlNames_ = seeds_.empty() ? names_ : seeds_.at(name);
        settings.consensus_.openMembership_ = !seeds_.empty();
        settings.consensus_.mayFound_ = !founded_;
        settings.consensus_.snapshotEntries_ = snapshotEntries_;
        settings.consensus_.replaceAfter_ = milliseconds(seeds_.empty() ? 8000 : 1500);
        settings.consensus_.seed_ = random_();
        settings.consensus_.newCluster_ = random_() | 1;
        member.disk_.unsynced_.clear();
        member.state_ = makeControl(settings, member.disk_.synced_, now_);
        member.up_ = true;
    }

    /// @brief Starts all processes anew, with blank disks, knowing only some of them.
    void openWithSeeds(const std::vector<std::string> &seeds)
    {
        messages_.clear();
        for (const std::string &name : names_)
            seeds_[name] = seeds;
        for (const std::string &name : names_)
            boot(name);
        founded_ = true;
    }

    /// @brief A further process starts with a blank disk.
    void add(const std::string &name, const std::vector<std::string> &seeds)
    {
        names_.push_back(name);
        seeds_[name] = seeds;
        members_[name].name_ = name;
        members_[name].disk_.synced_.memberId_ = nextMemberId_++;
        boot(name);
    }

    /// @brief The process dies; what was not synced is lost.
    void crash(const std::string &name)
    {
        members_.at(name).up_ = false;
        members_.at(name).disk_.unsynced_.clear();
        std::erase_if(messages_, [&](const GroupMessage &m) { return m.to_ == name; });
    }

    /// @brief The disk is replaced by a blank one.
    void blankDisk(const std::string &name)
    {
        crash(name);
        members_.at(name).disk_ = MemoryDisk{};
        members_.at(name).disk_.synced_.memberId_ = nextMemberId_++;
    }

    void handle(const std::string &name, const ControlEvent &event)
    {
        GroupMember &member = members_.at(name);
        if (!member.up_ || frozen_.contains(name))
            return;
        ControlEffects effects;
        reduce(member.state_, now_, wall(), event, effects);
        for (ControlEffect &effect : effects)
            carryOut(member, effect);
        check(member);
    }

    void syncOldest(const std::string &name)
    {
        GroupMember &member = members_.at(name);
        if (!member.up_ || frozen_.contains(name) || member.disk_.unsynced_.empty())
            return;
        const PersistBatch batch = member.disk_.unsynced_.front();
        member.disk_.unsynced_.pop_front();
        applyBatch(member.disk_.synced_, batch);
        handle(name, BatchSynced{batch.sequence_});
    }

    void deliver(std::size_t index)
    {
        const GroupMessage message = messages_[index];
        if (frozen_.contains(message.to_))
            return; // waits in the frozen process's socket
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        if (cut_.contains({message.from_, message.to_}))
            return;
        handle(message.to_, PeerMessage{message.from_, message.message_});
    }

    void advance(milliseconds time)
    {
        now_ += time;
        for (const std::string &name : names_) {
            if (!frozen_.contains(name))
                handle(name, Wake{});
        }
    }

    /// @brief Everything is delivered and synced, in order, for a while.
    void settle(milliseconds time)
    {
        const Instant end = now_ + time;
        while (now_ < end) {
            for (int i = 0; i < 2000 && step(); ++i) { }
            advance(milliseconds(50));
        }
    }

    /// @brief A command at whoever leads.
    /// @return the token, 0 if nobody leads
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

    /// @brief Messages from one process to another are lost from now on.
    void cut(const std::string &from, const std::string &to) { cut_.insert({from, to}); }
    void healAll()
    {
        cut_.clear();
        frozen_.clear();
    }
    void freeze(const std::string &name) { frozen_.insert(name); }
    void thaw(const std::string &name) { frozen_.erase(name); }

    std::string leader() const
    {
        std::string found;
        std::uint64_t term = 0;
        for (const auto &[name, member] : members_) {
            const ConsensusState &state = member.state_.consensus_;
            if (!member.up_ || state.role_ != MemberRole::Leader || state.hard_.term_ < term)
                continue;
            found = name;
            term = state.hard_.term_;
        }
        return found;
    }

    std::map<std::uint64_t, Outcome> answers_; ///< by token
    std::map<std::uint64_t, bool> reads_; ///< by token

private:
    WallTime wall() const
    {
        return WallTime(std::chrono::floor<milliseconds>(now_.time_since_epoch()));
    }

    bool step()
    {
        bool busy = false;
        for (const std::string &name : names_) {
            if (!members_.at(name).disk_.unsynced_.empty() && !frozen_.contains(name)) {
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

    void carryOut(GroupMember &member, ControlEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (members_.contains(send->peer_))
                messages_.push_back(GroupMessage{member.name_, send->peer_, send->message_});
        } else if (auto *batch = std::get_if<PersistBatch>(&effect)) {
            member.disk_.unsynced_.push_back(*batch);
        } else if (auto *answer = std::get_if<AnswerProposal>(&effect)) {
            answers_[answer->token_] = answer->outcome_;
        } else if (auto *read = std::get_if<AnswerRead>(&effect)) {
            reads_[read->token_] = read->ok_;
        }
    }

    // One leader a term; whatever is committed at an index stays the same everywhere.
    void check(const GroupMember &member)
    {
        const ConsensusState &state = member.state_.consensus_;
        if (state.role_ == MemberRole::Leader) {
            auto &leader = leaders_[state.hard_.term_];
            BOOST_REQUIRE_MESSAGE(leader.empty() || leader == member.name_,
                                  "two leaders in term " << state.hard_.term_);
            leader = member.name_;
        }
        std::uint64_t &seen = checked_[member.name_];
        if (seen < state.baseIndex_ || seen > state.commit_)
            seen = state.baseIndex_;
        for (; seen < state.commit_; ++seen) {
            const LogEntry &entry = state.log_[seen - state.baseIndex_];
            const auto [known, fresh] = committed_.emplace(entry.index_, entry.term_);
            BOOST_REQUIRE_MESSAGE(known->second == entry.term_,
                                  member.name_ << " committed another entry at " << entry.index_);
        }
    }

    std::mt19937_64 random_;
    std::uint32_t snapshotEntries_;
    std::map<std::string, std::vector<std::string>> seeds_; ///< by process; empty: all are named
    bool founded_ = false; ///< processes that start now may only join
    std::vector<std::string> names_;
    std::map<std::string, GroupMember> members_;
    std::vector<GroupMessage> messages_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::set<std::string> frozen_;
    Instant now_ = Instant(seconds(1000));
    std::uint64_t nextMemberId_ = 101;
    std::uint64_t nextToken_ = 1;
    std::map<std::uint64_t, std::string> leaders_;
    std::map<std::uint64_t, std::uint64_t> committed_;
    std::map<std::string, std::uint64_t> checked_;
};

inline Record testRecord(const std::string &key)
{
    Record record;
    record.key_ = RecordKey{"account", "pipeline", key};
    record.attempt_ = AttemptId{RequestId{"e1", 1, 1}, 0, 0};
    return record;
}

} // namespace chervilspring
