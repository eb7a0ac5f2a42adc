#include "chervilspring/detail/net/run_client.hpp"

#include "chervilspring/detail/net/connect.hpp"
#include "chervilspring/detail/net/coroutine_end.hpp"
#include "chervilspring/detail/net/event_splitter.hpp"
#include "chervilspring/detail/net/forwarded_heads.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace chervilspring {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr auto connectTimeout = milliseconds(500); // short: a run that cannot connect is repeated
constexpr std::size_t maxIdlePerUpstream = 32; // idle connections
constexpr std::size_t readBufferBytes = 16384;
constexpr std::size_t maxHeldAnswerBytes = 8u << 20; // body of one answer that is not a stream
constexpr std::size_t maxTotalHeldBytes = 32u << 20; // a fifth of the memory of an entry
constexpr unsigned statusOk = 200; // also the lowest status of a final answer
constexpr std::string_view eventStream = "text/event-stream";

std::string connectionKey(const Upstream &upstream)
{
    return upstream.agentAddress_ + ":" + std::to_string(upstream.agentPort_) + "/"
        + upstream.name_;
}

// Whether an answer that only the end of the connection delimits ended before the request was
// written. That end may be a reset: the system reports a reset once, and if the failed write of the
// request takes the report, the next read returns an ordinary end.
bool endedTooEarly(const http::response_parser<http::buffer_body> &parser, bool requestWritten)
{
    return parser.is_done() && parser.need_eof() && !requestWritten;
}

} // namespace

struct RunClient::Run
{
    explicit Run(asio::io_context &context) : silenceTimer_(context) { }

    StartRun command_;
    DirectExchangePointer exchange_;
    UpstreamConnectionPointer connection_;
    std::string requestHead_; ///< head of the request as sent to the upstream
    bool requestSent_ = false; ///< writing the request was started, on any connection
    bool requestWritten_ = false; ///< the complete request was written
    bool stopped_ = false; ///< stop() was called for this run
    bool connectionReused_ = false; ///< the connection came from the pool
    std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
    MessageSize answerSize_; ///< bytes of the answer read so far
    std::unique_ptr<EventSplitter> eventSplitter_; ///< set if the answer is an event stream
    std::string answerHead_; ///< answer head for the caller; empty once it was sent
    asio::steady_timer silenceTimer_;
    bool reading_ = false; ///< waits for bytes of a stream
    Instant readingSince_{}; ///< start of that wait
};

struct RunClient::HeldAnswer
{
    HeldAnswer() = default;
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;
    ~HeldAnswer()
    {
        if (totalHeldBytes_)
            *totalHeldBytes_ -= countedBytes_;
    }

    // Adds bytes to the total of all held answers; the destructor subtracts them.
    void addBytes(const std::shared_ptr<std::size_t> &totalHeldBytes, std::size_t bytes)
    {
        totalHeldBytes_ = totalHeldBytes;
        *totalHeldBytes += bytes;
        countedBytes_ += bytes;
    }

    std::string head_; ///< status line and headers for the caller
    std::string body_;

private:
    std::shared_ptr<std::size_t> totalHeldBytes_; ///< total that countedBytes_ were added to
    std::size_t countedBytes_ = 0;
};

RunClient::RunClient(asio::io_context &context, const DirectProtocol &protocol,
                     RunHandlers handlers)
    : context_(context), protocol_(protocol), handlers_(std::move(handlers))
{ }

RunClient::~RunClient() = default;

void RunClient::start(StartRun command, DirectExchangePointer exchange)
{
    auto run = std::make_shared<Run>(context_);
    run->command_ = std::move(command);
    run->exchange_ = std::move(exchange);
    runs_[{run->command_.token_, run->command_.attempt_}] = run;
    asio::co_spawn(context_, perform(run), LogException{"run"});
}

