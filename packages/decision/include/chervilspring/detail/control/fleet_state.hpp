/// @file
/// @brief The replicated state machine: configuration, upstreams, idempotency records.
#pragma once

#include "chervilspring/persistence.hpp"

#include <deque>
#include <map>
#include <set>

namespace chervilspring {

/// @brief One change of the view, kept so that nodes can be sent differences.
struct ViewChange
{
    std::uint64_t version_ = 0;
    std::string upstream_; ///< changed or removed upstream; empty: fleet or suspects
    bool fleet_ = false; ///< the fleet file changed
};

/// @brief Everything that the committed log entries add up to.
struct FleetState
{
    View view_;
    std::map<RecordKey, Record> records_;
    std::set<std::pair<WallTime, RecordKey>> expiry_; ///< completed records only
    std::map<std::string, Outcome> operations_; ///< first answer to each operation id
    std::deque<std::string> operationOrder_;
    std::deque<ViewChange> changes_; ///< oldest first, bounded
    std::uint64_t documentVersion_ = 0; ///< as the operator numbered it
    std::string document_; ///< newest accepted document, as it was sent
    std::deque<Departure> departures_; ///< oldest first, bounded
    WallTime time_{}; ///< newest leader time applied
};

/// @brief What the state says to a document before it is proposed.
/// @param state the state
/// @param version the document's version
/// @param document the document
/// @return nothing if it would replace the one held, else the answer
std::optional<Outcome> answerDocument(const FleetState &state, std::uint64_t version,
                                      const std::string &document);

/// @brief Whether an announcement changes nothing but its sequence.
bool sameAnnouncement(const Upstream &left, const Upstream &right);

/// @brief Whether an announcement of a direct upstream came too late to count.
///
/// It is older than what is known of the same name, or of another upstream at the same address, or
/// its upstream has said that it left.
bool isOutdated(const FleetState &state, const Upstream &announced);

/// @brief Applies one committed entry.
/// @param state the state
/// @param entry the entry; entries have to come in order
/// @return the answer for whoever proposed the command
/// @since 0.1.0
Outcome apply(FleetState &state, const LogEntry &entry);

/// @brief Copies the state into a snapshot, without the parts that the consensus fills in.
Snapshot makeSnapshot(const FleetState &state);

/// @brief Restores the state from a snapshot.
FleetState restoreFleetState(const Snapshot &snapshot);

/// @brief What a node at a version needs to become current.
/// @param state the state
/// @param version the node's version; 0: it has nothing
/// @return the difference, or the whole view if the node is far behind or ahead
ViewUpdate makeUpdate(const FleetState &state, std::uint64_t version);

/// @brief The whole view as an update.
ViewUpdate makeFullUpdate(const View &view);

/// @brief Time of issue in an idempotency key "<unix seconds>-<unique part>".
/// @return the time, or nothing if the key has another form
std::optional<WallTime> keyTime(std::string_view key);

} // namespace chervilspring
