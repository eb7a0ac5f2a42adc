#include "chervilspring/detail/process/scheduler_thread.hpp"

#include "chervilspring/detail/net/coroutine_end.hpp"
#include "chervilspring/detail/net/stage_calls.hpp"
#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace chervilspring {

namespace asio = boost::asio;

SchedulerThread::SchedulerThread(const Settings &settings, const DirectProtocol &protocol,
                                 TrafficMetrics &metrics,
                                 std::function<void(const Quarantine &)> store)
    : settings_(settings), protocol_(protocol), metrics_(metrics), store_(std::move(store)),
      context_(1),
      network_(context_, PeerIdentity{settings.name_, randomId()}, settings.secret_,
               PeerHandlers{[this](const std::string &peer, Message message) {
                                handle(PeerMessage{peer, std::move(message)});
                            },
                            [this](const std::string &peer) { handle(PeerLost{peer}); },
                            {}}),
      client_(context_), timer_(context_, [this] { handle(Wake{}); })
{ }

SchedulerThread::~SchedulerThread()
{
    asio::post(context_, [this] {
        network_.close();
        context_.stop();
    });
    if (thread_.joinable())
        thread_.join();
}

void SchedulerThread::start()
{
    network_.listen(settings_.address_, schedulerPort(settings_));
    thread_ = std::thread([this] {
        const auto guard = asio::make_work_guard(context_);
        context_.run();
    });
}

void SchedulerThread::post(ViewPointer view)
{
    asio::post(context_, [this, view = std::move(view)] { handle(SchedulerView{view}); });
}

void SchedulerThread::handle(const SchedulerEvent &event)
{
    const Instant startedAt = BootClock::now();
    apply(startedAt, event);
    recordLoad(startedAt);
}

void SchedulerThread::apply(Instant now, const SchedulerEvent &event)
{
    SchedulerEffects effects;
    reduce(state_, now, event, effects);
    applyEffects(effects);
    timer_.arm(nextWake(state_));
}

void SchedulerThread::recordLoad(Instant startedAt)
{
    const Instant now = BootClock::now();
    recordEvent(loadReport_, now - startedAt);
    metrics_.observe("scheduler_event_seconds", "", now - startedAt);
    if (!loadReport_.lagProbeQueued_) {
        loadReport_.lagProbeQueued_ = true;
        asio::post(context_, [this, queuedAt = now] {
            const Instant handledAt = BootClock::now();
            const nanoseconds lag = handledAt - queuedAt;
            recordLag(loadReport_, lag);
            apply(handledAt, SchedulerLag{lag});
            metrics_.observe("scheduler_lag_seconds", "", lag);
        });
    }
    if (const auto text = takeReportIfDue(loadReport_, now))
        writeLog(LogLevel::Info,
                 "scheduler load " + *text + " planned=" + std::to_string(state_.jobs_.size())
                     + " granted=" + std::to_string(state_.granted_.size())
                     + " calls=" + std::to_string(state_.calls_.size())
                     + " dispatches=" + std::to_string(state_.dispatches_));
}

void SchedulerThread::applyEffects(SchedulerEffects &effects)
{
    for (SchedulerEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](const SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [&](StartStageCall &e) {
                           metrics_.count("stage_calls_total");
                           metrics_.count("stage_pieces_total", e.items_.size());
                           asio::co_spawn(context_, callStage(std::move(e)),
                                          LogException{"stage call"});
                       },
                       [&](FreeResults &e) {
                           asio::co_spawn(context_, freeResults(std::move(e)),
                                          LogException{"freeing of stage results"});
                       },
                       [&](const CloseConnections &e) {
                           client_.closeIdle(e.upstream_.agentAddress_, e.upstream_.agentPort_);
                       },
                       [&](const StoreQuarantine &e) { store_(e.quarantine_); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                   },
                   effect);
    }
}

asio::awaitable<void> SchedulerThread::callStage(StartStageCall call)
{
    const Instant startedAt = BootClock::now();
    const StageCallEnded ended = co_await performStageCall(client_, protocol_, std::move(call));
    metrics_.observe("stage_call_seconds", "", BootClock::now() - startedAt);
    if (ended.end_ != StageCallEnd::Done)
        metrics_.count("stage_calls_failed_total");
    handle(ended);
}

asio::awaitable<void> SchedulerThread::freeResults(FreeResults results)
{
    HttpCall request = protocol_.encodeFree_(results);
    request.reuse_ = true;
    const HttpCallResult result = co_await client_.perform(std::move(request));
    if (result.end_ != HttpCallEnd::Answered)
        writeLog(LogLevel::Warn,
                 "could not free stage results upstream=" + results.upstream_.name_ + " count="
                     + std::to_string(results.handles_.size()) + " reason=" + result.detail_);
}

} // namespace chervilspring
