#include "chervilspring/detail/node/node.hpp"

#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/node/fleet_transfer.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds heartbeatInterval = seconds(1);
// Heartbeat interval until the node has a view and, as an entry, a share.
constexpr nanoseconds startupHeartbeatInterval = milliseconds(100);
// Heartbeat interval while no leader is known.
constexpr nanoseconds leaderSearchInterval = milliseconds(100);
// How long a node does not accept a leader named by other processes after its connection to that
// leader broke. The others name the leader until they notice the loss.
constexpr nanoseconds lostLeaderGrace = seconds(1);
// A leader that leaves a heartbeat unanswered for longer is no longer presumed to lead.
constexpr nanoseconds heartbeatTimeout = milliseconds(1500);
// A control process that was asked for the whole view and doesn't answer in this time is no longer
// waited for.
constexpr nanoseconds viewTimeout = seconds(1);
constexpr nanoseconds proposalResendInterval = milliseconds(250);
// Known names that are kept when a reply names the current members. Former members are asked when
// the current ones do not answer.
constexpr std::size_t maxPreviousControlNames = 16;

bool isControl(const NodeState &state, const std::string &peer)
{
    const auto &names = state.settings_.controlNames_;
    return std::find(names.begin(), names.end(), peer) != names.end();
}

// Name of the control process to contact: the leader if it is known, else each one in turn.
std::string nextRecipient(NodeState &state)
{
    if (!state.leader_.empty())
        return state.leader_;
    const auto &names = state.settings_.controlNames_;
    return names[state.nextControlIndex_++ % names.size()];
}

// Whether a peer names a leader to which the connection has just broken. A leader that names itself
// is back.
bool namesLostLeader(const NodeState &state, Instant now, const std::string &peer,
                     const std::string &leader)
{
    return peer != leader && leader == state.lostLeader_
        && now - state.lostLeaderAt_ < lostLeaderGrace;
}

// Stores the leader that a peer names, unless it is unknown or was lost just now.
void setLeader(NodeState &state, Instant now, const std::string &peer, const std::string &leader)
{
    if (isControl(state, leader) && !namesLostLeader(state, now, peer, leader))
        state.leader_ = leader;
}

// Whether a peer that is asked now needs not send the whole view, as it was asked of another one.
// Records otherwise that this peer is asked for it.
bool awaitsView(NodeState &state, Instant now, const std::string &peer)
{
    if (state.view_->version_ != 0)
        return false;
    if (!state.viewAwaitedFrom_.empty() && now - state.viewAwaitedSince_ <= viewTimeout)
        return true;
    state.viewAwaitedFrom_ = peer;
    state.viewAwaitedSince_ = now;
    return false;
}

Heartbeat makeHeartbeat(const NodeState &state, Instant now)
{
    Heartbeat heartbeat;
    heartbeat.node_ = state.settings_.name_;
    heartbeat.viewVersion_ = state.view_->version_;
    heartbeat.fleetVersion_ = state.view_->fleetVersion_;
    heartbeat.upstream_ = state.upstream_;
    heartbeat.load_ = state.load_;
    heartbeat.isEntry_ = state.settings_.isEntry_;
    heartbeat.share_ = state.shareExpires_ > now ? state.share_ : 0;
    return heartbeat;
}

void sendHeartbeat(NodeState &state, Instant now, const std::string &peer, NodeEffects &effects)
{
    state.heartbeatSent_.try_emplace(peer, now);
    Heartbeat heartbeat = makeHeartbeat(state, now);
    heartbeat.awaitsView_ = awaitsView(state, now, peer);
    effects.push_back(SendToPeer{peer, std::move(heartbeat)});
}

// Emits the view, its age and the share for the other reducers of the process.
void publish(const NodeState &state, NodeEffects &effects)
{
    effects.push_back(ViewChanged{state.view_, state.asOf_, state.share_, state.shareExpires_,
                                  state.leader_, state.settings_.controlNames_});
}

void addControlNames(NodeState &state, const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        if (!isControl(state, name))
            state.settings_.controlNames_.push_back(name);
    }
}

// Names the upstreams that became known with an address that nothing can be sent to.
void reportUnusable(const View &older, const View &newer, NodeEffects &effects)
{
    for (const Upstream &upstream : newer.upstreams_) {
        if (hasUsableAddress(upstream))
            continue;
        const Upstream *known = findByName(older.upstreams_, upstream.name_);
        if (known && known->agentAddress_ == upstream.agentAddress_)
            continue;
        effects.push_back(DecisionLine{"decision=upstream_unusable upstream=" + upstream.name_
                                       + " address=" + upstream.agentAddress_});
    }
}

