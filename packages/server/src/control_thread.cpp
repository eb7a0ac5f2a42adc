#include "chervilspring/detail/process/control_thread.hpp"

#include "chervilspring/detail/process/node_thread.hpp"
#include "chervilspring/detail/process/operator_commands.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/json.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace chervilspring {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr nanoseconds schedulerViewInterval = milliseconds(50); // between views for the scheduler
// For writing the answers that a stop leaves; a caller that doesn't read doesn't hold it up.
constexpr nanoseconds lastAnswersTimeout = milliseconds(500);

ControlSettings controlSettings(const Settings &settings, const LoadedState &loaded)
{
    ControlSettings control;
    control.consensus_.self_ = Member{loaded.memberId_, settings.name_, false};
    for (const ControlAddress &address : settings.control_)
        control.consensus_.controlNames_.push_back(address.name_);
    control.consensus_.electionTimeout_ = settings.electionTimeout_;
    control.consensus_.replaceAfter_ = settings.replaceAfter_;
    control.consensus_.snapshotEntries_ = settings.snapshotEntries_;
    control.consensus_.snapshotBytes_ = settings.snapshotBytes_;
    control.consensus_.seed_ = randomId();
    control.consensus_.newCluster_ = randomId();
    control.nodeLease_ = settings.nodeLease_;
    control.consensus_.openMembership_ = settings.openMembership_;
    control.consensus_.mayBootstrap_ = settings.firstStart_;
    return control;
}

HttpAnswer errorAnswer(unsigned status, const Error &error)
{
    HttpAnswer answer;
    answer.status_ = status;
    answer.body_ =
        errorBody(static_cast<int>(error.id_), "not_run", error.step_, error.peer_, error.detail_);
    return answer;
}

HttpAnswer notLeaderAnswer(const std::string &leader)
{
    HttpAnswer answer = errorAnswer(
        421, Error{ErrorId::NotLeader, "operator call", leader, "this process does not lead"});
    if (!leader.empty())
        answer.headers_.push_back({"X-Leader", leader});
    return answer;
}

unsigned httpStatusFor(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Accepted:
        return 200;
    case OutcomeKind::NotFound:
        return 404;
    case OutcomeKind::Unavailable:
        return 503;
    default:
        return 409;
    }
}

} // namespace

ControlThread::ControlThread(const Settings &settings, DiskLog log, const LoadedState &loaded,
                             std::function<void(const Error &)> onStorageFailure,
                             const DirectProtocol *protocol)
    : settings_(settings), protocol_(protocol), context_(1),
      state_(makeControl(controlSettings(settings, loaded), loaded, BootClock::now())),
      network_(context_, PeerIdentity{settings.name_, randomId()}, settings.secret_,
               PeerHandlers{[this](const std::string &peer, Message message) {
                                handle(PeerMessage{peer, std::move(message)});
                            },
                            [this](const std::string &peer) { handle(PeerLost{peer}); },
                            {}}),
      http_(context_, HttpLimits{settings.bodyLimit_, settings.readTimeout_},
            [this](const HttpExchangePointer &exchange) { onHttp(exchange); }),
      timer_(context_, [this] { handle(Wake{}); }),
      storage_(
          std::move(log),
          [this](std::uint64_t sequence) {
              asio::post(context_, [this, sequence] { handle(BatchSynced{sequence}); });
          },
          std::move(onStorageFailure))
{
    for (const ControlAddress &address : settings.control_) {
        if (address.name_ != settings.name_)
            network_.setAddress(address.name_, PeerAddress{address.address_, address.port_});
    }
    if (settings.openMembership_)
        network_.setDefaultPort(settings.controlPort_);
    if (protocol)
        scheduler_ = std::make_unique<SchedulerThread>(
            settings, *protocol, trafficMetrics_,
            [this](const Quarantine &quarantine) { storeQuarantine(quarantine); });
}

ControlThread::~ControlThread()
{
    asio::post(context_, [this] {
        network_.close();
        context_.stop();
    });
    if (thread_.joinable())
        thread_.join();
}

