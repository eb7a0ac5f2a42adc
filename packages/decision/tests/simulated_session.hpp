/// @file
/// @brief Deterministic simulation of entries and agents under virtual time.
///
/// Runs the real reducers of entries and agents. In place of the control processes, commands are
/// applied to a single fleet state. The simulated upstreams count their executions. All randomness
/// comes from a seed. Used by the random and golden session tests.
#pragma once

#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/entry/entry.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/json.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace chervilspring {

/// @brief Fault probabilities, in thousandths per message or event.
struct SessionFaults
{
    std::uint32_t delayed_ = 0; ///< message delayed by up to two seconds
    std::uint32_t duplicated_ = 0; ///< message delivered twice
    std::uint32_t corrupted_ = 0; ///< result body truncated
    std::uint32_t lostConnections_ = 0; ///< connection lost, per message from an entry to an agent
    std::uint32_t agentCrashes_ = 0; ///< agent crashes, per call of its upstream
    std::uint32_t entryCrashes_ = 0; ///< entry crashes, per request
    std::uint32_t lostProposals_ = 0; ///< command not committed, no outcome reported
    /// Command committed but its outcome not reported; also the chance that it is committed twice.
    std::uint32_t lostAnswers_ = 0;
    std::uint32_t upstreamFailures_ = 0; ///< upstream answers with an error
};

/// @brief What a caller sent and received.
struct CallerLog
{
    std::string marker_; ///< text in the request body that identifies the work
    std::string pipeline_;
    std::string key_; ///< idempotency key, empty if there is none
    int answers_ = 0; ///< number of answers received
    Answer answer_; ///< last answer
    std::string tokens_; ///< concatenated tokens of a stream
    bool entryCrashed_ = false; ///< the entry crashed before it answered
};

/// @brief A simulated session.
class SimulatedSession
{
public:
    SimulatedSession(const Fleet &fleet, std::uint64_t seed, SessionFaults faults = {})
        : random_(seed), faults_(faults)
    {
        state_.view_.fleet_ = fleet;
        state_.view_.fleetVersion_ = state_.view_.version_ = nextIndex_++;
    }