void onUpdate(NodeState &state, Instant now, const std::string &peer, const ViewUpdate &update,
              NodeEffects &effects)
{
    if (const ViewPointer newer = updateView(*state.view_, update)) {
        effects.push_back(DecisionLine{"decision=view node=" + state.settings_.name_
                                       + " version=" + std::to_string(newer->version_) + " was="
                                       + std::to_string(state.view_->version_) + " fleet_version="
                                       + std::to_string(newer->fleetVersion_) + " from=" + peer});
        reportUnusable(*state.view_, *newer, effects);
        state.view_ = newer;
    }
    startTransfer(state, now, peer, update, effects);
}

void onReply(NodeState &state, Instant now, const std::string &peer, const HeartbeatReply &reply,
             NodeEffects &effects)
{
    if (state.settings_.openMembership_ && !reply.members_.empty()) {
        // The settings may name processes that no longer exist, so the current members go first.
        std::vector<std::string> previousNames =
            std::exchange(state.settings_.controlNames_, reply.members_);
        if (previousNames.size() > maxPreviousControlNames)
            previousNames.resize(maxPreviousControlNames);
        addControlNames(state, previousNames);
    }
    if (reply.leader_.empty() && peer == state.leader_) {
        state.leader_.clear(); // the peer is no longer the leader
        state.heartbeatAt_ = now;
    }
    setLeader(state, now, peer, reply.leader_);
    if (peer == state.viewAwaitedFrom_)
        state.viewAwaitedFrom_.clear();
    if (reply.update_)
        onUpdate(state, now, peer, *reply.update_, effects);
    const auto sent = state.heartbeatSent_.find(peer);
    if (sent != state.heartbeatSent_.end() && reply.fresh_) {
        state.asOf_ = std::max(state.asOf_, sent->second - reply.age_);
        if (reply.granted_) {
            state.share_ = reply.share_;
            state.shareExpires_ = sent->second + reply.shareLease_;
        }
        state.heartbeatSent_.erase(sent);
    }
    publish(state, effects);
}

// Answers a peer with the age of this node's view, and with the view itself if the peer's is older.
void onPeerHeartbeat(const NodeState &state, Instant now, const std::string &peer,
                     const Heartbeat &heartbeat, NodeEffects &effects)
{
    HeartbeatReply reply;
    reply.leader_ = state.leader_;
    reply.fresh_ = state.asOf_ != Instant{};
    reply.age_ = now - state.asOf_;
    if (heartbeat.viewVersion_ < state.view_->version_)
        reply.update_ = makeFullUpdate(*state.view_);
    effects.push_back(SendToPeer{peer, reply});
}

void sendProposal(NodeState &state, Instant now, std::uint64_t sequence, NodeEffects &effects)
{
    PendingProposal &proposal = state.proposals_.at(sequence);
    proposal.sentTo_ = nextRecipient(state);
    proposal.resendAt_ = now + proposalResendInterval;
    effects.push_back(SendToPeer{proposal.sentTo_, Propose{sequence, proposal.command_}});
}

void onProposeReply(NodeState &state, Instant now, const std::string &peer,
                    const ProposeReply &reply, NodeEffects &effects)
{
    const auto found = state.proposals_.find(reply.sequence_);
    if (found == state.proposals_.end())
        return;
    const OutcomeKind kind = reply.outcome_.kind_;
    if (kind != OutcomeKind::NotLeader && kind != OutcomeKind::Unavailable) {
        setLeader(state, now, peer, peer);
        effects.push_back(ProposalAnswered{found->second.token_, reply.outcome_});
        state.proposals_.erase(found);
        return;
    }
    if (state.leader_ == peer)
        state.leader_.clear();
    if (reply.leader_ == peer || reply.leader_.empty())
        return; // no other leader is named; the resend timer tries the next process
    setLeader(state, now, peer, reply.leader_);
    sendProposal(state, now, reply.sequence_, effects);
}

void onSubmit(NodeState &state, Instant now, const SubmitProposal &event, NodeEffects &effects)
{
    const std::uint64_t sequence = state.nextSequence_++;
    state.proposals_[sequence] =
        PendingProposal{event.token_, event.command_, now + event.patience_, now, {}};
    sendProposal(state, now, sequence, effects);
}

void onPeerLost(NodeState &state, Instant now, const std::string &peer, NodeEffects &effects)
{
    state.heartbeatSent_.erase(peer);
    if (peer == state.viewAwaitedFrom_)
        state.viewAwaitedFrom_.clear();
    if (state.leader_ == peer) {
        state.leader_.clear();
        state.lostLeader_ = peer;
        state.lostLeaderAt_ = now;
        state.heartbeatAt_ = now; // search for the successor at once
    }
    for (auto &[sequence, proposal] : state.proposals_) {
        if (proposal.sentTo_ == peer)
            proposal.resendAt_ = Instant{};
    }
    onSourceLost(state, now, peer, effects);
}

