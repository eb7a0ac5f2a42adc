#include "chervilspring/detail/process/entry_shard.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace chervilspring {

namespace {

// For writing the answers that a stop leaves; a caller that doesn't read doesn't hold it up.
constexpr nanoseconds lastAnswersTimeout = milliseconds(200);

std::string shardName(const Settings &settings, std::uint32_t shard)
{
    return settings.name_ + "." + std::to_string(shard);
}

EntrySettings entrySettings(const Settings &settings, std::uint32_t shard, std::uint64_t boot)
{
    EntrySettings entry;
    entry.name_ = shardName(settings, shard);
    entry.dataCenter_ = settings.dataCenter_;
    entry.boot_ = boot;
    entry.shard_ = shard;
    entry.shards_ = settings.trafficThreads_;
    entry.staleAfter_ = settings.staleAfter_;
    entry.seed_ = randomId();
    return entry;
}

unsigned httpStatusFor(std::uint16_t errorId)
{
    switch (static_cast<ErrorId>(errorId)) {
    case ErrorId::BadJson:
    case ErrorId::BadDeadline:
    case ErrorId::BadIdempotencyKey:
        return 400;
    case ErrorId::BadCredential:
        return 401;
    case ErrorId::RequestRefused:
    case ErrorId::KeyPastRetention:
        return 422;
    case ErrorId::UnknownPipeline:
    case ErrorId::UnknownPath:
        return 404;
    case ErrorId::MethodNotAllowed:
        return 405;
    case ErrorId::KeyReusedWithOtherBody:
    case ErrorId::StillRunning:
    case ErrorId::OutcomeUnknown:
        return 409;
    case ErrorId::AccountLimit:
        return 429;
    case ErrorId::DeadlineExceeded:
        return 504;
    case ErrorId::StageFailed:
        return 502;
    default:
        return 503;
    }
}

HttpAnswer errorAnswer(ErrorId id, const std::string &step, const std::string &detail)
{
    HttpAnswer answer;
    answer.status_ = httpStatusFor(static_cast<std::uint16_t>(id));
    answer.body_ = errorBody(static_cast<int>(id), "not_run", step, "", detail);
    return answer;
}

std::string errorBodyFor(const Answer &answer)
{
    return errorBody(answer.errorId_, toText(answer.truth_), answer.step_, answer.peer_,
                     answer.detail_, answer.requestId_);
}

HttpAnswer toHttpAnswer(const Answer &answer)
{
    HttpAnswer httpAnswer;
    httpAnswer.headers_.push_back({"X-Request-Id", answer.requestId_});
    if (answer.replayed_)
        httpAnswer.headers_.push_back({"X-Replayed", "true"});
    if (answer.errorId_ == 0) {
        httpAnswer.body_ = answer.body_;
        return httpAnswer;
    }
    httpAnswer.status_ = httpStatusFor(answer.errorId_);
    httpAnswer.body_ = errorBodyFor(answer);
    if (answer.retryAfter_ > milliseconds(0)) {
        const auto retrySeconds = std::chrono::ceil<seconds>(answer.retryAfter_);
        httpAnswer.headers_.push_back({"Retry-After", std::to_string(retrySeconds.count())});
    }
    return httpAnswer;
}

bool isJsonObject(const std::string &text)
{
    constexpr std::size_t maxNesting = 64; // levels of objects and arrays
    boost::system::error_code error;
    boost::json::parse_options options;
    options.max_depth = maxNesting;
    const auto value = boost::json::parse(text, error, {}, options);
    return !error && value.is_object();
}

// Parses a positive number of milliseconds. Returns false if the text is invalid. An empty text is
// valid and leaves the deadline as it is.
bool parseDeadline(const std::string &text, milliseconds &deadline)
{
    if (text.empty())
        return true;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0)
        return false;
    deadline = milliseconds(value);
    return true;
}

} // namespace

