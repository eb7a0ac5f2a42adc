/// @file
/// @brief Fetches the blocks of a large fleet configuration from control processes.
///
/// A node asks one control process at a time, for a few blocks at once, and only for blocks that
/// neither its present configuration nor an earlier transfer has. Blocks are named by their
/// content, so that any process can continue what another one has begun. Until all blocks are
/// there, the present configuration stays in force.
#pragma once

#include "chervilspring/detail/node/node.hpp"

namespace chervilspring {

/// @brief Starts to fetch the configuration that an update names, if it is newer than the present
/// one and isn't being fetched already.
/// @param peer control process that sent the update
void startTransfer(NodeState &state, Instant now, const std::string &peer, const ViewUpdate &update,
                   NodeEffects &effects);

/// @brief Handles a block. Blocks that are damaged or don't belong to the configuration are
/// dropped.
/// @return true if the configuration was complete and is now part of the view
bool onFleetBlock(NodeState &state, Instant now, const std::string &peer,
                  const FleetBlockReply &reply, NodeEffects &effects);

/// @brief Asks another control process if the connection to the present source was lost.
void onSourceLost(NodeState &state, Instant now, const std::string &peer, NodeEffects &effects);

/// @brief Asks another control process if the present source has sent nothing for too long.
void continueTransfer(NodeState &state, Instant now, NodeEffects &effects);

/// @brief Returns when continueTransfer() has to be called next.
Instant nextTransferWake(const NodeState &state);

} // namespace chervilspring