void resendProposals(NodeState &state, Instant now, NodeEffects &effects)
{
    std::vector<std::uint64_t> expired;
    for (auto &[sequence, proposal] : state.proposals_) {
        if (now >= proposal.expiresAt_) {
            expired.push_back(sequence);
            continue;
        }
        if (now < proposal.resendAt_)
            continue;
        if (state.leader_ == proposal.sentTo_)
            state.leader_.clear();
        sendProposal(state, now, sequence, effects);
    }
    for (const std::uint64_t sequence : expired) {
        Outcome outcome;
        outcome.detail_ = "no answer from the control processes";
        effects.push_back(ProposalAnswered{state.proposals_.at(sequence).token_, outcome});
        state.proposals_.erase(sequence);
    }
}

void onWake(NodeState &state, Instant now, NodeEffects &effects)
{
    resendProposals(state, now, effects);
    continueTransfer(state, now, effects);
    if (now < state.heartbeatAt_)
        return;
    const bool starting =
        state.asOf_ == Instant{} || (state.settings_.isEntry_ && state.share_ == 0);
    const auto sent = state.heartbeatSent_.find(state.leader_);
    if (sent != state.heartbeatSent_.end() && now - sent->second > heartbeatTimeout) {
        state.heartbeatSent_.erase(sent);
        state.leader_.clear();
    }
    const nanoseconds interval = state.leader_.empty() ? leaderSearchInterval : heartbeatInterval;
    state.heartbeatAt_ = now + (starting ? startupHeartbeatInterval : interval);
    sendHeartbeat(state, now, nextRecipient(state), effects);
}

void onPeerMessage(NodeState &state, Instant now, const PeerMessage &event, NodeEffects &effects)
{
    if (const auto *reply = std::get_if<HeartbeatReply>(&event.message_))
        onReply(state, now, event.peer_, *reply, effects);
    else if (const auto *answered = std::get_if<ProposeReply>(&event.message_))
        onProposeReply(state, now, event.peer_, *answered, effects);
    else if (const auto *heartbeat = std::get_if<Heartbeat>(&event.message_))
        onPeerHeartbeat(state, now, event.peer_, *heartbeat, effects);
    else if (const auto *block = std::get_if<FleetBlockReply>(&event.message_)) {
        if (onFleetBlock(state, now, event.peer_, *block, effects))
            publish(state, effects);
    }
}

} // namespace

NodeState makeNode(const NodeSettings &settings)
{
    NodeState state;
    state.settings_ = settings;
    state.random_.seed(settings.seed_);
    state.nextControlIndex_ =
        settings.seed_ % std::max<std::size_t>(1, settings.controlNames_.size());
    return state;
}

Instant nextWake(const NodeState &state)
{
    Instant wake = state.heartbeatAt_;
    for (const auto &[sequence, proposal] : state.proposals_)
        wake = std::min({wake, proposal.resendAt_, proposal.expiresAt_});
    return std::min(wake, nextTransferWake(state));
}

ViewPointer updateView(const View &view, const ViewUpdate &update)
{
    if (update.toVersion_ <= view.version_ || update.fromVersion_ > view.version_)
        return nullptr;
    auto newer = std::make_shared<View>();
    if (update.fromVersion_ != 0) {
        *newer = view;
    } else if (!update.fleet_) {
        newer->fleet_ = view.fleet_;
        newer->fleetVersion_ = view.fleetVersion_;
    }
    newer->version_ = update.toVersion_;
    newer->suspects_ = update.suspects_;
    newer->quarantines_ = update.quarantines_;
    newer->evacuated_ = update.evacuated_;
    if (update.fleet_) {
        newer->fleet_ = *update.fleet_;
        newer->fleetVersion_ = update.fleetVersion_;
    }
    auto &list = newer->upstreams_;
    const auto byName = [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; };
    for (const std::string &name : update.removed_)
        std::erase_if(list, [&](const Upstream &item) { return item.name_ == name; });
    for (const Upstream &upstream : update.upstreams_) {
        const auto place = std::lower_bound(list.begin(), list.end(), upstream, byName);
        if (place != list.end() && place->name_ == upstream.name_)
            *place = upstream;
        else
            list.insert(place, upstream);
    }
    return newer;
}

void reduce(NodeState &state, Instant now, const NodeEvent &event, NodeEffects &effects)
{
    std::visit(Overloaded{
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const PeerLost &e) { onPeerLost(state, now, e.peer_, effects); },
                   [&](const SubmitProposal &e) { onSubmit(state, now, e, effects); },
                   [&](const AnnouncementChanged &e) {
                       state.upstream_ = e.upstream_;
                       state.heartbeatAt_ = now;
                       onWake(state, now, effects);
                   },
                   [&](const LoadChanged &e) { state.load_ = e.load_; },
                   [&](const NewerVersionSeen &e) {
                       if (e.version_ > state.view_->version_)
                           sendHeartbeat(state, now, e.peer_, effects);
                   },
                   [&](const Wake &) { onWake(state, now, effects); },
                   [&](const ControlNamesChanged &e) { addControlNames(state, e.names_); },
               },
               event);
}

} // namespace chervilspring
