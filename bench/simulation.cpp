#include "simulation.hpp"

#include "chervilspring/digest.hpp"

#include <ctime>
#include <set>

namespace bench {

namespace {

constexpr nanoseconds networkDelay = microseconds(500); // one way
constexpr nanoseconds reportInterval = milliseconds(400);

double cpuSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

struct SimulatedAgent
{
    AgentState state_;
    const SimulatedPool *pool_ = nullptr;
    int number_ = 0; ///< index in its pool, from 0
    std::size_t batch_ = 0; ///< number of sequences that are being decoded
    std::set<AttemptId> cancelled_;
};

struct PendingRequest
{
    std::string loadName_;
    Instant deadline_;
    bool inWindow_ = false; ///< sent during a fault or burst
};

class Simulation
{
public:
    explicit Simulation(const SimulationSpec &spec) : spec_(spec), random_(spec.seed_) { }

    SimulationReport run()
    {
        start();
        for (const SimulatedLoad &load : spec_.loads_)
            scheduleArrival(load);
        const nanoseconds drainTime = seconds(12); // longer than the longest deadline
        while (!eventQueue_.empty()
               && eventQueue_.begin()->first <= start_ + spec_.duration_ + drainTime) {
            const auto action = std::move(eventQueue_.begin()->second);
            now_ = std::max(now_, eventQueue_.begin()->first);
            eventQueue_.erase(eventQueue_.begin());
            action();
        }
        return report_;
    }

private:
    void schedule(nanoseconds delay, std::function<void()> action)
    {
        eventQueue_.emplace(now_ + delay, std::move(action));
    }