    /// Effects, recorded if record_ is set: time since the start in us, name of the process, JSON.
    std::vector<std::string> trace_;
    bool record_ = false; ///< record all effects in trace_
    std::map<std::string, int> runs_; ///< executions of non-idempotent stages by marker
    std::map<std::uint64_t, CallerLog> callers_; ///< by caller token
    Instant now() const { return now_; }
    const FleetState &state() const { return state_; }
    /// @brief Draws a random number below a bound.
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }

    void addEntry(const std::string &name) { bootEntry(name); }

    void addAgent(const std::string &name, const std::string &service, std::uint32_t concurrency)
    {
        agents_[name].service_ = service;
        agents_[name].concurrency_ = concurrency;
        bootAgent(name);
    }

    /// @brief Advances virtual time and runs the events that are due.
    void run(nanoseconds time)
    {
        const Instant end = now_ + time;
        while (!events_.empty() && events_.begin()->first <= end) {
            const auto event = std::move(events_.begin()->second);
            now_ = std::max(now_, events_.begin()->first);
            events_.erase(events_.begin());
            event();
        }
        now_ = end;
    }

    /// @brief Schedules an action after a delay in virtual time.
    void at(nanoseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    /// @brief Sends a request of a new caller to an entry.
    /// @return the caller's token
    std::uint64_t call(const std::string &entry, const std::string &pipeline,
                       const std::string &marker, const std::string &key,
                       milliseconds deadline = milliseconds(0))
    {
        CallerRequest request;
        request.token_ = nextToken_++;
        request.pipeline_ = pipeline;
        request.credential_ = "credential";
        request.key_ = key;
        request.deadline_ = deadline;
        request.stream_ = true;
        request.body_ = "{\"marker\":\"" + marker + "\"}";
        callers_[request.token_] = CallerLog{marker, pipeline, key, 0, {}, {}, false};
        entries_.at(entry).tokens_.insert(request.token_);
        deliverToEntry(entry, request);
        if (chance(faults_.entryCrashes_))
            at(randomDelay(), [this, entry] { crashEntry(entry); });
        return request.token_;
    }

    /// @brief Makes an idempotency key that is issued now.
    static std::string newKey(const SimulatedSession &session, const std::string &unique)
    {
        const auto wall = std::chrono::duration_cast<seconds>(session.now_.time_since_epoch());
        return std::to_string(wall.count()) + "-" + unique;
    }

    /// @brief Replaces an entry by a new incarnation without state.
    void crashEntry(const std::string &name)
    {
        for (const std::uint64_t token : entries_.at(name).tokens_) {
            if (callers_[token].answers_ == 0)
                callers_[token].entryCrashed_ = true;
        }
        bootEntry(name);
    }

    /// @brief Replaces an agent by a new incarnation without state.
    void crashAgent(const std::string &name)
    {
        for (auto &[entry, unused] : entries_)
            dropConnection(entry, name);
        bootAgent(name);
    }

    void stopAgent(const std::string &name) { deliverToAgent(name, StopRequested{}); }
    void stopEntry(const std::string &name) { deliverToEntry(name, StopRequested{}); }

    /// @brief Drops the messages in transit between an entry and an agent and reports the
    /// loss.
    void dropConnection(const std::string &entry, const std::string &agent)
    {
        ++connections_[{entry, agent}];
        deliverToEntry(entry, PeerLost{agent});
    }

    /// @brief Applies a command to the committed state and publishes a new view if it changed.
    Outcome commit(const Command &command)
    {
        LogEntry entry{nextIndex_++, 1, wall(), command};
        const std::uint64_t before = state_.view_.version_;
        const Outcome outcome = apply(state_, entry);
        if (state_.view_.version_ != before)
            publish();
        return outcome;
    }

private:
    struct EntryNode
    {
        EntryState state_;
        std::uint64_t incarnation_ = 0; ///< number of starts
        std::set<std::uint64_t> tokens_; ///< tokens of the callers of this incarnation
    };
    struct AgentNode
    {
        AgentState state_;
        std::string service_;
        std::uint32_t concurrency_ = 1; ///< number of calls that the upstream runs at once
        std::uint64_t incarnation_ = 0; ///< number of starts
    };

    bool chance(std::uint32_t thousandths) { return thousandths > 0 && pick(1000) < thousandths; }
    nanoseconds randomDelay() { return microseconds(200 + pick(5000)); }
    WallTime wall() const
    {
        return WallTime(std::chrono::floor<milliseconds>(now_.time_since_epoch()));
    }

    ViewChanged currentView() const
    {
        return ViewChanged{std::make_shared<const View>(state_.view_), now_, wholeShare / 2,
                           now_ + seconds(10)};
    }

    void publish()
    {
        for (auto &[name, node] : entries_)
            at(randomDelay(), [this, name = name] { deliverToEntry(name, currentView()); });
        for (auto &[name, node] : agents_)
            at(randomDelay(), [this, name = name] { deliverToAgent(name, currentView()); });
    }

    void bootEntry(const std::string &name)
    {
        EntryNode &node = entries_[name];
        ++node.incarnation_;
        node.tokens_.clear();
        EntrySettings settings;
        settings.name_ = name;
        settings.dataCenter_ = "dc1";
        settings.boot_ = 1000 + random_() % 1000000;
        settings.seed_ = random_();
        node.state_ = makeEntry(settings);
        deliverToEntry(name, currentView());
        publishPeriodically(name, node.incarnation_);
    }

    void publishPeriodically(const std::string &name, std::uint64_t incarnation)
    {
        at(seconds(1), [this, name, incarnation] {
            if (entries_.at(name).incarnation_ != incarnation)
                return;
            deliverToEntry(name, currentView());
            publishPeriodically(name, incarnation);
        });
    }

    void bootAgent(const std::string &name)
    {
        AgentNode &node = agents_.at(name);
        ++node.incarnation_;
        AgentSettings settings;
        settings.name_ = name;
        settings.dataCenter_ = "dc1";
        settings.boot_ = 1000 + random_() % 1000000;
        node.state_ = makeAgent(settings);
        deliverToAgent(name, currentView());
        announcePeriodically(name, node.incarnation_);
    }

    void announcePeriodically(const std::string &name, std::uint64_t incarnation)
    {
        const AgentNode &node = agents_.at(name);
        if (node.incarnation_ != incarnation || node.state_.stopping_)
            return;
        deliverToAgent(name, currentView());
        deliverToAgent(name, UpstreamAnnounced{node.concurrency_, {{"service", node.service_}}});
        at(seconds(1), [this, name, incarnation] { announcePeriodically(name, incarnation); });
    }

    template<typename Effect> void trace(const std::string &name, const Effect &effect)
    {
        if (!record_)
            return;
        const auto time = (now_ - Instant(seconds(1000000))) / microseconds(1);
        trace_.push_back(std::to_string(time) + " " + name + " "
                         + boost::json::serialize(toJson(effect)));
    }

    void deliverToEntry(const std::string &name, const EntryEvent &event)
    {
        EntryNode &node = entries_.at(name);
        EntryEffects effects;
        reduce(node.state_, now_, wall(), event, effects);
        for (EntryEffect &effect : effects) {
            trace(name, effect);
            applyEffect(name, effect);
        }
        wakeEntry(name, node.incarnation_, nextWake(node.state_));
    }

    void wakeEntry(const std::string &name, std::uint64_t incarnation, Instant when)
    {
        if (when == Instant::max())
            return;
        events_.emplace(std::max(when, now_ + microseconds(1)), [this, name, incarnation, when] {
            EntryNode &node = entries_.at(name);
            if (node.incarnation_ == incarnation && nextWake(node.state_) <= now_)
                deliverToEntry(name, Wake{});
        });
    }

    void deliverToAgent(const std::string &name, const AgentEvent &event)
    {
        AgentNode &node = agents_.at(name);
        AgentEffects effects;
        reduce(node.state_, now_, event, effects);
        for (AgentEffect &effect : effects) {
            trace(name, effect);
            applyEffect(name, effect);
        }
    }

    void applyEffect(const std::string &entry, EntryEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (agents_.contains(send->peer_))
                sendToAgent(entry, send->peer_, send->message_);
        } else if (auto *submitted = std::get_if<SubmitProposal>(&effect)) {
            submit(
                *submitted,
                [this, entry, incarnation = entries_.at(entry).incarnation_](ProposalAnswered e) {
                    if (entries_.at(entry).incarnation_ == incarnation)
                        deliverToEntry(entry, e);
                });
        } else if (auto *answer = std::get_if<Answer>(&effect)) {
            CallerLog &caller = callers_[answer->token_];
            ++caller.answers_;
            caller.answer_ = *answer;
        } else if (auto *tokens = std::get_if<StreamToCaller>(&effect)) {
            for (const std::string &token : tokens->tokens_)
                callers_[tokens->token_].tokens_ += token;
        }
    }

    void applyEffect(const std::string &agent, AgentEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (entries_.contains(send->peer_))
                sendToEntry(agent, send->peer_, send->message_);
        } else if (auto *announced = std::get_if<Announce>(&effect)) {
            at(randomDelay(), [this, a = *announced] { commitAnnouncement(a.upstream_); });
        } else if (auto *submitted = std::get_if<SubmitProposal>(&effect)) {
            submit(*submitted, [](const ProposalAnswered &) {});
        } else if (auto *start = std::get_if<StartCall>(&effect)) {
            startCall(agent, *start);
        }
    }

    void commitAnnouncement(const Upstream &upstream)
    {
        if (upstream.phase_ == UpstreamPhase::Gone)
            commit(RemoveUpstream{upstream.name_, upstream.agentBoot_});
        else
            commit(AnnounceUpstream{upstream});
    }

    // Commits a proposal late, twice or not at all, depending on the faults, or loses its outcome.
    void submit(const SubmitProposal &proposal, std::function<void(ProposalAnswered)> answer)
    {
        const ProposalAnswered lost{proposal.token_, Outcome{}};
        if (chance(faults_.lostProposals_)) {
            at(proposal.patience_, [answer, lost] { answer(lost); });
            return;
        }
        const bool answerLost = chance(faults_.lostAnswers_);
        at(randomDelay(), [this, proposal, answer, answerLost, lost] {
            const Outcome outcome = commit(proposal.command_);
            if (answerLost) {
                at(proposal.patience_, [answer, lost] { answer(lost); });
                return;
            }
            const bool resent = chance(faults_.lostAnswers_);
            const Outcome second = resent ? commit(proposal.command_) : outcome;
            at(randomDelay(), [answer, proposal, second] {
                answer(ProposalAnswered{proposal.token_, second});
            });
        });
    }

    nanoseconds messageDelay()
    {
        if (chance(faults_.delayed_))
            return milliseconds(pick(2000));
        return randomDelay();
    }

    void sendToAgent(const std::string &entry, const std::string &agent, const Message &message)
    {
        if (chance(faults_.lostConnections_))
            at(randomDelay(), [this, entry, agent] { dropConnection(entry, agent); });
        const auto connection = connections_[{entry, agent}];
        const auto incarnation = agents_.at(agent).incarnation_;
        const int copies = chance(faults_.duplicated_) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            at(messageDelay(), [this, entry, agent, message, connection, incarnation] {
                const bool open = connections_[{entry, agent}] == connection;
                if (open && agents_.at(agent).incarnation_ == incarnation)
                    deliverToAgent(agent, PeerMessage{entry, message});
            });
        }
    }

    void sendToEntry(const std::string &agent, const std::string &entry, Message message)
    {
        const auto connection = connections_[{entry, agent}];
        const auto incarnation = entries_.at(entry).incarnation_;
        if (auto *result = std::get_if<AttemptResult>(&message);
            result && chance(faults_.corrupted_))
            result->body_ = result->body_.substr(0, result->body_.size() / 2);
        const int copies = chance(faults_.duplicated_) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            at(messageDelay(), [this, entry, agent, message, connection, incarnation] {
                const bool open = connections_[{entry, agent}] == connection;
                if (open && entries_.at(entry).incarnation_ == incarnation)
                    deliverToEntry(entry, PeerMessage{agent, message});
            });
        }
    }

    static std::string markerOf(const std::string &body)
    {
        const auto value = boost::json::parse(body);
        const auto &object = value.as_object();
        return std::string(object.at("marker").as_string());
    }

    void startCall(const std::string &agent, const StartCall &call)
    {
        const AgentNode &node = agents_.at(agent);
        const auto incarnation = node.incarnation_;
        const std::string marker = markerOf(call.body_);
        if (node.service_ == "booking")
            ++runs_[marker];
        if (chance(faults_.agentCrashes_))
            at(randomDelay(), [this, agent, incarnation] {
                if (agents_.at(agent).incarnation_ == incarnation)
                    crashAgent(agent);
            });
        if (call.stream_) {
            streamToken(agent, incarnation, call, marker, call.resumeOffset_);
            return;
        }
        const ResultKind kind =
            chance(faults_.upstreamFailures_) ? ResultKind::Failed : ResultKind::Ok;
        at(milliseconds(2 + pick(30)), [this, agent, incarnation, call, kind] {
            if (agents_.at(agent).incarnation_ == incarnation)
                deliverToAgent(agent, CallEnded{call.id_, kind, call.body_, ""});
        });
    }

    static constexpr std::uint32_t streamLength = 12; // tokens

    void streamToken(const std::string &agent, std::uint64_t incarnation, const StartCall &call,
                     const std::string &marker, std::uint32_t index)
    {
        at(milliseconds(1 + pick(8)), [this, agent, incarnation, call, marker, index] {
            if (agents_.at(agent).incarnation_ != incarnation)
                return;
            if (index == streamLength) {
                deliverToAgent(agent, CallEnded{call.id_, ResultKind::Ok, "", ""});
                return;
            }
            deliverToAgent(agent, CallTokens{call.id_, {tokenAt(marker, index)}});
            streamToken(agent, incarnation, call, marker, index + 1);
        });
    }