void ControlThread::start()
{
    network_.listen(settings_.address_, settings_.port_);
    http_.listen(settings_.address_, settings_.httpPort_);
    if (scheduler_)
        scheduler_->start();
    if (settings_.metricsPort_ != 0) {
        metricsServer_ = std::make_unique<HttpServer>(
            context_, HttpLimits{}, [this](const HttpExchangePointer &exchange) {
                updateMetrics();
                exchange->answer(HttpAnswer{200,
                                            "text/plain; version=0.0.4",
                                            {},
                                            metrics_.text() + trafficMetrics_.text()});
            });
        metricsServer_->listen(settings_.address_, settings_.metricsPort_);
    }
    asio::post(context_, [this] { handle(Wake{}); });
    thread_ = std::thread([this] {
        const auto guard = asio::make_work_guard(context_);
        context_.run();
    });
}

void ControlThread::stop(std::function<void()> onStopped)
{
    asio::post(context_, [this, onStopped = std::move(onStopped)] {
        onStopped_ = onStopped;
        handle(StopRequested{});
    });
}

void ControlThread::handle(const ControlEvent &event)
{
    ControlEffects effects;
    reduce(state_, BootClock::now(), wallNow(), event, effects);
    applyEffects(effects);
    forwardViewToScheduler();
    timer_.arm(nextWake(state_));
}

// Passes the newest applied view to the scheduler thread, unless it has been passed already.
// Changes that come close together are passed as one: each view is copied whole.
void ControlThread::forwardViewToScheduler()
{
    const View &view = state_.fleet_.view_;
    if (!scheduler_ || view.version_ == schedulerViewVersion_)
        return;
    const Instant now = BootClock::now();
    if (now < nextSchedulerViewAt_) {
        timer_.arm(nextSchedulerViewAt_);
        return;
    }
    nextSchedulerViewAt_ = now + schedulerViewInterval;
    schedulerViewVersion_ = view.version_;
    scheduler_->post(std::make_shared<const View>(view));
}

void ControlThread::storeQuarantine(const Quarantine &quarantine)
{
    asio::post(context_, [this, quarantine] {
        propose(SetQuarantine{quarantine}, [id = quarantine.id_](const AnswerProposal &answer) {
            if (answer.outcome_.kind_ == OutcomeKind::Accepted)
                return;
            // The scheduler proposes it again.
            writeLog(LogLevel::Warn,
                     "could not store quarantine=" + std::to_string(id) + " outcome="
                         + boost::describe::enum_to_string(answer.outcome_.kind_, "?"));
        });
    });
}

void ControlThread::liftQuarantines(const std::vector<std::uint64_t> &ids)
{
    const std::vector<Quarantine> quarantines = state_.fleet_.view_.quarantines_;
    for (const Quarantine &quarantine : quarantines) {
        const bool isNamed = std::find(ids.begin(), ids.end(), quarantine.id_) != ids.end();
        if (!isNamed || !leading())
            continue;
        writeLog(LogLevel::Info,
                 "decision=lift_quarantine quarantine=" + std::to_string(quarantine.id_)
                     + " reason=settings");
        storeQuarantine(Quarantine{quarantine.id_, {}, 0, 0});
    }
    const std::vector<Suspect> suspects = state_.fleet_.view_.suspects_;
    for (const Suspect &suspect : suspects) {
        const bool isNamed = std::find(ids.begin(), ids.end(), suspect.digest_) != ids.end();
        if (!isNamed || !leading())
            continue;
        writeLog(LogLevel::Info,
                 "decision=lift_quarantine digest=" + std::to_string(suspect.digest_)
                     + " reason=settings");
        propose(ClearSuspect{suspect.digest_}, [](const AnswerProposal &) {});
    }
}

void ControlThread::reload(const Settings &settings)
{
    asio::post(context_, [this, settings] {
        std::vector<std::string> names;
        for (const ControlAddress &address : settings.control_)
            names.push_back(address.name_);
        handle(SeedsChanged{names});
        liftQuarantines(settings.liftedQuarantines_);
    });
}

void ControlThread::propose(const Command &command,
                            std::function<void(const AnswerProposal &)> done)
{
    const std::uint64_t token = nextToken_++;
    proposals_[token] = std::move(done);
    handle(LocalProposal{token, command});
}

void ControlThread::announce(const Upstream &upstream,
                             std::function<void(const AnswerProposal &)> done)
{
    const std::uint64_t token = nextToken_++;
    proposals_[token] = std::move(done);
    handle(LocalAnnouncement{token, upstream});
}