void RunClient::stop(std::uint64_t token, std::uint32_t attempt)
{
    heldAnswers_.erase({token, attempt});
    const auto found = runs_.find({token, attempt});
    if (found == runs_.end())
        return;
    const RunPointer run = found->second;
    run->stopped_ = true;
    // A reused connection without an answer may have lost its state on the way: see
    // IdleConnections::closeAll().
    const bool noAnswerYet =
        run->connectionReused_ && run->answerHead_.empty() && !run->eventSplitter_;
    if (noAnswerYet)
        idle_.closeAll(connectionKey(run->command_.upstream_));
    if (run->connection_)
        run->connection_->stream_.close();
}

bool RunClient::deliver(std::uint64_t token, std::uint32_t attempt,
                        const DirectExchangePointer &exchange)
{
    const auto held = heldAnswers_.extract({token, attempt});
    if (held.empty()) {
        exchange->abort();
        return false;
    }
    return exchange->answer(std::move(held.mapped()->head_), held.mapped()->body_);
}

void RunClient::probe(const Upstream &upstream, std::function<void(bool reachable)> done)
{
    // A crash ends many runs at once; one connection tells for all of them.
    auto &waiting = probes_[connectionKey(upstream)];
    waiting.push_back(std::move(done));
    if (waiting.size() == 1)
        asio::co_spawn(context_, tryConnect(upstream), LogException{"probe"});
}

asio::awaitable<void> RunClient::tryConnect(Upstream upstream)
{
    co_await asio::post(context_, use_awaitable); // the result is never reported within probe()
    beast::tcp_stream stream(context_);
    stream.expires_after(connectTimeout);
    boost::system::error_code error;
    co_await connectTo(stream, upstream.agentAddress_, upstream.agentPort_, error);
    const auto probe = probes_.extract(connectionKey(upstream));
    for (const auto &done : probe.mapped())
        done(!error);
}

void RunClient::closeConnection(Run &run)
{
    if (run.connection_)
        run.connection_->stream_.close();
    run.connection_.reset();
}

// The end of a run that an exception has left.
RunEnded RunClient::failedRun(const Run &run, const std::string &reason)
{
    RunEnded end;
    end.token_ = run.command_.token_;
    end.attempt_ = run.command_.attempt_;
    end.end_ = run.requestSent_ ? RunEnd::Failed : RunEnd::NotSent;
    end.detail_ = reason;
    if (run.stopped_ || !run.exchange_->headSent())
        return end;
    // Which events were sent is not known exactly, so the answer can't be continued.
    run.exchange_->abort();
    end.resumable_ = false;
    end.end_ = RunEnd::Broken;
    return end;
}

asio::awaitable<void> RunClient::perform(RunPointer run)
{
    // Defers the start so that the owner's reducer is not re-entered while it applies effects.
    co_await asio::post(context_, use_awaitable);
    RunEnded end;
    try {
        end = co_await runAttempt(run);
    } catch (const std::exception &error) {
        logException("run", error);
        run->reading_ = false;
        run->silenceTimer_.cancel();
        end = failedRun(*run, error.what());
    }
    runs_.erase({run->command_.token_, run->command_.attempt_});
    closeConnection(*run);
    if (!run->stopped_)
        handlers_.onEnded_(end);
}

asio::awaitable<RunEnded> RunClient::runAttempt(RunPointer run)
{
    RunEnded end;
    end.token_ = run->command_.token_;
    end.attempt_ = run->command_.attempt_;
    bool noAnswerBytes = false;
    if (run->exchange_->ended()) {
        end.end_ = RunEnd::CallerGone;
        co_return end;
    }
    run->requestHead_ = forwardedRequestHead(run->exchange_->request(), protocol_, run->command_);
    if (run->stopped_ || !co_await connect(run, end))
        co_return end;
    bool headRead = co_await exchangeHeads(run, end, noAnswerBytes);
    // The upstream may have closed the idle connection; retry on a new one.
    if (!headRead && noAnswerBytes && run->connectionReused_ && !run->stopped_) {
        closeConnection(*run);
        idle_.closeAll(connectionKey(run->command_.upstream_));
        end.detail_.clear();
        headRead = co_await connect(run, end) && co_await exchangeHeads(run, end, noAnswerBytes);
        // The upstream may have executed what was sent first, so a refusal proves nothing.
        if (!headRead) {
            end.end_ = RunEnd::Failed;
            end.detail_ = "sent twice, an idle connection broke: " + end.detail_;
        }
    }
    if (!headRead)
        co_return end;
    end.responseBegun_ = true;
    const std::string_view type = run->parser_->get()[http::field::content_type];
    const bool streamed =
        run->command_.streaming_ && type.starts_with(eventStream) && end.status_ == statusOk;
    if (streamed)
        co_await forwardStream(run, end);
    else
        co_await readWholeAnswer(run, end);
    co_return end;
}

