/// @file
/// @brief The replicated state machine: configuration, upstreams, idempotency records.
#pragma once

#include "chervilspring/persistence.hpp"

#include <deque>
#include <map>
#include <set>

namespace chervilspring {

/// @brief A change of the view, kept to compute incremental updates for nodes.
struct ViewChange
{
    std::uint64_t version_ = 0; ///< version of the view after the change
    /// Name of the changed or removed upstream; empty: the fleet, the
    /// suspects or the quarantines changed.
    std::string upstream_;
    bool fleetChanged_ = false; ///< the fleet configuration was replaced
};

/// @brief The state machine: the result of applying all committed log entries.
struct FleetState
{
    View view_;
    std::map<RecordKey, Record> records_;
    std::set<std::pair<WallTime, RecordKey>> expiry_; ///< completed records by expiry time
    std::map<std::string, Outcome> operations_; ///< first answer to each operator command, by id
    std::deque<std::string> operationOrder_; ///< ids in operations_, oldest first
    std::deque<ViewChange> viewChanges_; ///< limited number of newest changes, oldest first
    std::uint64_t documentVersion_ = 0; ///< version that the operator gave to document_
    std::string document_; ///< newest accepted configuration document, as it was sent
    std::deque<Departure> departures_; ///< limited number of newest departures, oldest first
    /// Limited number of suspects that were removed from the view although no run has shown them to
    /// be sound, oldest first. Further crashes are added to theirs.
    std::vector<Suspect> formerSuspects_;
    WallTime time_{}; ///< highest LogEntry::time_ applied
};

/// @brief Answers a configuration document that would not replace the current one.
/// @param state the state
/// @param version the document's version
/// @param document the document
/// @return the answer, or nothing if the document has a higher version and so has to be applied
std::optional<Outcome> answerDocument(const FleetState &state, std::uint64_t version,
                                      const std::string &document);

/// @brief Tells whether two upstreams have the same address and port.
bool sameAddress(const Upstream &left, const Upstream &right);

/// @brief Tells whether two announcements differ in nothing but their sequence.
bool sameAnnouncement(const Upstream &left, const Upstream &right);

/// @brief Tells whether a newer announcement of a direct upstream is known, or an upstream that
/// started later is registered at its address.
bool isSuperseded(const FleetState &state, const Upstream &announced);

/// @brief Tells whether a departure of a direct upstream is known that its start may belong to.
bool hasDeparted(const FleetState &state, const Upstream &announced);

/// @brief Applies one committed entry.
/// @param state the state
/// @param entry the entry; entries have to come in order
/// @return the answer to the proposer of the command
/// @since 0.1.0
Outcome apply(FleetState &state, const LogEntry &entry);

/// @brief Copies the state into a snapshot. The consensus fills in cluster, index, term and
/// members.
Snapshot makeSnapshot(const FleetState &state);

/// @brief Restores the state from a snapshot.
FleetState restoreFleetState(const Snapshot &snapshot);

/// @brief Creates the update that brings a node's view to the current version.
/// @param state the state
/// @param version version of the node's view; 0: it has none
/// @param fleetBlocks digests that replace a large fleet configuration; empty: it is sent itself
/// @return the changes since that version, or the whole view if they are no longer kept or the
/// version is higher than the current one
ViewUpdate makeUpdate(const FleetState &state, std::uint64_t version,
                      const std::vector<std::uint64_t> &fleetBlocks = {});

/// @brief Creates an update that holds the whole view.
/// @param view the view
/// @param fleetBlocks as for makeUpdate()
ViewUpdate makeFullUpdate(const View &view, const std::vector<std::uint64_t> &fleetBlocks = {});

/// @brief Reads the time of issue from an idempotency key "<unix seconds>-<unique part>".
/// @param key the key
/// @return the time of issue, or nothing if the key has another form
std::optional<WallTime> keyTime(std::string_view key);

} // namespace chervilspring
