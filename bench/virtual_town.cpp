#include "virtual_town.hpp"

#include "chervilspring/digest.hpp"

#include <ctime>
#include <set>

namespace bench {

namespace {

constexpr nanoseconds network = microseconds(500);
constexpr nanoseconds reportInterval = milliseconds(400);

double processorSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

struct VirtualAgent
{
    AgentState state_;
    const VirtualPool *pool_ = nullptr;
    int number_ = 0; ///< within its pool
    std::size_t batch_ = 0; ///< sequences that are being decoded
    std::set<AttemptId> cancelled_;
};

struct Pending
{
    std::string load_;
    Instant deadline_;
    bool inWindow_ = false;
};

class VirtualTown
{
public:
    explicit VirtualTown(const VirtualRun &run) : run_(run), random_(run.seed_) { }

    VirtualReport execute()
    {
        start();
        for (const VirtualLoad &load : run_.loads_)
            arrive(load);
        const nanoseconds tail = seconds(12);
        while (!events_.empty() && events_.begin()->first <= begin_ + run_.duration_ + tail) {
            const auto action = std::move(events_.begin()->second);
            now_ = std::max(now_, events_.begin()->first);
            events_.erase(events_.begin());
            action();
        }
        return report_;
    }

private:
    void at(nanoseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    void start()
    {
        View view;
        view.version_ = view.fleetVersion_ = 1;
        view.fleet_ = run_.fleet_;
        for (const VirtualPool &pool : run_.pools_) {
            for (int i = 0; i < pool.count_; ++i)
                addAgent(pool, i, view);
        }
        std::sort(view.upstreams_.begin(), view.upstreams_.end(),
                  [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
        view_ = std::make_shared<const View>(view);
        for (auto &[name, agent] : agents_) {
            toAgent(name, fresh());
            toAgent(name, UpstreamAnnounced{agent.pool_->concurrency_, {}});
        }
        for (int i = 0; i < run_.entries_; ++i) {
            EntrySettings settings;
            settings.name_ = "e" + std::to_string(i);
            settings.dataCenter_ = "dc1";
            settings.boot_ = 1;
            settings.seed_ = random_();
            entries_.push_back(makeEntry(settings, run_.policy_));
            toEntry(entries_.size() - 1, fresh());
        }
        keepAlive();
    }

    void addAgent(const VirtualPool &pool, int number, View &view)
    {
        AgentSettings settings;
        settings.name_ = pool.service_ + "-" + std::to_string(number);
        settings.boot_ = 1;
        settings.queueLimit_ = 100000;
        VirtualAgent agent;
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

    ViewChanged fresh() const
    {
        return ViewChanged{view_, now_ + seconds(30),
                           wholeShare / static_cast<std::uint32_t>(run_.entries_),
                           now_ + seconds(60)};
    }

    void keepAlive()
    {
        for (auto &[name, agent] : agents_)
            toAgent(name, UpstreamAnnounced{agent.pool_->concurrency_, {}});
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (auto &[name, agent] : agents_)
                report(i, name);
        }
        if (now_ < begin_ + run_.duration_)
            at(reportInterval, [this] { keepAlive(); });
    }

    // A load report reaches the entry late.
    void report(std::size_t entry, const std::string &name)
    {
        if (lost(agents_.at(name)))
            return;
        Ping ping;
        ping.reply_ = true;
        ping.load_ = currentLoad(agents_.at(name).state_);
        at(run_.reportLag_, [this, entry, name, ping] { toEntry(entry, PeerMessage{name, ping}); });
    }

    const VirtualFault *faultOf(const VirtualAgent &agent) const
    {
        for (const VirtualFault &fault : run_.faults_) {
            const bool active = now_ >= begin_ + fault.from_ && now_ < begin_ + fault.to_;
            if (active && fault.service_ == agent.pool_->service_
                && agent.number_ < fault.affected_)
                return &fault;
        }
        return nullptr;
    }

    bool lost(const VirtualAgent &agent) const
    {
        const VirtualFault *fault = faultOf(agent);
        return fault && fault->slowFactor_ == 0;
    }

    bool inWindow() const
    {
        const nanoseconds time = now_ - begin_;
        for (const VirtualFault &fault : run_.faults_) {
            if (time >= fault.from_ && time < fault.to_)
                return true;
        }
        for (const VirtualLoad &load : run_.loads_) {
            if (load.burstFactor_ > 1 && time >= load.burstFrom_ && time < load.burstTo_)
                return true;
        }
        return false;
    }

    void arrive(const VirtualLoad &load)
    {
        const nanoseconds time = now_ - begin_;
        const bool burst = time >= load.burstFrom_ && time < load.burstTo_;
        std::exponential_distribution<double> gap(load.perSecond_
                                                  * (burst ? load.burstFactor_ : 1.0));
        const auto wait = nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
        if (time + wait > run_.duration_)
            return;
        at(wait, [this, &load] {
            send(load);
            arrive(load);
        });
    }

    void send(const VirtualLoad &load)
    {
        CallerRequest request;
        request.token_ = ++nextToken_;
        request.pipeline_ = load.pipeline_;
        request.credential_ = load.account_;
        request.deadline_ = load.deadline_;
        request.body_ = "{\"marker\":\"" + std::to_string(nextToken_)
            + "\",\"max_tokens\":" + std::to_string(load.maxTokens_) + "}";
        Pending pending{load.name_, now_ + load.deadline_, inWindow()};
        VirtualOutcome &outcome = report_.loads_[load.name_];
        ++outcome.sent_;
        outcome.sentInWindow_ += pending.inWindow_;
        pending_[request.token_] = pending;
        toEntry(nextToken_ % entries_.size(), request);
    }

    void toEntry(std::size_t index, const EntryEvent &event)
    {
        EntryEffects effects;
        const double start = processorSeconds();
        reduce(entries_[index], now_, WallTime{}, event, effects);
        report_.decisionSeconds_ += processorSeconds() - start;
        for (EntryEffect &effect : effects)
            carryOut(index, effect);
        const Instant wake = nextWake(entries_[index]);
        if (wake != Instant::max())
            events_.emplace(std::max(wake, now_ + microseconds(1)), [this, index] {
                if (nextWake(entries_[index]) <= now_)
                    toEntry(index, Wake{});
            });
    }

    void carryOut(std::size_t entry, EntryEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            const std::string name = send->peer_;
            at(network, [this, entry, name, message = send->message_] {
                if (!lost(agents_.at(name)))
                    toAgent(name, PeerMessage{"e" + std::to_string(entry), message});
            });
            noticeLoss(entry, name);
        } else if (auto *answer = std::get_if<Answer>(&effect)) {
            const Pending &pending = pending_.at(answer->token_);
            VirtualOutcome &outcome = report_.loads_[pending.load_];
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

    // The connection to a lost VM is given up after the ping patience.
    void noticeLoss(std::size_t entry, const std::string &name)
    {
        constexpr nanoseconds patience = milliseconds(1600);
        if (!lost(agents_.at(name)))
            return;
        at(patience, [this, entry, name] { toEntry(entry, PeerLost{name}); });
    }

    void toAgent(const std::string &name, const AgentEvent &event)
    {
        VirtualAgent &agent = agents_.at(name);
        AgentEffects effects;
        reduce(agent.state_, now_, event, effects);
        for (AgentEffect &effect : effects)
            carryOut(name, effect);
    }

    void carryOut(const std::string &name, AgentEffect &effect)
    {
        if (auto *send = std::get_if<SendToPeer>(&effect)) {
            if (lost(agents_.at(name)))
                return;
            const std::size_t entry = std::stoul(send->peer_.substr(1));
            at(network, [this, entry, name, message = send->message_] {
                toEntry(entry, PeerMessage{name, message});
            });
        } else if (auto *start = std::get_if<StartCall>(&effect)) {
            startCall(name, *start);
        } else if (auto *cancel = std::get_if<CancelCall>(&effect)) {
            agents_.at(name).cancelled_.insert(cancel->id_);
        }
    }

    standins::ServiceModel modelOf(const VirtualAgent &agent) const
    {
        standins::ServiceModel model = agent.pool_->model_;
        const VirtualFault *fault = faultOf(agent);
        if (fault && fault->slowFactor_ > 0)
            model.slowFactor_ = fault->slowFactor_;
        return model;
    }

    void startCall(const std::string &name, const StartCall &call)
    {
        VirtualAgent &agent = agents_.at(name);
        if (!call.stream_) {
            at(standins::drawServiceTime(modelOf(agent), random_), [this, name, call] {
                end(name, CallEnded{call.id_, ResultKind::Ok, call.body_, ""});
            });
            return;
        }
        ++agent.batch_;
        const auto tokens = standins::generateTokens(call.body_);
        decode(name, call, tokens, call.resumeOffset_);
    }

    void decode(const std::string &name, const StartCall &call,
                const std::vector<std::string> &tokens, std::size_t index)
    {
        VirtualAgent &agent = agents_.at(name);
        at(standins::stepTime(modelOf(agent), agent.batch_), [this, name, call, tokens, index] {
            VirtualAgent &owner = agents_.at(name);
            const bool stopped = owner.cancelled_.erase(call.id_) > 0;
            if (stopped || index >= tokens.size()) {
                --owner.batch_;
                end(name,
                    CallEnded{call.id_, stopped ? ResultKind::Failed : ResultKind::Ok, "",
                              stopped ? "cancelled" : ""});
                return;
            }
            toAgent(name, CallTokens{call.id_, {tokens[index]}});
            decode(name, call, tokens, index + 1);
        });
    }

    void end(const std::string &name, const CallEnded &ended)
    {
        agents_.at(name).cancelled_.erase(ended.id_);
        toAgent(name, ended);
    }

    const VirtualRun &run_;
    std::mt19937_64 random_;
    VirtualReport report_;
    Instant begin_ = Instant(seconds(1000));
    Instant now_ = Instant(seconds(1000));
    ViewPointer view_;
    std::multimap<Instant, std::function<void()>> events_;
    std::map<std::string, VirtualAgent> agents_;
    std::vector<EntryState> entries_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextToken_ = 0;
};

} // namespace

VirtualReport runVirtual(const VirtualRun &run)
{
    return VirtualTown(run).execute();
}

} // namespace bench