void RunClient::keepConnection(const RunPointer &run)
{
    const StartRun &command = run->command_;
    // An idle connection counts against the connection limit of the upstream, which other entries
    // need too, so at most half of the limit is kept.
    const std::size_t idleLimit = command.connectionLimit_ == 0
        ? maxIdlePerUpstream
        : std::min<std::size_t>(maxIdlePerUpstream, command.connectionLimit_ / 2);
    const bool reusable =
        run->parser_->is_done() && run->parser_->keep_alive() && run->requestWritten_;
    if (reusable && command.repeatable_)
        idle_.keep(connectionKey(command.upstream_), std::move(run->connection_),
                   run->parser_->get().base(), idleLimit);
}

asio::awaitable<bool> RunClient::connect(RunPointer run, RunEnded &end)
{
    const Upstream &upstream = run->command_.upstream_;
    // A request that must not run twice gets a new connection: if an idle one breaks, it is unknown
    // whether the upstream has read the request.
    run->connection_ = run->command_.repeatable_ ? idle_.take(connectionKey(upstream)) : nullptr;
    run->connectionReused_ = run->connection_ != nullptr;
    if (run->connectionReused_)
        co_return true;
    run->connection_ = std::make_shared<UpstreamConnection>(context_);
    ++connectionsOpened_;
    beast::tcp_stream &stream = run->connection_->stream_;
    stream.expires_after(std::min<nanoseconds>(connectTimeout, run->command_.remaining_));
    boost::system::error_code error;
    co_await connectTo(stream, upstream.agentAddress_, upstream.agentPort_, error);
    if (error || run->stopped_) {
        end.end_ = RunEnd::NotSent;
        end.detail_ = "connect: " + error.message();
        co_return false;
    }
    stream.expires_never();
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

// Writes the request while the answer is being read: an upstream may answer before it has read a
// long body. The handler keeps the run and the connection alive until the write has ended, which
// may be after the end of the run.
void RunClient::sendRequest(const RunPointer &run)
{
    run->requestSent_ = true;
    run->requestWritten_ = false;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(run->requestHead_), asio::buffer(run->exchange_->request().body())};
    asio::async_write(
        run->connection_->stream_, buffers,
        [run, connection = run->connection_](boost::system::error_code error, std::size_t) {
            if (run->connection_ == connection)
                run->requestWritten_ = !error;
        });
}