public:
    static std::string tokenAt(const std::string &marker, std::uint32_t index)
    {
        return " " + marker + "#" + std::to_string(index);
    }

    static std::string expectedStream(const std::string &marker)
    {
        std::string text;
        for (std::uint32_t i = 0; i < streamLength; ++i)
            text += tokenAt(marker, i);
        return text;
    }

private:
    std::mt19937_64 random_;
    SessionFaults faults_;
    FleetState state_;
    Instant now_ = Instant(seconds(1000000));
    std::multimap<Instant, std::function<void()>> events_; ///< actions by the time they are due
    std::map<std::string, EntryNode> entries_;
    std::map<std::string, AgentNode> agents_;
    /// Number of connections lost so far by names of entry and agent.
    std::map<std::pair<std::string, std::string>, std::uint64_t> connections_;
    std::uint64_t nextIndex_ = 1; ///< log index of the next command
    std::uint64_t nextToken_ = 1; ///< token of the next caller
};

/// @brief A small fleet with two pipelines: "answer" ends with a streamed stage, "order" ends with
/// a non-idempotent stage.
inline Fleet sessionFleet()
{
    Fleet fleet;
    StageSpec look{"look", "service=index", true, false, milliseconds(20), 1};
    StageSpec sort{"sort", "service=sorter", true, false, milliseconds(20), 1};
    StageSpec generate{"generate", "service=llm", true, true, milliseconds(60), 100};
    StageSpec book{"book", "service=booking", false, false, milliseconds(20), 1};
    fleet.pipelines_ = {PipelineSpec{"answer", {}, milliseconds(4000), {look, sort, generate}},
                        PipelineSpec{"order", {}, milliseconds(4000), {look, book}}};
    Account account;
    account.name_ = "account";
    account.salt_ = "salt";
    account.credentialDigest_ = credentialDigest("salt", "credential");
    account.requestsPerSecond_ = 100000;
    account.concurrency_ = 10000;
    fleet.accounts_ = {account};
    return fleet;
}

} // namespace chervilspring
