#include "chervilspring/detail/process/node_thread.hpp"

#include "chervilspring/digest.hpp"
#include "chervilspring/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace chervilspring {

namespace {

NodeSettings nodeSettings(const Settings &settings)
{
    NodeSettings node;
    node.name_ = settings.name_;
    node.isEntry_ = settings.role_ == Role::Entry;
    for (const ControlAddress &control : settings.control_)
        node.controlNames_.push_back(control.name_);
    node.openMembership_ = settings.openMembership_;
    node.seed_ = randomId();
    return node;
}

} // namespace

WallTime wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

NodeThread::NodeThread(const Settings &settings, const PeerIdentity &identity,
                       NodeCallbacks callbacks)
    : context_(1), callbacks_(std::move(callbacks)), state_(makeNode(nodeSettings(settings))),
      network_(context_, identity, settings.secret_,
               PeerHandlers{[this](const std::string &peer, Message message) {
                                handle(PeerMessage{peer, std::move(message)});
                            },
                            [this](const std::string &peer) { handle(PeerLost{peer}); },
                            {}}),
      timer_(context_, [this] { handle(Wake{}); }),
      publishedView_(
          std::make_shared<const ViewChanged>(ViewChanged{std::make_shared<const View>()}))
{
    for (const ControlAddress &control : settings.control_)
        network_.setAddress(control.name_, PeerAddress{control.address_, control.port_});
    if (settings.openMembership_)
        network_.setDefaultPort(settings.controlPort_);
}

NodeThread::~NodeThread()
{
    stop();
}

void NodeThread::stop()
{
    if (!thread_.joinable())
        return;
    boost::asio::post(context_, [this] {
        timer_.cancel();
        network_.close();
        context_.stop();
    });
    thread_.join();
}

void NodeThread::start()
{
    boost::asio::post(context_, [this] { handle(Wake{}); });
    thread_ = std::thread([this] { context_.run(); });
}

void NodeThread::post(NodeEvent event)
{
    boost::asio::post(context_, [this, event = std::move(event)] { handle(event); });
}

void NodeThread::handle(const NodeEvent &event)
{
    NodeEffects effects;
    reduce(state_, BootClock::now(), event, effects);
    applyEffects(effects);
    timer_.arm(nextWake(state_));
}

void NodeThread::applyEffects(const NodeEffects &effects)
{
    for (const NodeEffect &effect : effects) {
        std::visit(Overloaded{
                       [&](const SendToPeer &e) {
                           const auto &names = state_.settings_.controlNames_;
                           if (std::find(names.begin(), names.end(), e.peer_) != names.end())
                               network_.send(e.peer_, e.message_);
                           else if (callbacks_.sendToPeer_)
                               callbacks_.sendToPeer_(e.peer_, e.message_);
                       },
                       [&](const ViewChanged &e) {
                           publishedView_.store(std::make_shared<const ViewChanged>(e));
                           if (callbacks_.viewPublished_)
                               callbacks_.viewPublished_();
                       },
                       [&](const ProposalAnswered &e) {
                           if (e.token_ != 0 && callbacks_.proposalAnswered_)
                               callbacks_.proposalAnswered_(e);
                       },
                       [](const DecisionLine &e) { writeLog(LogLevel::Info, e.text_); },
                   },
                   effect);
    }
}

} // namespace chervilspring
