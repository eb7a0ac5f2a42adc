#include "chervilspring/detail/process/agent_thread.hpp"

#include "chervilspring/log.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace chervilspring {

namespace asio = boost::asio;

namespace {

constexpr char loopbackAddress[] = "127.0.0.1"; // the upstream runs on the same VM
// Maximum part of an upstream's error body that is passed on.
constexpr std::size_t maxErrorDetailBytes = 200;

AgentSettings agentSettings(const Settings &settings, std::uint64_t boot)
{
    AgentSettings agent;
    agent.name_ = settings.name_;
    agent.dataCenter_ = settings.dataCenter_;
    agent.boot_ = boot;
    agent.address_ = settings.address_;
    agent.port_ = settings.port_;
    agent.queueLimit_ = settings.queueLimit_;
    agent.staleAfter_ = settings.staleAfter_;
    return agent;
}

HttpCall makeHttpCall(const StartCall &start, std::uint16_t port)
{
    HttpCall call;
    call.address_ = loopbackAddress;
    call.port_ = port;
    call.target_ = start.stream_ ? "/v1/completions" : "/v1/stages/" + start.stageName_;
    call.headers_ = {{"X-Request-Id", toString(start.id_)},
                     {"X-Priority", std::to_string(start.priority_)},
                     {"X-Deadline-Ms", std::to_string(start.remaining_ / milliseconds(1))}};
    call.limit_ = start.remaining_;
    call.body_ = start.body_;
    if (start.stream_) {
        boost::json::object body;
        body["prompt"] = start.body_;
        body["stream"] = true;
        body["resume_from"] = start.resumeOffset_;
        body["priority"] = start.priority_;
        call.body_ = boost::json::serialize(body);
    }
    return call;
}

// Extracts the text from the data of one event of an OpenAI-style completion stream. Returns
// nothing if the event has no text.
std::optional<std::string> parseCompletionToken(const std::string &data)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(data, error);
    if (error || !value.is_object())
        return std::nullopt;
    const auto *choices = value.as_object().if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty())
        return std::nullopt;
    const auto *first = choices->as_array().front().if_object();
    const auto *text = first ? first->if_contains("text") : nullptr;
    if (!text || !text->is_string())
        return std::nullopt;
    return std::string(text->as_string());
}

// Converts the result of an upstream call. streamEnded: the call is streamed and [DONE] has
// arrived.
CallEnded toCallEnded(const AttemptId &id, const HttpCallResult &result, bool streamEnded,
                      bool stream)
{
    switch (result.end_) {
    case HttpCallEnd::Unreachable:
        return CallEnded{id, ResultKind::NotRun, {}, result.detail_};
    case HttpCallEnd::Broken:
        return CallEnded{id, ResultKind::UpstreamCrashed, {}, "connection ended in the middle"};
    case HttpCallEnd::TimedOut:
        return CallEnded{id, ResultKind::Failed, {}, "the upstream did not answer in time"};
    case HttpCallEnd::Answered:
        break;
    }
    if (result.status_ / 100 != 2)
        return CallEnded{id,
                         ResultKind::Failed,
                         {},
                         "upstream answered " + std::to_string(result.status_) + " "
                             + result.body_.substr(0, maxErrorDetailBytes)};
    if (stream && !streamEnded)
        return CallEnded{id, ResultKind::Failed, {}, "the stream ended without [DONE]"};
    return CallEnded{id, ResultKind::Ok, result.body_, {}};
}

} // namespace

AgentThread::AgentThread(const Settings &settings, std::uint64_t boot, NodeThread &node)
    : settings_(settings), node_(node), context_(1),
      state_(makeAgent(agentSettings(settings, boot))),
      network_(context_, PeerIdentity{settings.name_, boot}, settings.secret_,
               PeerHandlers{[this](const std::string &peer, Message message) {
                                onPeerMessage(peer, std::move(message));
                            },
                            [](const std::string &) {}, [this] { return currentLoad(state_); }}),
      http_(context_, HttpLimits{settings.bodyLimit_, settings.readTimeout_},
            [this](const HttpExchangePointer &exchange) { onHttp(exchange); }),
      client_(context_), timer_(context_, [this] { handle(Wake{}); })
{ }

AgentThread::~AgentThread()
{
    asio::post(context_, [this] {
        network_.close();
        context_.stop();
    });
    if (thread_.joinable())
        thread_.join();
}

std::uint16_t AgentThread::start()
{
    state_.settings_.port_ = network_.listen(settings_.address_, settings_.port_);
    const std::uint16_t port = http_.listen(loopbackAddress, settings_.httpPort_);
    thread_ = std::thread([this] {
        const auto guard = asio::make_work_guard(context_);
        context_.run();
    });
    return port;
}

void AgentThread::onViewPublished()
{
    asio::post(context_, [this] { handle(Wake{}); });
}

void AgentThread::sendIfConnected(const std::string &peer, const Message &message)
{
    asio::post(context_, [this, peer, message] {
        if (network_.connected(peer))
            network_.send(peer, message);
    });
}

void AgentThread::stop(Instant exitAt, std::function<void()> onStopped)
{
    asio::post(context_, [this, exitAt, onStopped = std::move(onStopped)] {
        onStopped_ = onStopped;
        handle(ExitScheduled{exitAt});
        handle(StopRequested{});
    });
}

void AgentThread::applyPublishedView()
{
    const auto published = node_.publishedView();
    if (published == appliedView_)
        return;
    appliedView_ = published;
    reduceAndApply(*published);
}

