#include "chervilspring/detail/process/direct_thread.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/post.hpp>

namespace chervilspring {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr nanoseconds acceptAfterStop = milliseconds(3200); // the balancer needs two misses
constexpr nanoseconds endBeforeGrace = milliseconds(400); // the process ends by itself before this
constexpr auto stopPoll = milliseconds(50);

DirectSettings directSettings(const Settings &settings)
{
    DirectSettings direct;
    direct.name_ = settings.name_;
    direct.retryRatio_ = settings.retryRatio_;
    direct.retrySlack_ = settings.retrySlack_;
    direct.retryWindow_ = settings.retryWindow_;
    direct.seed_ = randomId();
    return direct;
}

PeerHandlers peerHandlers(std::function<void(const DirectEvent &)> handle)
{
    PeerHandlers handlers;
    handlers.message_ = [handle](const std::string &peer, Message message) {
        handle(PeerMessage{peer, std::move(message)});
    };
    handlers.lost_ = [handle](const std::string &peer) { handle(PeerLost{peer}); };
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
                             [this](std::uint64_t token) { handle(CallerGone{token}); }}),
      probes_(context_, HttpLimits{},
              [this](const HttpExchangePointer &exchange) { onProbe(exchange); }),
      metricsServer_(
          context_, HttpLimits{},
          [this](const HttpExchangePointer &exchange) {
              metrics_.set("connections_opened", static_cast<double>(client_.opened()));
              metrics_.set("callers", static_cast<double>(server_.open()));
              exchange->answer(HttpAnswer{200, "text/plain; version=0.0.4", {}, metrics_.text()});
          }),
      client_(context_, protocol,
              RunHandlers{[this](const RunStarted &event) { handle(event); },
                          [this](const RunEnded &event) { handle(event); }}),
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
    probes_.listen(settings_.address_, settings_.readyPort_);
    if (settings_.metricsPort_ != 0)
        metricsServer_.listen(settings_.address_, settings_.metricsPort_);
    thread_ = std::thread([this] {
        const auto guard = asio::make_work_guard(context_);
        context_.run();
    });
}

void DirectThread::published()
{
    asio::post(context_, [this] { takeView(); });
}

void DirectThread::takeView()
{
    const auto published = node_.published();
    if (published == taken_)
        return;
    taken_ = published;
    handle(*published);
    server_.setLimits(state_.table_->view_->fleet_.limits_);
}

void DirectThread::handle(const DirectEvent &event)
{
    DirectEffects effects;
    reduce(state_, BootClock::now(), event, effects);
    carryOut(effects);
    timer_.arm(nextWake(state_));
}

void DirectThread::carryOut(DirectEffects &effects)
{
    const auto exchangeOf = [this](std::uint64_t token) {
        const auto found = exchanges_.find(token);
        return found == exchanges_.end() ? nullptr : found->second;
    };
    const auto release = [this](std::uint64_t token, const std::string &outcome) {
        noteEnd(outcome, arrivals_[token]);
        exchanges_.erase(token);
        arrivals_.erase(token);
    };
    for (DirectEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](StartRun &e) {
                           if (auto exchange = exchangeOf(e.token_))
                               client_.start(std::move(e), std::move(exchange));
                       },
                       [&](const StopRun &e) { client_.stop(e.token_, e.attempt_); },
                       [&](const DeliverHeld &e) {
                           if (const auto exchange = exchangeOf(e.token_))
                               client_.deliver(e.token_, e.attempt_, exchange);
                       },
                       [&](const RefuseCall &e) {
                           if (const auto exchange = exchangeOf(e.token_))
                               exchange->refuse(e.status_, e.retryAfter_, e.reason_);
                       },
                       [&](const AbortCall &e) {
                           if (const auto exchange = exchangeOf(e.token_))
                               exchange->abort();
                       },
                       [&](const DirectEnded &e) { release(e.token_, e.outcome_); },
                       [&](const ProbeUpstream &e) {
                           client_.probe(e.upstream_,
                                         [this, name = e.upstream_.name_,
                                          digest = e.digest_](bool reachable) {
                                             handle(UpstreamProbed{name, digest, reachable});
                                         });
                       },
                       [&](SubmitProposal &e) { node_.post(std::move(e)); },
                       [&](const SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                   },
                   effect);
    }
}

void DirectThread::noteEnd(const std::string &outcome, Instant startedAt)
{
    metrics_.count("requests_total{outcome=\"" + outcome + "\"}");
    if (startedAt != Instant{})
        metrics_.observe("request_seconds", "outcome=\"" + outcome + "\"",
                         BootClock::now() - startedAt);
}

void DirectThread::onRequest(const DirectExchangePointer &exchange)
{
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(call, protocol_.decodeCall_(exchange->request()));
            call.token_ = exchange->token();
            call.bodyDigest_ = contentDigest(exchange->request().body());
            exchanges_[call.token_] = exchange;
            arrivals_[call.token_] = BootClock::now();
            handle(call);
            return {};
        },
        [&](const Error &error) {
            writeLog(LogLevel::Info,
                     "decision=end outcome=malformed status=400 detail=" + toString(error));
            noteEnd("malformed", Instant{});
            exchange->refuse(statusBadRequest, nanoseconds(0), "malformed");
        });
}

void DirectThread::onProbe(const HttpExchangePointer &exchange)
{
    const bool ready = stopAskedAt_ == Instant{} && canServe(state_);
    if (exchange->path() != protocol_.readyPath_)
        exchange->answer(HttpAnswer{404, "text/plain", {}, "no such path\n"});
    else
        exchange->answer(
            HttpAnswer{ready ? 200u : 503u, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
}

void DirectThread::stop(nanoseconds grace, std::function<void()> stopped)
{
    asio::post(context_, [this, grace, stopped = std::move(stopped)] {
        stopAskedAt_ = BootClock::now();
        grace_ = grace;
        stopped_ = stopped;
        server_.closeAfterAnswers();
        stopStep();
    });
}

// Not ready at once; requests are taken until the balancer has noticed; then what is under way is
// finished.
void DirectThread::stopStep()
{
    const nanoseconds passed = BootClock::now() - stopAskedAt_;
    if (passed >= acceptAfterStop)
        server_.stop();
    const bool idle = exchanges_.empty() && server_.busy() == 0;
    const bool over = idle && passed >= acceptAfterStop;
    if (over || passed >= grace_ - endBeforeGrace) {
        writeLog(LogLevel::Info,
                 "drained unfinished=" + std::to_string(exchanges_.size())
                     + " took_ms=" + std::to_string(passed / milliseconds(1)));
        if (stopped_)
            std::exchange(stopped_, nullptr)();
        return;
    }
    stopTimer_.expires_after(stopPoll);
    stopTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            stopStep();
    });
}

} // namespace chervilspring