void ControlThread::depart(const std::string &upstream,
                           std::function<void(const AnswerProposal &)> done)
{
    const std::uint64_t token = nextToken_++;
    proposals_[token] = std::move(done);
    handle(LocalDeparture{token, upstream});
}

void ControlThread::read(std::function<void(const AnswerRead &)> done)
{
    const std::uint64_t token = nextToken_++;
    reads_[token] = std::move(done);
    handle(LocalRead{token});
}

void ControlThread::applyEffects(ControlEffects &effects)
{
    for (ControlEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](const SendToPeer &e) { network_.send(e.peer_, e.message_); },
                       [&](const SendToPeers &e) { network_.sendToAll(e.peers_, e.message_); },
                       [&](PersistBatch &e) { storage_.submit(std::move(e)); },
                       [&](const AnswerProposal &e) { answerProposal(e); },
                       [&](const AnswerRead &e) { answerRead(e); },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                       [&](const StopNow &) {
                           // The last answers may still have to be written.
                           http_.stopAccepting();
                           http_.whenIdle(BootClock::now() + lastAnswersTimeout, onStopped_);
                       },
                   },
                   effect);
    }
}

bool ControlThread::checkCredential(const HttpExchangePointer &exchange)
{
    const std::string digest = credentialDigest(settings_.operatorSalt_, exchange->bearer());
    if (!settings_.operatorDigest_.empty()
        && equalInConstantTime(digest, settings_.operatorDigest_))
        return true;
    exchange->answer(errorAnswer(
        401, Error{ErrorId::BadCredential, "operator call", "", "unknown operator credential"}));
    return false;
}

void ControlThread::onHttp(const HttpExchangePointer &exchange)
{
    if (protocol_) {
        protocol_->onControlCall_(*this, exchange);
        return;
    }
    const std::string path = exchange->path();
    if (path == "/healthz") {
        exchange->answer(HttpAnswer{200, "text/plain", {}, "ok\n"});
    } else if (path == "/readyz") {
        const bool ready = state_.consensus_.leaderId_ != 0;
        exchange->answer(
            HttpAnswer{ready ? 200u : 503u, "text/plain", {}, ready ? "ready\n" : "no leader\n"});
    } else if (path == "/metrics") {
        updateMetrics();
        exchange->answer(HttpAnswer{200, "text/plain; version=0.0.4", {}, metrics_.text()});
    } else if (!checkCredential(exchange)) {
        return;
    } else if (exchange->request().method() == http::verb::get) {
        onOperatorRead(exchange);
    } else {
        onOperatorCommand(exchange);
    }
}

void ControlThread::onOperatorRead(const HttpExchangePointer &exchange)
{
    const std::uint64_t token = nextToken_++;
    exchanges_[token] = exchange;
    handle(LocalRead{token});
}

void ControlThread::onOperatorCommand(const HttpExchangePointer &exchange)
{
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(parsed,
                            parseOperatorCommand(exchange->path(), exchange->request().body(),
                                                 state_.fleet_.view_));
            const std::uint64_t token = nextToken_++;
            exchanges_[token] = exchange;
            warnings_[token] = parsed.warning_;
            handle(LocalProposal{token, parsed.command_});
            return {};
        },
        [&](const Error &error) {
            exchange->answer(errorAnswer(error.id_ == ErrorId::UnknownPath ? 404 : 400, error));
        });
}

void ControlThread::answerProposal(const AnswerProposal &answer)
{
    const auto pending = proposals_.find(answer.token_);
    if (pending != proposals_.end()) {
        const auto done = std::move(pending->second);
        proposals_.erase(pending);
        done(answer);
        return;
    }
    const auto found = exchanges_.find(answer.token_);
    if (found == exchanges_.end())
        return;
    const HttpExchangePointer exchange = found->second;
    exchanges_.erase(found);
    const std::string warning = std::exchange(warnings_[answer.token_], {});
    warnings_.erase(answer.token_);
    if (answer.outcome_.kind_ == OutcomeKind::NotLeader) {
        exchange->answer(notLeaderAnswer(answer.leader_));
        return;
    }
    boost::json::object body;
    body["outcome"] = boost::describe::enum_to_string(answer.outcome_.kind_, "?");
    body["version"] = answer.outcome_.version_;
    body["detail"] = answer.outcome_.detail_;
    if (!warning.empty())
        body["warning"] = warning;
    exchange->answer(HttpAnswer{httpStatusFor(answer.outcome_.kind_),
                                "application/json",
                                {},
                                boost::json::serialize(body)});
}