void AgentThread::handle(const AgentEvent &event)
{
    applyPublishedView();
    reduceAndApply(event);
    timer_.arm(nextWake(state_));
}

void AgentThread::reduceAndApply(const AgentEvent &event)
{
    AgentEffects effects;
    reduce(state_, BootClock::now(), event, effects);
    applyEffects(effects);
}

void AgentThread::applyEffects(AgentEffects &effects)
{
    for (AgentEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](const SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [&](const StartCall &e) { startCall(e); },
                       [&](const CancelCall &e) {
                           const auto found = callCancellations_.find(e.id_);
                           if (found != callCancellations_.end())
                               found->second->emit(asio::cancellation_type::terminal);
                       },
                       [&](const Announce &e) { node_.post(AnnouncementChanged{e.upstream_}); },
                       [&](SubmitProposal &e) { node_.post(std::move(e)); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                       [&](const StopNow &) { onStopped_(); },
                   },
                   effect);
    }
}

void AgentThread::onPeerMessage(const std::string &peer, Message message)
{
    if (std::holds_alternative<Heartbeat>(message)
        || std::holds_alternative<HeartbeatReply>(message)) {
        node_.post(PeerMessage{peer, std::move(message)});
        return;
    }
    if (std::holds_alternative<Ping>(message))
        return;
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        if (dispatch->viewVersion_ > state_.view_->version_)
            node_.post(NewerVersionSeen{peer, dispatch->viewVersion_});
    }
    handle(PeerMessage{peer, std::move(message)});
}

void AgentThread::startCall(const StartCall &call)
{
    auto signal = std::make_shared<asio::cancellation_signal>();
    callCancellations_[call.id_] = signal;
    asio::co_spawn(context_, callUpstream(call),
                   asio::bind_cancellation_slot(signal->slot(), [signal](std::exception_ptr) {}));
}

asio::awaitable<void> AgentThread::callUpstream(StartCall call)
{
    HttpCall httpCall = makeHttpCall(call, upstreamPort_);
    // HttpClient repeats a call whose idle connection breaks, so a call that must not be repeated
    // gets a new connection: if connecting fails, nothing was sent.
    const Attempt &attempt = state_.attempts_.at(call.id_);
    httpCall.reuse_ = attempt.dispatch_.idempotent_ && !call.stream_;
    bool streamEnded = false;
    std::function<void(const std::string &)> onEvent;
    if (call.stream_) {
        onEvent = [&](const std::string &data) {
            if (data == "[DONE]")
                streamEnded = true;
            else if (const auto token = parseCompletionToken(data))
                handle(CallTokens{call.id_, {*token}});
        };
    }
    CallEnded ended{call.id_, ResultKind::Failed, {}, "cancelled"};
    try {
        const HttpCallResult result = co_await client_.perform(std::move(httpCall), onEvent);
        ended = toCallEnded(call.id_, result, streamEnded, call.stream_);
    } catch (const std::exception &) {
        // Cancellation surfaces as an exception; ended already says "cancelled".
    }
    callCancellations_.erase(call.id_);
    handle(ended);
}

void AgentThread::onHttp(const HttpExchangePointer &exchange)
{
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->answer(HttpAnswer{200, "text/plain", {}, "ok\n"});
    } else if (path == "/readyz") {
        const bool serving = state_.phase_ == UpstreamPhase::Serving && !state_.stopping_;
        exchange->answer(
            HttpAnswer{serving ? 200u : 503u, "text/plain", {}, serving ? "ready\n" : "no\n"});
    } else if (path == "/metrics") {
        const Load load = currentLoad(state_);
        metrics_.set("agent_queued", load.queued_);
        metrics_.set("agent_running", load.running_);
        metrics_.set("agent_attempts_known", static_cast<double>(state_.attempts_.size()));
        metrics_.set("messages_sent", static_cast<double>(network_.traffic().messagesSent_));
        metrics_.set("bytes_sent", static_cast<double>(network_.traffic().bytesSent_));
        exchange->answer(HttpAnswer{200, "text/plain; version=0.0.4", {}, metrics_.text()});
    } else if (path == "/announce") {
        onAnnounce(exchange);
    } else if (path == "/leave") {
        handle(UpstreamLeaving{});
        exchange->answer(HttpAnswer{200, "application/json", {}, "{}"});
    } else {
        exchange->answer(HttpAnswer{404, "text/plain", {}, "no such path\n"});
    }
}

void AgentThread::onAnnounce(const HttpExchangePointer &exchange)
{
    UpstreamAnnounced event;
    try {
        const auto value = boost::json::parse(exchange->request().body());
        const auto &object = value.as_object();
        upstreamPort_ = object.at("port").to_number<std::uint16_t>();
        event.concurrency_ = object.at("concurrency").to_number<std::uint32_t>();
        if (const auto *labels = object.if_contains("labels")) {
            for (const auto &item : labels->as_object())
                event.labels_.push_back(
                    Label{std::string(item.key()), std::string(item.value().as_string())});
        }
    } catch (const std::exception &) {
        exchange->answer(
            HttpAnswer{400,
                       "application/json",
                       {},
                       errorBody(static_cast<int>(ErrorId::BadJson), "not_run", "announce", "",
                                 "expected {\"port\": n, \"concurrency\": n, \"labels\": {...}}")});
        return;
    }
    handle(event);
    // Upstreams repeat their announcement about as often as heartbeats are sent, so this keeps the
    // load in the heartbeats current.
    node_.post(LoadChanged{currentLoad(state_)});
    exchange->answer(HttpAnswer{200, "application/json", {}, "{}"});
}

} // namespace chervilspring
