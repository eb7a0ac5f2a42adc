#include "chervilspring/detail/net/run_client.hpp"

#include "chervilspring/detail/net/event_splitter.hpp"
#include "chervilspring/detail/net/forwarded_heads.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

constexpr auto connectLimit = milliseconds(500); // a connection that is lost is dialled anew
constexpr std::size_t maxIdle = 32; // connections kept open to one upstream
constexpr std::size_t readBytes = 16384;
constexpr std::size_t maxHeldAnswer = 8u << 20; // bytes of an answer that isn't a stream
constexpr std::size_t maxHeldBytes = 32u << 20; // of all of them: a fifth of an entry's memory
constexpr unsigned statusOk = 200;
constexpr std::string_view eventStream = "text/event-stream";

std::string keyOf(const Upstream &upstream)
{
    return upstream.agentAddress_ + ":" + std::to_string(upstream.agentPort_) + "/"
        + upstream.name_;
}

} // namespace

struct RunClient::Run
{
    StartRun order_;
    DirectExchangePointer exchange_;
    UpstreamConnectionPointer connection_;
    std::string head_; ///< of the request, as it is sent
    bool written_ = false; ///< the whole request is out
    bool stopped_ = false;
    bool reused_ = false; ///< the connection was open before
    std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
    ReadAmount amount_; ///< of the answer
    std::unique_ptr<EventSplitter> events_;
    std::string answerHead_; ///< for the caller; empty once it went out
};

struct RunClient::Held
{
    Held() = default;
    Held(const Held &) = delete;
    Held &operator=(const Held &) = delete;
    ~Held()
    {
        if (total_)
            *total_ -= counted_;
    }

    // Counts bytes among those that all answers hold, until this one is gone.
    void hold(const std::shared_ptr<std::size_t> &total, std::size_t bytes)
    {
        total_ = total;
        *total += bytes;
        counted_ += bytes;
    }

    std::string head_;
    std::string body_;

private:
    std::shared_ptr<std::size_t> total_;
    std::size_t counted_ = 0;
};

RunClient::RunClient(asio::io_context &context, const DirectProtocol &protocol,
                     RunHandlers handlers)
    : context_(context), protocol_(protocol), handlers_(std::move(handlers))
{ }

RunClient::~RunClient() = default;

void RunClient::start(StartRun order, DirectExchangePointer exchange)
{
    auto run = std::make_shared<Run>();
    run->order_ = std::move(order);
    run->exchange_ = std::move(exchange);
    run->head_ = requestHead(run->exchange_->request(), protocol_, run->order_);
    runs_[{run->order_.token_, run->order_.attempt_}] = run;
    asio::co_spawn(context_, perform(run), asio::detached);
}

void RunClient::stop(std::uint64_t token, std::uint32_t attempt)
{
    held_.erase({token, attempt});
    const auto found = runs_.find({token, attempt});
    if (found == runs_.end())
        return;
    const RunPointer run = found->second;
    run->stopped_ = true;
    const bool silent = run->reused_ && run->answerHead_.empty() && !run->exchange_->headSent();
    if (silent)
        idle_.drop(keyOf(run->order_.upstream_));
    if (run->connection_)
        run->connection_->stream_.close();
}

void RunClient::deliver(std::uint64_t token, std::uint32_t attempt,
                        const DirectExchangePointer &exchange)
{
    const auto found = held_.find({token, attempt});
    if (found == held_.end())
        return;
    exchange->answer(std::move(found->second->head_), found->second->body_);
    held_.erase(found);
}

void RunClient::probe(const Upstream &upstream, std::function<void(bool reachable)> done)
{
    asio::co_spawn(context_, tryConnect(upstream, std::move(done)), asio::detached);
}

asio::awaitable<void> RunClient::tryConnect(Upstream upstream,
                                            std::function<void(bool reachable)> done)
{
    beast::tcp_stream stream(context_);
    stream.expires_after(connectLimit);
    boost::system::error_code error;
    co_await stream.async_connect(
        tcp::endpoint(asio::ip::make_address(upstream.agentAddress_), upstream.agentPort_),
        asio::redirect_error(use_awaitable, error));
    done(!error);
}

asio::awaitable<void> RunClient::perform(RunPointer run)
{
    // The owner's reducer is never called from within its own effect.
    co_await asio::post(context_, use_awaitable);
    RunEnded end = co_await attempt(run);
    runs_.erase({run->order_.token_, run->order_.attempt_});
    run->connection_.reset();
    if (!run->stopped_)
        handlers_.ended_(end);
}

