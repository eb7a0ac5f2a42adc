#include "chervilspring/detail/process/direct_thread.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/post.hpp>

#include <stdexcept>

namespace chervilspring {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr unsigned statusBadRequest = 400;
// The load balancer removes a server only after two failed readiness probes.
constexpr nanoseconds acceptAfterStop = milliseconds(3200);
// The process exits by itself this long before the grace period ends and it is killed.
constexpr nanoseconds exitBeforeGraceEnd = milliseconds(400);
// Requests that are still unfinished are answered this long before the process exits.
constexpr nanoseconds lastAnswersTime = milliseconds(100);
constexpr auto stopPollInterval = milliseconds(50);

DirectSettings directSettings(const Settings &settings)
{
    DirectSettings direct;
    direct.name_ = settings.name_;
    direct.retryRatio_ = settings.retryRatio_;
    direct.retrySlack_ = settings.retrySlack_;
    direct.retryWindow_ = settings.retryWindow_;
    direct.evenLoad_ = settings.evenLoad_;
    direct.seed_ = randomId();
    return direct;
}

PeerHandlers peerHandlers(std::function<void(const DirectEvent &)> handle)
{
    PeerHandlers handlers;
    handlers.onMessage_ = [handle](const std::string &peer, Message message) {
        handle(PeerMessage{peer, std::move(message)});
    };
    handlers.onLost_ = [handle](const std::string &peer) { handle(PeerLost{peer}); };
    return handlers;
}

} // namespace

DirectThread::DirectThread(const Settings &settings, const DirectProtocol &protocol,
                           NodeThread &node)
    : settings_(settings), protocol_(protocol), node_(node), context_(1),
      state_(makeDirect(directSettings(settings))),
      network_(context_, PeerIdentity{settings.name_, randomId()}, settings.secret_,
               peerHandlers([this](const DirectEvent &event) { handle(event); })),
      server_(context_,
              DirectHandlers{[this](const DirectExchangePointer &exchange) { onRequest(exchange); },
                             [this](std::uint64_t token) { onCallerGone(token); }}),
      probeServer_(context_, HttpLimits{},
                   [this](const HttpExchangePointer &exchange) { onProbe(exchange); }),
      metricsServer_(
          context_, HttpLimits{},
          [this](const HttpExchangePointer &exchange) {
              metrics_.set("connections_opened", static_cast<double>(client_.connectionsOpened()));
              metrics_.set("callers", static_cast<double>(server_.openConnections()));
              exchange->answer(HttpAnswer{200, "text/plain; version=0.0.4", {}, metrics_.text()});
          }),
      client_(context_, protocol,
              RunHandlers{[this](const RunStarted &event) { handle(event); },
                          [this](const RunEnded &event) { handle(event); },
                          [this](const RunSilent &event) { handle(event); },
                          [this](const UpstreamNoticed &event) { handle(event); }}),
      timer_(context_, [this] { handle(Wake{}); }), stopTimer_(context_)
{
    network_.setDefaultPort(schedulerPort(settings));
}

DirectThread::~DirectThread()
{
    asio::post(context_, [this] {
        network_.close();
        context_.stop();
    });
    if (thread_.joinable())
        thread_.join();
}

void DirectThread::start()
{
    server_.listen(tcp::endpoint(asio::ip::make_address(settings_.address_), settings_.httpPort_));
    probeServer_.listen(settings_.address_, settings_.readyPort_);
    if (settings_.metricsPort_ != 0)
        metricsServer_.listen(settings_.address_, settings_.metricsPort_);
    thread_ = std::thread([this] {
        const auto guard = asio::make_work_guard(context_);
        context_.run();
    });
}

void DirectThread::onViewPublished()
{
    asio::post(context_, [this] { applyPublishedView(); });
}

void DirectThread::applyPublishedView()
{
    const auto published = node_.publishedView();
    if (published == appliedView_)
        return;
    appliedView_ = published;
    handle(*published);
    server_.setLimits(state_.table_->view_->fleet_.limits_);
}

void DirectThread::handle(const DirectEvent &event)
{
    DirectEffects effects;
    reduce(state_, BootClock::now(), event, effects);
    applyEffects(effects);
    timer_.arm(nextWake(state_));
}