EntryShard::EntryShard(const Settings &settings, std::uint32_t shard, std::uint64_t boot,
                       NodeThread &node, Metrics &metrics)
    : settings_(settings), shard_(shard), node_(node), metrics_(metrics), context_(1),
      state_(makeEntry(entrySettings(settings, shard, boot))),
      network_(context_, PeerIdentity{shardName(settings, shard), boot}, settings.secret_,
               PeerHandlers{[this](const std::string &peer, Message message) {
                                onPeerMessage(peer, std::move(message));
                            },
                            [this](const std::string &peer) { handle(PeerLost{peer}); },
                            {}}),
      http_(context_, HttpLimits{settings.bodyLimit_, settings.readTimeout_},
            [this](const HttpExchangePointer &exchange) { onHttp(exchange); }),
      timer_(context_, [this] { handle(Wake{}); })
{ }

EntryShard::~EntryShard()
{
    boost::asio::post(context_, [this] {
        network_.close();
        context_.stop();
    });
    if (thread_.joinable())
        thread_.join();
}

std::uint16_t EntryShard::start(std::uint16_t port)
{
    const std::uint16_t boundPort =
        http_.listen(settings_.address_, port, settings_.trafficThreads_ > 1);
    thread_ = std::thread([this] {
        const auto guard = boost::asio::make_work_guard(context_);
        context_.run();
    });
    return boundPort;
}

void EntryShard::onProposalAnswered(const ProposalAnswered &event)
{
    boost::asio::post(context_, [this, event] { handle(event); });
}

void EntryShard::onViewPublished()
{
    boost::asio::post(context_, [this] { handle(Wake{}); });
}

void EntryShard::sendIfConnected(const std::string &peer, const Message &message)
{
    boost::asio::post(context_, [this, peer, message] {
        if (network_.connected(peer))
            network_.send(peer, message);
    });
}

void EntryShard::scheduleExit(Instant exitAt)
{
    boost::asio::post(context_, [this, exitAt] {
        ready_ = false;
        handle(ExitScheduled{exitAt});
    });
}

void EntryShard::stop(std::function<void()> onStopped)
{
    boost::asio::post(context_, [this, onStopped = std::move(onStopped)] {
        onStopped_ = onStopped;
        http_.stopAccepting();
        handle(StopRequested{});
    });
}

void EntryShard::applyPublishedView()
{
    const auto published = node_.publishedView();
    if (published == appliedView_)
        return;
    appliedView_ = published;
    for (const Upstream &upstream : published->view_->upstreams_)
        network_.setAddress(upstream.name_,
                            PeerAddress{upstream.agentAddress_, upstream.agentPort_});
    reduceAndApply(*published);
}

void EntryShard::handle(const EntryEvent &event)
{
    applyPublishedView();
    reduceAndApply(event);
    timer_.arm(nextWake(state_));
}

void EntryShard::reduceAndApply(const EntryEvent &event)
{
    EntryEffects effects;
    reduce(state_, BootClock::now(), wallNow(), event, effects);
    applyEffects(effects);
}

void EntryShard::applyEffects(EntryEffects &effects)
{
    for (EntryEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [&](SubmitProposal &e) { node_.post(std::move(e)); },
                       [&](const Answer &e) { deliver(e); },
                       [&](const StreamToCaller &e) { deliver(e); },
                       [&](const StageMeasured &e) { metrics_.add(e); },
                       [&](const RequestMeasured &e) { metrics_.add(e); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                       [&](const StopNow &) {
                           http_.whenIdle(state_.exitAt_ + lastAnswersTimeout, onStopped_);
                       },
                   },
                   effect);
    }
}

void EntryShard::onPeerMessage(const std::string &peer, Message message)
{
    if (std::holds_alternative<Heartbeat>(message)
        || std::holds_alternative<HeartbeatReply>(message)) {
        node_.post(PeerMessage{peer, std::move(message)});
        return;
    }
    if (const auto *ping = std::get_if<Ping>(&message)) {
        if (ping->load_.viewVersion_ > state_.view_->version_)
            node_.post(NewerVersionSeen{peer, ping->load_.viewVersion_});
        if (!ping->reply_)
            return;
    }
    handle(PeerMessage{peer, std::move(message)});
}