asio::awaitable<bool> RunClient::exchangeHeads(RunPointer run, RunEnded &end, bool &noAnswerBytes)
{
    UpstreamConnection &connection = *run->connection_;
    run->parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    run->parser_->body_limit(boost::none);
    if (run->exchange_->request().method() == http::verb::head)
        run->parser_->skip(true);
    sendRequest(run);
    boost::system::error_code error;
    run->answerSize_ = MessageSize{};
    co_await readHead(connection.stream_, connection.buffer_, *run->parser_, run->answerSize_,
                      error);
    noAnswerBytes = error && !run->parser_->got_some();
    if (error) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "answer head: " + error.message();
        end.responseBegun_ = run->parser_->got_some();
        co_return false;
    }
    const auto &head = run->parser_->get();
    const RunAnswer answer = protocol_.decodeAnswer_(head, run->command_.id_);
    end.status_ = head.result_int();
    if (!answer.notice_.isEmpty() && handlers_.onNoticed_)
        handlers_.onNoticed_(UpstreamNoticed{run->command_.upstream_, answer.notice_});
    // An interim answer, which the request doesn't ask for, or no valid status at all.
    if (end.status_ < statusOk) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "no final status: " + std::to_string(end.status_);
        co_return false;
    }
    // Without an id, only the first answer on a connection is known to belong to the request: an
    // upstream may write the refusal of an earlier one again.
    if (answer.matches_ && !answer.identified_ && run->connectionReused_) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "status " + std::to_string(end.status_)
            + " without a request id on a connection that was used before";
        co_return false;
    }
    if (answer.matches_ && (answer.notExecuted_ || answer.inputsGone_)) {
        end.end_ = answer.inputsGone_ ? RunEnd::InputsGone : RunEnd::NotExecuted;
        end.detail_ = "status " + std::to_string(end.status_);
        co_return false;
    }
    if (!answer.matches_ || !answer.fromUpstream_) {
        end.end_ = RunEnd::Failed;
        end.detail_ = answer.detail_;
        co_return false;
    }
    run->answerHead_ = forwardedAnswerHead(head);
    co_return true;
}

asio::awaitable<void> RunClient::readWholeAnswer(RunPointer run, RunEnded &end)
{
    UpstreamConnection &connection = *run->connection_;
    auto held = std::make_unique<HeldAnswer>();
    boost::system::error_code error;
    std::string readBuffer(readBufferBytes, '\0');
    const auto contentLength = run->parser_->content_length();
    bool withinLimits = !contentLength || *contentLength <= maxHeldAnswerBytes;
    while (!run->parser_->is_done() && withinLimits) {
        run->parser_->get().body().data = readBuffer.data();
        run->parser_->get().body().size = readBuffer.size();
        co_await parseOrReadSome(connection.stream_, connection.buffer_, *run->parser_,
                                 run->answerSize_, error);
        if (error == http::error::need_buffer)
            error = {};
        const std::size_t count = readBuffer.size() - run->parser_->get().body().size;
        run->answerSize_.bodyBytes_ += count;
        held->addBytes(heldBytes_, count);
        held->body_.append(readBuffer, 0, count);
        if (error)
            break;
        withinLimits = held->body_.size() <= maxHeldAnswerBytes && *heldBytes_ <= maxTotalHeldBytes
            && isWithinLimit(run->answerSize_);
    }
    if (error || !run->parser_->is_done()) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "answer body: "
            + (error ? error.message()
                     : std::string("too large, or the memory for held answers is exhausted"));
        co_return;
    }
    if (endedTooEarly(*run->parser_, run->requestWritten_)) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "answer body: the connection ended before the request was written";
        co_return;
    }
    held->head_ = run->answerHead_;
    end.end_ = RunEnd::Held;
    keepConnection(run);
    if (!run->stopped_)
        heldAnswers_[{run->command_.token_, run->command_.attempt_}] = std::move(held);
}

asio::awaitable<bool> RunClient::forwardEvents(RunPointer run, std::string events, bool last)
{
    if (events.empty() && !last)
        co_return true;
    std::string head = std::exchange(run->answerHead_, {});
    const bool firstEvents = !head.empty();
    if (run->exchange_->headSent())
        head.clear();
    // Before the write, which may take long: from now on no other answer can be sent.
    if (firstEvents && !run->stopped_)
        handlers_.onStarted_(RunStarted{run->command_.token_, run->command_.attempt_});
    if (run->stopped_)
        co_return false;
    co_return co_await run->exchange_->stream(std::move(head), std::move(events), last);
}