    void start()
    {
        View view;
        view.version_ = view.fleetVersion_ = 1;
        view.fleet_ = spec_.fleet_;
        for (const SimulatedPool &pool : spec_.pools_) {
            for (int i = 0; i < pool.count_; ++i)
                addAgent(pool, i, view);
        }
        std::sort(view.upstreams_.begin(), view.upstreams_.end(),
                  [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
        view_ = std::make_shared<const View>(view);
        for (auto &[name, agent] : agents_) {
            reduceAgent(name, makeViewEvent());
            reduceAgent(name, UpstreamAnnounced{agent.pool_->concurrency_, {}});
        }
        for (int i = 0; i < spec_.entryCount_; ++i) {
            EntrySettings settings;
            settings.name_ = "e" + std::to_string(i);
            settings.dataCenter_ = "dc1";
            settings.boot_ = 1;
            settings.seed_ = random_();
            entries_.push_back(makeEntry(settings, spec_.policy_));
            reduceEntry(entries_.size() - 1, makeViewEvent());
        }
        sendPeriodicReports();
    }

    void addAgent(const SimulatedPool &pool, int number, View &view)
    {
        AgentSettings settings;
        settings.name_ = pool.service_ + "-" + std::to_string(number);
        settings.boot_ = 1;
        settings.queueLimit_ = 100000;
        SimulatedAgent agent;
        agent.state_ = makeAgent(settings);
        agent.pool_ = &pool;
        agent.number_ = number;
        agents_.emplace(settings.name_, std::move(agent));
        Upstream upstream;
        upstream.name_ = settings.name_;
        upstream.dataCenter_ = "dc1";
        upstream.agentBoot_ = 1;
        upstream.concurrency_ = pool.concurrency_;
        upstream.phase_ = UpstreamPhase::Serving;
        upstream.labels_ = {{"service", pool.service_}};
        view.upstreams_.push_back(upstream);
    }

    ViewChanged makeViewEvent() const
    {
        return ViewChanged{view_, now_ + seconds(30),
                           wholeShare / static_cast<std::uint32_t>(spec_.entryCount_),
                           now_ + seconds(60)};
    }

    void sendPeriodicReports()
    {
        for (auto &[name, agent] : agents_)
            reduceAgent(name, UpstreamAnnounced{agent.pool_->concurrency_, {}});
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (auto &[name, agent] : agents_)
                sendLoadReport(i, name);
        }
        if (now_ < start_ + spec_.duration_)
            schedule(reportInterval, [this] { sendPeriodicReports(); });
    }

    // Load reports reach the entry after a delay.
    void sendLoadReport(std::size_t entry, const std::string &name)
    {
        if (isLost(agents_.at(name)))
            return;
        Ping ping;
        ping.reply_ = true;
        ping.load_ = currentLoad(agents_.at(name).state_);
        schedule(spec_.reportDelay_, [this, entry, name, ping] {
            reduceEntry(entry, PeerMessage{name, ping});
        });
    }

    const SimulatedFault *activeFault(const SimulatedAgent &agent) const
    {
        for (const SimulatedFault &fault : spec_.faults_) {
            const bool active = now_ >= start_ + fault.from_ && now_ < start_ + fault.to_;
            if (active && fault.service_ == agent.pool_->service_
                && agent.number_ < fault.affectedCount_)
                return &fault;
        }
        return nullptr;
    }

    bool isLost(const SimulatedAgent &agent) const
    {
        const SimulatedFault *fault = activeFault(agent);
        return fault && fault->slowFactor_ == 0;
    }

    bool inWindow() const
    {
        const nanoseconds elapsed = now_ - start_;
        for (const SimulatedFault &fault : spec_.faults_) {
            if (elapsed >= fault.from_ && elapsed < fault.to_)
                return true;
        }
        for (const SimulatedLoad &load : spec_.loads_) {
            if (load.burstFactor_ > 1 && elapsed >= load.burstFrom_ && elapsed < load.burstTo_)
                return true;
        }
        return false;
    }

    void scheduleArrival(const SimulatedLoad &load)
    {
        const nanoseconds elapsed = now_ - start_;
        const bool inBurst = elapsed >= load.burstFrom_ && elapsed < load.burstTo_;
        std::exponential_distribution<double> distribution(load.requestsPerSecond_
                                                           * (inBurst ? load.burstFactor_ : 1.0));
        const auto interval = nanoseconds(static_cast<std::int64_t>(distribution(random_) * 1e9));
        if (elapsed + interval > spec_.duration_)
            return;
        schedule(interval, [this, &load] {
            send(load);
            scheduleArrival(load);
        });
    }

    void send(const SimulatedLoad &load)
    {
        CallerRequest request;
        request.token_ = ++nextToken_;
        request.pipeline_ = load.pipeline_;
        request.credential_ = load.account_;
        request.deadline_ = load.deadline_;
        request.body_ = "{\"marker\":\"" + std::to_string(nextToken_)
            + "\",\"max_tokens\":" + std::to_string(load.maxTokens_) + "}";
        PendingRequest pending{load.name_, now_ + load.deadline_, inWindow()};
        LoadOutcome &outcome = report_.loads_[load.name_];
        ++outcome.sent_;
        outcome.sentInWindow_ += pending.inWindow_;
        pending_[request.token_] = pending;
        reduceEntry(nextToken_ % entries_.size(), request);
    }

    void reduceEntry(std::size_t index, const EntryEvent &event)
    {
        EntryEffects effects;
        const double start = cpuSeconds();
        reduce(entries_[index], now_, WallTime{}, event, effects);
        report_.decisionSeconds_ += cpuSeconds() - start;
        for (EntryEffect &effect : effects)
            execute(index, effect);
        const Instant wake = nextWake(entries_[index]);
        if (wake != Instant::max())
            eventQueue_.emplace(std::max(wake, now_ + microseconds(1)), [this, index] {
                if (nextWake(entries_[index]) <= now_)
                    reduceEntry(index, Wake{});
            });
    }

    void execute(std::size_t entry, EntryEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            const std::string name = send->peer_;
            schedule(networkDelay, [this, entry, name, message = send->message_] {
                if (!isLost(agents_.at(name)))
                    reduceAgent(name, PeerMessage{"e" + std::to_string(entry), message});
            });
            reportLostPeer(entry, name);
        } else if (auto *answer = std::get_if<Answer>(&effect)) {
            const PendingRequest &pending = pending_.at(answer->token_);
            LoadOutcome &outcome = report_.loads_[pending.loadName_];
            const bool attained = answer->errorId_ == 0 && now_ <= pending.deadline_;
            outcome.attained_ += attained;
            if (!attained)
                ++outcome.errors_[answer->errorId_];
            outcome.attainedInWindow_ += attained && pending.inWindow_;
        } else if (auto *measured = std::get_if<StageMeasured>(&effect)) {
            report_.costByStage_[measured->stage_] += measured->cost_;
            ++report_.attempts_;
        }
    }