void ControlThread::answerRead(const AnswerRead &answer)
{
    const auto pending = reads_.find(answer.token_);
    if (pending != reads_.end()) {
        const auto done = std::move(pending->second);
        reads_.erase(pending);
        done(answer);
        return;
    }
    const auto found = exchanges_.find(answer.token_);
    if (found == exchanges_.end())
        return;
    const HttpExchangePointer exchange = found->second;
    exchanges_.erase(found);
    if (!answer.ok_) {
        exchange->answer(notLeaderAnswer(answer.leader_));
        return;
    }
    const std::string path = exchange->path();
    if (path == "/v1/status")
        exchange->answer(HttpAnswer{200, "application/json", {}, statusJson()});
    else if (path == "/v1/fleet")
        exchange->answer(HttpAnswer{
            200, "application/json", {}, boost::json::serialize(toJson(state_.fleet_.view_))});
    else if (path == "/v1/records")
        exchange->answer(HttpAnswer{200, "application/json", {}, recordsJson()});
    else
        exchange->answer(errorAnswer(
            404, Error{ErrorId::UnknownPath, "operator call " + path, "", "no such path"}));
}

std::string ControlThread::statusJson() const
{
    const View &view = state_.fleet_.view_;
    boost::json::object body;
    body["leader"] = leaderName(state_);
    body["term"] = state_.consensus_.hardState_.term_;
    body["commit"] = state_.consensus_.commitIndex_;
    body["view_version"] = view.version_;
    body["fleet_version"] = view.fleetVersion_;
    body["members"] = toJson(members(state_.consensus_));
    body["records"] = state_.fleet_.records_.size();
    boost::json::array nodes;
    for (const auto &[name, node] : state_.nodes_) {
        const auto silence = BootClock::now() - node.lastHeard_;
        nodes.push_back(boost::json::object{{"name", name},
                                            {"role", node.isAgent_ ? "agent" : "entry"},
                                            {"view_version", node.viewVersion_},
                                            {"in_force", node.fleetVersion_ >= view.fleetVersion_},
                                            {"silent_ms", silence / milliseconds(1)},
                                            {"queued", node.load_.queued_},
                                            {"running", node.load_.running_},
                                            {"share", node.share_}});
    }
    body["nodes"] = nodes;
    body["upstreams"] = toJson(view.upstreams_);
    body["suspects"] = toJson(view.suspects_);
    body["quarantines"] = toJson(view.quarantines_);
    body["evacuated"] = toJson(view.evacuated_);
    return boost::json::serialize(body);
}

std::string ControlThread::recordsJson() const
{
    boost::json::array openRecords;
    for (const auto &[key, record] : state_.fleet_.records_) {
        if (record.phase_ == RecordPhase::Completed)
            continue;
        openRecords.push_back(toJson(record));
    }
    return boost::json::serialize(boost::json::object{{"records", openRecords}});
}

void ControlThread::updateMetrics()
{
    const auto [syncs, batches] = storage_.syncAndBatchCounts();
    metrics_.set("control_syncs", static_cast<double>(syncs));
    metrics_.set("control_batches", static_cast<double>(batches));
    metrics_.set("control_disk_full", storage_.diskFull() ? 1 : 0);
    metrics_.set("control_term", static_cast<double>(state_.consensus_.hardState_.term_));
    metrics_.set("control_commit", static_cast<double>(state_.consensus_.commitIndex_));
    metrics_.set("control_records", static_cast<double>(state_.fleet_.records_.size()));
    metrics_.set("control_leads", leads(state_.consensus_) ? 1 : 0);
    metrics_.set("control_quarantines",
                 static_cast<double>(state_.fleet_.view_.quarantines_.size()));
    metrics_.set("control_evacuations", static_cast<double>(state_.fleet_.view_.evacuated_.size()));
    metrics_.set("messages_sent", static_cast<double>(network_.traffic().messagesSent_));
    metrics_.set("bytes_sent", static_cast<double>(network_.traffic().bytesSent_));
    metrics_.set("bytes_received", static_cast<double>(network_.traffic().bytesReceived_));
    metrics_.set("messages_received", static_cast<double>(network_.traffic().messagesReceived_));
}

} // namespace chervilspring