void RunClient::watchSilence(const RunPointer &run)
{
    const StartRun &command = run->command_;
    if (command.silenceLimit_ == nanoseconds(0) || !run->answerHead_.empty())
        return;
    run->silenceTimer_.expires_after(command.silenceLimit_);
    run->silenceTimer_.async_wait([this, run](boost::system::error_code error) {
        // Bytes may have arrived, and the timer may have been set again, while this handler was
        // waiting to be called.
        const bool silent =
            run->reading_ && run->silenceTimer_.expiry() <= asio::steady_timer::clock_type::now();
        if (error || !silent)
            return;
        handlers_.onSilent_(
            RunSilent{run->command_.token_, run->command_.attempt_, run->eventSplitter_->lastId(),
                      run->eventSplitter_->isResumable(), BootClock::now() - run->readingSince_});
        if (!run->stopped_)
            watchSilence(run);
    });
}

asio::awaitable<void> RunClient::forwardStream(RunPointer run, RunEnded &end)
{
    UpstreamConnection &connection = *run->connection_;
    const bool headAlreadySent = run->exchange_->headSent();
    run->eventSplitter_ = std::make_unique<EventSplitter>(run->command_.lastEventId_);
    boost::system::error_code error;
    std::string readBuffer(readBufferBytes, '\0');
    bool callerReachable = true;
    const auto isIntact = [&] {
        return !run->eventSplitter_->hasGap() && !run->eventSplitter_->isEventTooLong()
            && isWithinLimit(run->answerSize_);
    };
    while (!run->parser_->is_done() && callerReachable && !error && isIntact()) {
        run->parser_->get().body().data = readBuffer.data();
        run->parser_->get().body().size = readBuffer.size();
        run->reading_ = true;
        run->readingSince_ = BootClock::now();
        watchSilence(run);
        co_await parseOrReadSome(connection.stream_, connection.buffer_, *run->parser_,
                                 run->answerSize_, error);
        run->reading_ = false;
        run->silenceTimer_.cancel();
        if (error == http::error::need_buffer)
            error = {};
        const std::size_t count = readBuffer.size() - run->parser_->get().body().size;
        run->answerSize_.bodyBytes_ += count;
        run->eventSplitter_->add(std::string_view(readBuffer).substr(0, count));
        if (!run->parser_->is_done() && count > 0)
            callerReachable = co_await forwardEvents(run, run->eventSplitter_->takeEvents(), false);
    }
    std::string lastEvents = run->eventSplitter_->takeEvents();
    // Without a length or chunks, a stream whose upstream failed may end like a complete one.
    const bool endsInEvent = run->parser_->need_eof() && run->eventSplitter_->hasIncompleteEvent();
    const bool tooEarly = endedTooEarly(*run->parser_, run->requestWritten_);
    bool complete = run->parser_->is_done() && !error && isIntact() && !endsInEvent && !tooEarly;
    if (complete) {
        lastEvents += run->eventSplitter_->takeRemainder();
        complete = isIntact();
    }
    end.lastEventId_ = run->eventSplitter_->lastId();
    end.resumable_ = run->eventSplitter_->isResumable();
    if (callerReachable)
        callerReachable = co_await forwardEvents(run, std::move(lastEvents), complete);
    if (complete && callerReachable) {
        end.end_ = RunEnd::Delivered;
        keepConnection(run);
        co_return;
    }
    const bool answerStarted = headAlreadySent || run->exchange_->headSent();
    end.end_ = answerStarted ? RunEnd::Broken : RunEnd::Failed;
    if (!callerReachable)
        end.end_ = RunEnd::CallerGone;
    else if (run->eventSplitter_->isEventTooLong())
        end.detail_ = "stream: an event exceeds the size limit";
    else if (run->eventSplitter_->hasGap())
        end.detail_ = "stream: events are missing after id " + end.lastEventId_;
    else if (!error && endsInEvent)
        end.detail_ = "stream: the connection was closed in an event";
    else if (!error && tooEarly)
        end.detail_ = "stream: the connection ended before the request was written";
    else
        end.detail_ = "stream: " + error.message();
}

} // namespace chervilspring
