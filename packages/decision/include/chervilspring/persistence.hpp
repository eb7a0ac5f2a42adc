/// @file
/// @brief Persistent state of a control process.
#pragma once

#include "chervilspring/messages.hpp"

namespace chervilspring {

/// @brief Term and vote of a member, and the cluster that they belong to. They must be durable
/// before any message that depends on them is sent.
struct HardState
{
    std::uint64_t cluster_ = 0; ///< id of the cluster; 0: not a member of any yet
    std::uint64_t term_ = 0;
    std::uint64_t vote_ = 0; ///< id of the member voted for in term_; 0: none
    bool operator==(const HardState &) const = default;
};
BOOST_DESCRIBE_STRUCT(HardState, (), (cluster_, term_, vote_))

/// @brief Changes that are made durable together by one sync.
struct PersistBatch
{
    std::uint64_t sequence_ = 0; ///< number of the batch, reported after the sync
    std::optional<HardState> hardState_;
    std::uint64_t truncateFrom_ =
        0; ///< before appending, remove the entries from this index on; 0: none
    std::vector<LogEntry> entries_; ///< entries to append
    std::optional<Snapshot> snapshot_; ///< replaces all entries up to its last index
};
BOOST_DESCRIBE_STRUCT(PersistBatch, (), (sequence_, hardState_, truncateFrom_, entries_, snapshot_))

/// @brief First state of the data folder of a founding member; see makeFounding().
struct FoundingState
{
    std::uint64_t memberId_ = 0; ///< id of the data folder and of its member
    std::optional<Snapshot> snapshot_; ///< the first voters; none: the process isn't among them
};

/// @brief Persistent state as loaded at start.
struct LoadedState
{
    /// Id of the data folder and of its member: random, unless it is a founding member.
    std::uint64_t memberId_ = 0;
    HardState hardState_;
    std::optional<Snapshot> snapshot_;
    std::vector<LogEntry> entries_; ///< entries after the snapshot
    std::uint64_t cutBytes_ = 0; ///< length of the incomplete last record that was removed
};

} // namespace chervilspring
