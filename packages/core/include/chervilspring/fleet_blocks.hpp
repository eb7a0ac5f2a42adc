/// @file
/// @brief Large fleet configurations in blocks that are named by their content.
///
/// Two configurations that differ in a few elements have most blocks in common, so that a node
/// fetches only blocks that it doesn't have, from any process that has them.
#pragma once

#include "chervilspring/fleet.hpp"

#include <cstddef>
#include <vector>

namespace chervilspring {

/// @brief Consecutive elements of the lists of a fleet configuration. The first block of a
/// configuration also has the members that aren't lists.
struct FleetBlock
{
    std::uint64_t digest_ = 0; ///< fleetDigest() of part_
    Fleet part_;
};

/// @brief Computes a digest over all members of a configuration or of a part of one.
std::uint64_t fleetDigest(const Fleet &part);

/// @brief Splits a configuration into blocks.
///
/// The boundaries depend on the elements beside them only: an added or removed element changes the
/// block that it belongs to, and rarely the next ones.
/// @return at least one block
std::vector<FleetBlock> splitFleet(const Fleet &fleet);

/// @brief Joins the blocks of a configuration.
/// @param parts the parts of all blocks, in order
/// @return the configuration; an empty one if there are no parts
Fleet joinFleet(const std::vector<const Fleet *> &parts);

} // namespace chervilspring
