#include "chervilspring/detail/node/fleet_transfer.hpp"

#include "chervilspring/fleet_blocks.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Blocks that are on their way at a time. They delay other messages and the traffic of callers on a
// thin link by no more than their size.
constexpr std::size_t maxRequestedBlocks = 4;
constexpr nanoseconds sourceTimeout = milliseconds(1500);

bool isActive(const FleetTransfer &transfer)
{
    return transfer.fleetVersion_ != 0;
}

bool isNeeded(const FleetTransfer &transfer, std::uint64_t digest)
{
    return std::find(transfer.digests_.begin(), transfer.digests_.end(), digest)
        != transfer.digests_.end();
}

void logBlock(const NodeState &state, const std::string &peer, std::uint64_t digest,
              const std::string &outcome, NodeEffects &effects)
{
    effects.push_back(DecisionLine{"decision=fleet_block node=" + state.settings_.name_
                                   + " from=" + peer + " digest=" + std::to_string(digest)
                                   + " outcome=" + outcome});
}

// Asks the source for further blocks, once half of the former ones have arrived.
void requestBlocks(NodeState &state, NodeEffects &effects)
{
    FleetTransfer &transfer = state.transfer_;
    if (transfer.requested_.size() > maxRequestedBlocks / 2)
        return;
    RequestFleetBlocks request;
    for (const std::uint64_t digest : transfer.digests_) {
        if (transfer.requested_.size() >= maxRequestedBlocks)
            break;
        if (transfer.parts_.contains(digest) || !transfer.requested_.insert(digest).second)
            continue;
        request.digests_.push_back(digest);
    }
    if (!request.digests_.empty())
        effects.push_back(SendToPeer{transfer.source_, std::move(request)});
}

// Continues with another control process: the leader, if it is known.
void changeSource(NodeState &state, Instant now, NodeEffects &effects)
{
    FleetTransfer &transfer = state.transfer_;
    const auto &names = state.settings_.controlNames_;
    const auto found = std::find(names.begin(), names.end(), transfer.source_);
    const std::size_t index = static_cast<std::size_t>(found - names.begin());
    const bool isLeaderNext = !state.leader_.empty() && state.leader_ != transfer.source_;
    transfer.source_ = isLeaderNext ? state.leader_ : names[(index + 1) % names.size()];
    transfer.requested_.clear();
    transfer.progressAt_ = now;
    requestBlocks(state, effects);
}

// Puts the configuration in force. The rest of the view is the newest one already.
void finishTransfer(NodeState &state, NodeEffects &effects)
{
    const FleetTransfer transfer = std::exchange(state.transfer_, FleetTransfer{});
    std::vector<const Fleet *> parts;
    for (const std::uint64_t digest : transfer.digests_)
        parts.push_back(&transfer.parts_.at(digest));
    auto newer = std::make_shared<View>(*state.view_);
    newer->fleet_ = joinFleet(parts);
    newer->fleetVersion_ = transfer.fleetVersion_;
    effects.push_back(DecisionLine{
        "decision=view node=" + state.settings_.name_ + " version="
        + std::to_string(newer->version_) + " fleet_version=" + std::to_string(newer->fleetVersion_)
        + " blocks=" + std::to_string(parts.size()) + " from=" + transfer.source_});
    state.view_ = std::move(newer);
}

bool isComplete(const FleetTransfer &transfer)
{
    return std::all_of(transfer.digests_.begin(), transfer.digests_.end(),
                       [&](std::uint64_t digest) { return transfer.parts_.contains(digest); });
}

} // namespace

void startTransfer(NodeState &state, Instant now, const std::string &peer, const ViewUpdate &update,
                   NodeEffects &effects)
{
    FleetTransfer &transfer = state.transfer_;
    if (transfer.fleetVersion_ <= state.view_->fleetVersion_)
        transfer = FleetTransfer{};
    const std::uint64_t known = std::max(state.view_->fleetVersion_, transfer.fleetVersion_);
    if (update.fleetBlocks_.empty() || update.fleetVersion_ <= known)
        return;
    // Blocks of the present configuration and of a transfer that didn't end may be needed again.
    std::map<std::uint64_t, Fleet> present = std::move(transfer.parts_);
    if (state.view_->fleetVersion_ != 0) {
        for (FleetBlock &block : splitFleet(state.view_->fleet_))
            present.emplace(block.digest_, std::move(block.part_));
    }
    transfer = FleetTransfer{update.fleetVersion_, update.fleetBlocks_, {}, {}, peer, now};
    for (const std::uint64_t digest : transfer.digests_) {
        if (auto part = present.extract(digest))
            transfer.parts_.insert(std::move(part));
    }
    effects.push_back(DecisionLine{"decision=fleet_transfer node=" + state.settings_.name_
                                   + " fleet_version=" + std::to_string(transfer.fleetVersion_)
                                   + " blocks=" + std::to_string(transfer.digests_.size())
                                   + " present=" + std::to_string(transfer.parts_.size())
                                   + " from=" + peer});
    if (isComplete(transfer))
        finishTransfer(state, effects);
    else
        requestBlocks(state, effects);
}

bool onFleetBlock(NodeState &state, Instant now, const std::string &peer,
                  const FleetBlockReply &reply, NodeEffects &effects)
{
    FleetTransfer &transfer = state.transfer_;
    if (!isNeeded(transfer, reply.digest_) || transfer.parts_.contains(reply.digest_)) {
        logBlock(state, peer, reply.digest_, "not_needed", effects);
        return false;
    }
    const bool isDamaged = reply.known_ && fleetDigest(reply.part_) != reply.digest_;
    if (!reply.known_ || isDamaged) {
        logBlock(state, peer, reply.digest_, isDamaged ? "damaged" : "unknown", effects);
        state.heartbeatAt_ = now; // the reply names the blocks of the newest configuration
        const bool isBehind = !state.leader_.empty() && state.leader_ != peer;
        if (isBehind && peer == transfer.source_)
            changeSource(state, now, effects);
        return false;
    }
    transfer.parts_.emplace(reply.digest_, reply.part_);
    transfer.requested_.erase(reply.digest_);
    transfer.progressAt_ = now;
    if (isComplete(transfer)) {
        finishTransfer(state, effects);
        return true;
    }
    requestBlocks(state, effects);
    return false;
}

void onSourceLost(NodeState &state, Instant now, const std::string &peer, NodeEffects &effects)
{
    if (isActive(state.transfer_) && peer == state.transfer_.source_)
        changeSource(state, now, effects);
}

void continueTransfer(NodeState &state, Instant now, NodeEffects &effects)
{
    if (isActive(state.transfer_) && now - state.transfer_.progressAt_ >= sourceTimeout)
        changeSource(state, now, effects);
}

Instant nextTransferWake(const NodeState &state)
{
    return isActive(state.transfer_) ? state.transfer_.progressAt_ + sourceTimeout : Instant::max();
}

} // namespace chervilspring