void EntryShard::deliver(const Answer &answer)
{
    const auto found = exchanges_.find(answer.token_);
    if (found == exchanges_.end())
        return;
    const HttpExchangePointer exchange = found->second;
    exchanges_.erase(found);
    if (!exchange->streaming()) {
        exchange->answer(toHttpAnswer(answer));
        return;
    }
    if (answer.errorId_ != 0)
        exchange->sendEvent(errorBodyFor(answer));
    exchange->sendEvent("[DONE]");
    exchange->endStream();
}

void EntryShard::deliver(const StreamToCaller &tokens)
{
    const auto found = exchanges_.find(tokens.token_);
    if (found == exchanges_.end())
        return;
    for (const std::string &token : tokens.tokens_)
        found->second->sendEvent(boost::json::serialize(
            boost::json::object{{"request", tokens.requestId_}, {"text", token}}));
}

void EntryShard::onHttp(const HttpExchangePointer &exchange)
{
    static const std::string pipelinesPrefix = "/v1/pipelines/";
    static const std::string requestsPrefix = "/v1/requests/";
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->answer(HttpAnswer{200, "text/plain", {}, "ok\n"});
    } else if (path == "/readyz") {
        applyPublishedView();
        const bool ready = ready_ && isReady(state_, BootClock::now());
        exchange->answer(
            HttpAnswer{ready ? 200u : 503u, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
    } else if (path == "/metrics") {
        metrics_.set("messages_sent", static_cast<double>(network_.traffic().messagesSent_));
        metrics_.set("bytes_sent", static_cast<double>(network_.traffic().bytesSent_));
        exchange->answer(HttpAnswer{200, "text/plain; version=0.0.4", {}, metrics_.text()});
    } else if (path == "/v1/usage") {
        exchange->answer(HttpAnswer{200, "application/json", {}, metrics_.json()});
    } else if (path.starts_with(pipelinesPrefix)) {
        onPipelineCall(exchange, path.substr(pipelinesPrefix.size()));
    } else if (path.starts_with(requestsPrefix)) {
        onTraceCall(exchange, path.substr(requestsPrefix.size()));
    } else {
        exchange->answer(errorAnswer(ErrorId::UnknownPath, "http", "no such path"));
    }
}

void EntryShard::onPipelineCall(const HttpExchangePointer &exchange, const std::string &pipeline)
{
    if (exchange->request().method() != boost::beast::http::verb::post) {
        exchange->answer(errorAnswer(ErrorId::MethodNotAllowed, "http", "use POST"));
        return;
    }
    CallerRequest request;
    if (!parseDeadline(exchange->header("X-Deadline-Ms"), request.deadline_)) {
        exchange->answer(errorAnswer(ErrorId::BadDeadline, "http",
                                     "X-Deadline-Ms is a positive number of milliseconds"));
        return;
    }
    if (!isJsonObject(exchange->request().body())) {
        exchange->answer(errorAnswer(ErrorId::BadJson, "http", "the body is not a JSON object"));
        return;
    }
    request.token_ = nextToken_++;
    request.pipeline_ = pipeline;
    request.credential_ = exchange->bearer();
    request.key_ = exchange->header("Idempotency-Key");
    request.stream_ = exchange->header("Accept").find("text/event-stream") != std::string::npos;
    request.body_ = exchange->request().body();
    const std::uint64_t token = request.token_;
    exchanges_[token] = exchange;
    exchange->onGone_ = [this, token] {
        exchanges_.erase(token);
        handle(CallerGone{token});
    };
    handle(request);
}

void EntryShard::onTraceCall(const HttpExchangePointer &exchange, const std::string &idAndSuffix)
{
    static const std::string suffix = "/explain";
    TraceQuery query;
    query.explain_ = idAndSuffix.ends_with(suffix);
    const auto id = parseRequestId(
        query.explain_ ? idAndSuffix.substr(0, idAndSuffix.size() - suffix.size()) : idAndSuffix);
    if (!id) {
        exchange->answer(errorAnswer(ErrorId::UnknownPath, "trace", "malformed request id"));
        return;
    }
    query.token_ = nextToken_++;
    query.request_ = *id;
    exchanges_[query.token_] = exchange;
    handle(query);
}

} // namespace chervilspring