asio::awaitable<RunEnded> RunClient::attempt(RunPointer run)
{
    RunEnded end;
    end.token_ = run->order_.token_;
    end.attempt_ = run->order_.attempt_;
    bool unanswered = false;
    if (run->stopped_ || !co_await connect(run, end))
        co_return end;
    bool headRead = co_await exchangeHeads(run, end, unanswered);
    // An idle connection may have been closed by the upstream; a new one decides.
    if (!headRead && unanswered && run->reused_ && !run->stopped_) {
        run->connection_.reset();
        idle_.drop(keyOf(run->order_.upstream_));
        end.detail_.clear();
        if (!co_await connect(run, end))
            co_return end;
        headRead = co_await exchangeHeads(run, end, unanswered);
    }
    if (!headRead)
        co_return end;
    const std::string_view type = run->parser_->get()[http::field::content_type];
    const bool streamed =
        run->order_.streaming_ && type.starts_with(eventStream) && end.status_ == statusOk;
    if (streamed)
        co_await passStream(run, end);
    else
        co_await readWhole(run, end);
    co_return end;
}

void RunClient::keep(const RunPointer &run)
{
    const StartRun &order = run->order_;
    // Connections that only take the place of others' are not kept: the upstream counts them all.
    const std::size_t places = order.connectionLimit_ == 0
        ? maxIdle
        : std::min<std::size_t>(maxIdle, order.connectionLimit_ / 2);
    const bool reusable = run->parser_->is_done() && run->parser_->keep_alive() && run->written_;
    if (reusable && order.repeatable_)
        idle_.keep(keyOf(order.upstream_), std::move(run->connection_), run->parser_->get().base(),
                   places);
}

asio::awaitable<bool> RunClient::connect(RunPointer run, RunEnded &end)
{
    const Upstream &upstream = run->order_.upstream_;
    // A request that must not run twice gets a connection of its own: if one that was idle breaks,
    // nobody can tell whether the request was read.
    run->connection_ = run->order_.repeatable_ ? idle_.take(keyOf(upstream)) : nullptr;
    run->reused_ = run->connection_ != nullptr;
    if (run->reused_)
        co_return true;
    run->connection_ = std::make_unique<UpstreamConnection>(context_);
    ++opened_;
    beast::tcp_stream &stream = run->connection_->stream_;
    stream.expires_after(std::min<nanoseconds>(connectLimit, run->order_.remaining_));
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(upstream.agentAddress_),
                                 upstream.agentPort_);
    co_await stream.async_connect(endpoint, asio::redirect_error(use_awaitable, error));
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

// Writes the request while the answer is awaited: an upstream may answer before it has read a long
// body. The run stays alive until the write has ended.
void RunClient::send(const RunPointer &run)
{
    run->written_ = false;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(run->head_), asio::buffer(run->exchange_->request().body())};
    asio::async_write(
        run->connection_->stream_, buffers,
        [run](boost::system::error_code error, std::size_t) { run->written_ = !error; });
}

asio::awaitable<bool> RunClient::exchangeHeads(RunPointer run, RunEnded &end, bool &unanswered)
{
    UpstreamConnection &connection = *run->connection_;
    run->parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    run->parser_->body_limit(boost::none);
    if (run->exchange_->request().method() == http::verb::head)
        run->parser_->skip(true);
    send(run);
    boost::system::error_code error;
    run->amount_ = ReadAmount{};
    co_await readHead(connection.stream_, connection.buffer_, *run->parser_, run->amount_, error);
    unanswered = error && !run->parser_->got_some();
    if (error) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "answer head: " + error.message();
        co_return false;
    }
    const auto &head = run->parser_->get();
    const RunAnswer answer = protocol_.decodeAnswer_(head, run->order_.id_);
    end.status_ = head.result_int();
    if (answer.matches_ && (answer.notExecuted_ || answer.inputsGone_)) {
        end.end_ = answer.inputsGone_ ? RunEnd::InputsGone : RunEnd::NotExecuted;
        end.detail_ = "status " + std::to_string(end.status_);
        co_return false;
    }
    if (!answer.matches_ || !answer.genuine_) {
        end.end_ = RunEnd::Failed;
        end.detail_ = answer.detail_;
        co_return false;
    }
    run->answerHead_ = answerHead(head);
    co_return true;
}