    // A connection to a lost VM is closed after the ping timeout.
    void reportLostPeer(std::size_t entry, const std::string &name)
    {
        constexpr nanoseconds pingTimeout = milliseconds(1600);
        if (!isLost(agents_.at(name)))
            return;
        schedule(pingTimeout, [this, entry, name] { reduceEntry(entry, PeerLost{name}); });
    }

    void reduceAgent(const std::string &name, const AgentEvent &event)
    {
        SimulatedAgent &agent = agents_.at(name);
        AgentEffects effects;
        reduce(agent.state_, now_, event, effects);
        for (AgentEffect &effect : effects)
            execute(name, effect);
    }

    void execute(const std::string &name, AgentEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (isLost(agents_.at(name)))
                return;
            const std::size_t entry = std::stoul(send->peer_.substr(1));
            schedule(networkDelay, [this, entry, name, message = send->message_] {
                reduceEntry(entry, PeerMessage{name, message});
            });
        } else if (auto *start = std::get_if<StartCall>(&effect)) {
            startCall(name, *start);
        } else if (auto *cancel = std::get_if<CancelCall>(&effect)) {
            agents_.at(name).cancelled_.insert(cancel->id_);
        }
    }

    standins::ServiceModel modelOf(const SimulatedAgent &agent) const
    {
        standins::ServiceModel model = agent.pool_->model_;
        const SimulatedFault *fault = activeFault(agent);
        if (fault && fault->slowFactor_ > 0)
            model.slowFactor_ = fault->slowFactor_;
        return model;
    }

    void startCall(const std::string &name, const StartCall &call)
    {
        SimulatedAgent &agent = agents_.at(name);
        if (!call.stream_) {
            schedule(standins::drawServiceTime(modelOf(agent), random_), [this, name, call] {
                endCall(name, CallEnded{call.id_, ResultKind::Ok, call.body_, ""});
            });
            return;
        }
        ++agent.batch_;
        const auto tokens = standins::generateTokens(call.body_);
        scheduleDecodingStep(name, call, tokens, call.resumeOffset_);
    }

    void scheduleDecodingStep(const std::string &name, const StartCall &call,
                              const std::vector<std::string> &tokens, std::size_t index)
    {
        SimulatedAgent &agent = agents_.at(name);
        schedule(
            standins::stepTime(modelOf(agent), agent.batch_), [this, name, call, tokens, index] {
                SimulatedAgent &decodingAgent = agents_.at(name);
                const bool cancelled = decodingAgent.cancelled_.erase(call.id_) > 0;
                if (cancelled || index >= tokens.size()) {
                    --decodingAgent.batch_;
                    endCall(name,
                            CallEnded{call.id_, cancelled ? ResultKind::Failed : ResultKind::Ok, "",
                                      cancelled ? "cancelled" : ""});
                    return;
                }
                reduceAgent(name, CallTokens{call.id_, {tokens[index]}});
                scheduleDecodingStep(name, call, tokens, index + 1);
            });
    }

    void endCall(const std::string &name, const CallEnded &ended)
    {
        agents_.at(name).cancelled_.erase(ended.id_);
        reduceAgent(name, ended);
    }

    const SimulationSpec &spec_;
    std::mt19937_64 random_;
    SimulationReport report_;
    Instant start_ = Instant(seconds(1000));
    Instant now_ = Instant(seconds(1000));
    ViewPointer view_;
    std::multimap<Instant, std::function<void()>> eventQueue_;
    std::map<std::string, SimulatedAgent> agents_;
    std::vector<EntryState> entries_;
    std::map<std::uint64_t, PendingRequest> pending_; ///< by token
    std::uint64_t nextToken_ = 0;
};

} // namespace

SimulationReport runSimulation(const SimulationSpec &spec)
{
    return Simulation(spec).run();
}

} // namespace bench