void DirectThread::applyEffects(DirectEffects &effects)
{
    // Applies an effect to its exchange. An effect that cannot be carried out is logged, since the
    // reducer assumes that it was.
    const auto withExchange = [this](const char *effect, std::uint64_t token, const auto &apply) {
        const auto found = exchanges_.find(token);
        if (found == exchanges_.end() || !apply(found->second))
            recordUnappliedEffect(effect, token);
    };
    const auto endExchange = [this](std::uint64_t token, const std::string &outcome) {
        recordRequestEnd(outcome, arrivalTimes_[token]);
        exchanges_.erase(token);
        arrivalTimes_.erase(token);
    };
    for (DirectEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](StartRun &e) {
                           withExchange("start_run", e.token_, [&](const auto &exchange) {
                               client_.start(std::move(e), exchange);
                               return true;
                           });
                       },
                       [&](const StopRun &e) { client_.stop(e.token_, e.attempt_); },
                       [&](const DeliverHeld &e) {
                           withExchange("deliver_held", e.token_, [&](const auto &exchange) {
                               return client_.deliver(e.token_, e.attempt_, exchange);
                           });
                       },
                       [&](const RefuseCall &e) {
                           withExchange("refuse_call", e.token_, [&](const auto &exchange) {
                               return exchange->refuse(e.status_, e.retryAfter_, e.reason_);
                           });
                       },
                       [&](const AbortCall &e) {
                           withExchange("abort_call", e.token_, [&](const auto &exchange) {
                               metrics_.count("responses_cut_total");
                               exchange->abort();
                               return true;
                           });
                       },
                       [&](const DirectEnded &e) { endExchange(e.token_, e.outcome_); },
                       [&](ProbeUpstream &e) {
                           client_.probe(e.upstream_,
                                         [this, run = std::move(e.run_)](bool reachable) {
                                             handle(UpstreamProbed{run, reachable});
                                         });
                       },
                       [&](SubmitProposal &e) { node_.post(std::move(e)); },
                       [&](const SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                   },
                   effect);
    }
}

void DirectThread::recordRequestEnd(const std::string &outcome, Instant startedAt)
{
    metrics_.count("requests_total{outcome=\"" + outcome + "\"}");
    if (startedAt != Instant{})
        metrics_.observe("request_seconds", "outcome=\"" + outcome + "\"",
                         BootClock::now() - startedAt);
}

void DirectThread::recordUnappliedEffect(const std::string &effect, std::uint64_t token)
{
    metrics_.count("unapplied_effects_total{effect=\"" + effect + "\"}");
    writeLog(LogLevel::Error,
             "decision=unapplied effect=" + effect + " token=" + std::to_string(token));
}

void DirectThread::onRequest(const DirectExchangePointer &exchange)
{
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(call, protocol_.decodeCall_(exchange->request()));
            call.token_ = exchange->token();
            call.bodyDigest_ = contentDigest(exchange->request().body());
            exchanges_[call.token_] = exchange;
            arrivalTimes_[call.token_] = BootClock::now();
            try {
                handle(call);
            } catch (const std::exception &error) {
                throw std::runtime_error("request=" + call.id_ + " " + error.what());
            }
            return {};
        },
        [&](const Error &error) {
            writeLog(LogLevel::Info,
                     "decision=end outcome=malformed status=400 detail=" + toString(error));
            recordRequestEnd("malformed", Instant{});
            exchange->refuse(statusBadRequest, nanoseconds(0), "malformed");
        });
}

void DirectThread::onCallerGone(std::uint64_t token)
{
    handle(CallerGone{token});
    // The reducer ends the request, unless it failed before it knew of it.
    exchanges_.erase(token);
    arrivalTimes_.erase(token);
}

void DirectThread::onProbe(const HttpExchangePointer &exchange)
{
    const bool ready = stopRequestedAt_ == Instant{} && canServe(state_);
    if (exchange->path() != protocol_.readyPath_)
        exchange->answer(HttpAnswer{404, "text/plain", {}, "no such path\n"});
    else
        exchange->answer(
            HttpAnswer{ready ? 200u : 503u, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
}

void DirectThread::stop(nanoseconds grace, std::function<void()> onStopped)
{
    asio::post(context_,
               [this, grace, requestedAt = BootClock::now(), onStopped = std::move(onStopped)] {
                   stopRequestedAt_ = requestedAt;
                   gracePeriod_ = grace;
                   onStopped_ = onStopped;
                   server_.closeAfterAnswers();
                   handle(DirectStop{stopRequestedAt_ + gracePeriod_ - exitBeforeGraceEnd
                                     - lastAnswersTime});
                   pollStop();
               });
}

// The readiness probe fails from the moment of the stop request. Requests are accepted until the
// load balancer has noticed; after that only the running ones are finished.
void DirectThread::pollStop()
{
    const nanoseconds elapsed = BootClock::now() - stopRequestedAt_;
    if (elapsed >= acceptAfterStop)
        server_.stop();
    const bool idle = exchanges_.empty() && server_.busyConnections() == 0;
    const bool drained = idle && elapsed >= acceptAfterStop;
    if (drained || elapsed >= gracePeriod_ - exitBeforeGraceEnd) {
        for (const DecisionLine &line : describeUnfinished(state_, BootClock::now()))
            writeLog(LogLevel::Warn, line.text_);
        writeLog(LogLevel::Info,
                 "drained unfinished=" + std::to_string(exchanges_.size())
                     + " busy_connections=" + std::to_string(server_.busyConnections())
                     + " took_ms=" + std::to_string(elapsed / milliseconds(1)));
        if (onStopped_)
            std::exchange(onStopped_, nullptr)();
        return;
    }
    stopTimer_.expires_after(stopPollInterval);
    stopTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            pollStop();
    });
}

} // namespace chervilspring