asio::awaitable<void> RunClient::readWhole(RunPointer run, RunEnded &end)
{
    UpstreamConnection &connection = *run->connection_;
    auto held = std::make_unique<Held>();
    boost::system::error_code error;
    std::string piece(readBytes, '\0');
    const auto announced = run->parser_->content_length();
    bool fits = !announced || *announced <= maxHeldAnswer;
    while (!run->parser_->is_done() && fits) {
        run->parser_->get().body().data = piece.data();
        run->parser_->get().body().size = piece.size();
        co_await readStep(connection.stream_, connection.buffer_, *run->parser_, run->amount_,
                          error);
        if (error == http::error::need_buffer)
            error = {};
        const std::size_t count = piece.size() - run->parser_->get().body().size;
        run->amount_.body_ += count;
        held->hold(heldBytes_, count);
        held->body_.append(piece, 0, count);
        if (error)
            break;
        fits = held->body_.size() <= maxHeldAnswer && *heldBytes_ <= maxHeldBytes
            && isAllowed(run->amount_);
    }
    if (error || !run->parser_->is_done()) {
        end.end_ = RunEnd::Failed;
        end.detail_ = "answer body: "
            + (error ? error.message() : std::string("too large, or too much is held"));
        co_return;
    }
    held->head_ = run->answerHead_;
    end.end_ = RunEnd::Held;
    keep(run);
    if (!run->stopped_)
        held_[{run->order_.token_, run->order_.attempt_}] = std::move(held);
}

// Passes on what is complete. Returns false if the caller can't be reached.
asio::awaitable<bool> RunClient::passEvents(RunPointer run, RunEnded &end, bool last)
{
    std::string events = run->events_->takeEvents();
    if (last)
        events += run->events_->takeRest();
    end.lastEventId_ = run->events_->lastId();
    if (events.empty() && !last)
        co_return true;
    const bool first = !run->answerHead_.empty();
    const bool continued = run->exchange_->headSent();
    std::string head = std::exchange(run->answerHead_, {});
    if (continued)
        head.clear();
    if (!co_await run->exchange_->stream(std::move(head), std::move(events), last))
        co_return false;
    if (first && !run->stopped_)
        handlers_.started_(RunStarted{run->order_.token_, run->order_.attempt_});
    co_return true;
}

asio::awaitable<void> RunClient::passStream(RunPointer run, RunEnded &end)
{
    UpstreamConnection &connection = *run->connection_;
    const bool continued = run->exchange_->headSent();
    run->events_ = std::make_unique<EventSplitter>(run->order_.lastEventId_);
    boost::system::error_code error;
    std::string piece(readBytes, '\0');
    bool reachable = true;
    const auto isSound = [&] {
        return !run->events_->hasGap() && !run->events_->isTooLong() && isAllowed(run->amount_);
    };
    while (!run->parser_->is_done() && reachable && !error && isSound()) {
        run->parser_->get().body().data = piece.data();
        run->parser_->get().body().size = piece.size();
        if (run->order_.gapLimit_ > nanoseconds(0) && run->answerHead_.empty())
            connection.stream_.expires_after(run->order_.gapLimit_);
        co_await readStep(connection.stream_, connection.buffer_, *run->parser_, run->amount_,
                          error);
        if (error == http::error::need_buffer)
            error = {};
        const std::size_t count = piece.size() - run->parser_->get().body().size;
        run->amount_.body_ += count;
        run->events_->add(std::string_view(piece).substr(0, count));
        if (!run->parser_->is_done() && count > 0)
            reachable = co_await passEvents(run, end, false);
    }
    connection.stream_.expires_never();
    const bool whole = run->parser_->is_done() && !error && isSound();
    if (whole && reachable)
        reachable = co_await passEvents(run, end, true);
    if (whole && reachable) {
        end.end_ = RunEnd::Delivered;
        keep(run);
        co_return;
    }
    const bool begun = continued || run->exchange_->headSent();
    end.end_ = begun ? RunEnd::Broken : RunEnd::Failed;
    if (!reachable)
        end.detail_ = "the caller can't be reached";
    else if (run->events_->isTooLong())
        end.detail_ = "stream: an event without end";
    else
        end.detail_ = "stream: " + error.message();
}

} // namespace chervilspring
