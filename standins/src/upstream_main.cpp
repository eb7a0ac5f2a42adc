/// @file
/// @brief Stand-in upstream: a plain service, a language model or a booking service.
///
/// Announces itself to its agent every second. POST /fault sets faults: {"slow": 3.0} multiplies
/// service times, {"fail": 0.2} makes this share of plain calls return 500, {"freeze": true} stops
/// responses and announcements, {"crash_on": "text"} makes the process exit on a request whose body
/// contains the text.
#include "standins/service_model.hpp"

#include "chervilspring/detail/net/http_client.hpp"
#include "chervilspring/digest.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <popt.h>
#include <unistd.h>

#include <iostream>

namespace {

using namespace chervilspring;
using namespace standins;
namespace asio = boost::asio;

constexpr auto announceInterval = milliseconds(1000);
constexpr auto stopDelay = milliseconds(300);

struct Options
{
    char *kind_ = nullptr;
    char *labels_ = nullptr;
    char *runsFile_ = nullptr;
    int port_ = 0;
    int agentPort_ = 0;
    int concurrency_ = 4;
    int meanMicroseconds_ = 10000;
    int stepMicroseconds_ = 8000;
    int seed_ = 1;
};

struct Faults
{
    double failProbability_ = 0;
    bool frozen_ = false;
    std::string crashText_; ///< a request body that contains it ends the process
};

class StandInUpstream
{
public:
    explicit StandInUpstream(const Options &options)
        : options_(options), context_(1),
          server_(context_, HttpLimits{}, [this](HttpExchangePointer e) { onHttp(e); }),
          client_(context_), cache_(model_.prefixCacheEntries_),
          random_(static_cast<std::uint64_t>(options.seed_)), signals_(context_, SIGTERM, SIGINT)
    {
        const std::string kind = options.kind_ ? options.kind_ : "service";
        model_.kind_ = kind == "llm" ? UpstreamKind::LanguageModel
            : kind == "booking"      ? UpstreamKind::Booking
                                     : UpstreamKind::Service;
        model_.meanTime_ = microseconds(options.meanMicroseconds_);
        model_.stepBase_ = microseconds(options.stepMicroseconds_);
    }

    void run()
    {
        port_ = server_.listen("127.0.0.1", static_cast<std::uint16_t>(options_.port_));
        asio::co_spawn(context_, announceLoop(), asio::detached);
        signals_.async_wait([this](boost::system::error_code, int) {
            asio::co_spawn(context_, stop(), asio::detached);
        });
        context_.run();
    }

private:
    asio::awaitable<void> sleep(nanoseconds duration)
    {
        asio::steady_timer timer(context_, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    HttpCall agentCall(const std::string &target, const std::string &body) const
    {
        HttpCall call;
        call.address_ = "127.0.0.1";
        call.port_ = static_cast<std::uint16_t>(options_.agentPort_);
        call.target_ = target;
        call.body_ = body;
        call.limit_ = announceInterval;
        return call;
    }

    std::string announcementBody() const
    {
        boost::json::object labels;
        const std::string text = options_.labels_ ? options_.labels_ : "";
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, ',');) {
            const auto equals = part.find('=');
            labels[part.substr(0, equals)] = part.substr(equals + 1);
        }
        return boost::json::serialize(boost::json::object{
            {"port", port_}, {"concurrency", options_.concurrency_}, {"labels", labels}});
    }

    asio::awaitable<void> announceLoop()
    {
        constexpr auto retryInterval = milliseconds(100);
        while (!stopping_) {
            bool reached = true;
            if (!faults_.frozen_) {
                const auto result =
                    co_await client_.perform(agentCall("/announce", announcementBody()));
                reached = result.end_ == HttpCallEnd::Answered;
            }
            co_await sleep(reached ? announceInterval : retryInterval);
        }
    }

    asio::awaitable<void> stop()
    {
        stopping_ = true;
        co_await client_.perform(agentCall("/leave", "{}"));
        co_await sleep(stopDelay);
        // All responses have to be sent before the process ends.
        while (running_ > 0 || server_.busyConnections() > 0)
            co_await sleep(milliseconds(10));
        context_.stop();
    }

    void onHttp(const HttpExchangePointer &exchange)
    {
        if (exchange->path() == "/fault")
            onFault(exchange);
        else if (exchange->path() == "/v1/completions")
            asio::co_spawn(context_, complete(exchange), asio::detached);
        else
            asio::co_spawn(context_, serve(exchange), asio::detached);
    }

    void onFault(const HttpExchangePointer &exchange)
    {
        const auto fault = boost::json::parse(exchange->request().body()).as_object();
        if (const auto *slow = fault.if_contains("slow"))
            model_.slowFactor_ = slow->to_number<double>();
        if (const auto *fail = fault.if_contains("fail"))
            faults_.failProbability_ = fail->to_number<double>();
        if (const auto *freeze = fault.if_contains("freeze"))
            faults_.frozen_ = freeze->as_bool();
        if (const auto *text = fault.if_contains("crash_on"))
            faults_.crashText_ = std::string(text->as_string());
        exchange->answer(HttpAnswer{});
    }

    void exitOnCrashText(const std::string &body) const
    {
        if (!faults_.crashText_.empty() && body.find(faults_.crashText_) != std::string::npos)
            ::_exit(1);
    }

    // Appends one line for each run. Tests count runs in this file, independently of the system's
    // own records.
    void recordRun(const std::string &marker) const
    {
        if (!options_.runsFile_)
            return;
        const int file = ::open(options_.runsFile_, O_WRONLY | O_CREAT | O_APPEND, 0640);
        const std::string line = marker + "\n";
        if (::write(file, line.data(), line.size()) < 0)
            std::cerr << "standin_upstream: cannot write to the runs file\n";
        ::close(file);
    }

    asio::awaitable<void> serve(HttpExchangePointer exchange)
    {
        const std::string body = exchange->request().body();
        const std::string path = exchange->path();
        ++running_;
        if (model_.kind_ == UpstreamKind::Booking)
            recordRun(markerOf(body));
        co_await sleep(drawServiceTime(model_, random_));
        exitOnCrashText(body);
        while (faults_.frozen_)
            co_await sleep(milliseconds(20));
        std::uniform_real_distribution<double> chance(0, 1);
        --running_;
        if (faults_.failProbability_ > 0 && chance(random_) < faults_.failProbability_) {
            exchange->answer(HttpAnswer{500, "text/plain", {}, "told to fail\n"});
            co_return;
        }
        const std::string stage = path.substr(path.rfind('/') + 1);
        exchange->answer(HttpAnswer{200, "application/json", {}, makeStageResponse(stage, body)});
    }

    asio::awaitable<void> complete(HttpExchangePointer exchange)
    {
        bool callerGone = false;
        exchange->onGone_ = [&callerGone] { callerGone = true; };
        const auto request = boost::json::parse(exchange->request().body()).as_object();
        const std::string prompt(request.at("prompt").as_string());
        const auto firstToken = request.at("resume_from").to_number<std::size_t>();
        ++running_;
        ++batch_;
        exitOnCrashText(prompt);
        const std::size_t cachedTokens = cache_.touch(prompt);
        co_await sleep(prefillTime(model_, countTokens(prompt), cachedTokens));
        const auto tokens = generateTokens(prompt);
        for (std::size_t i = firstToken; i < tokens.size() && !callerGone; ++i) {
            co_await sleep(stepTime(model_, batch_));
            while (faults_.frozen_)
                co_await sleep(milliseconds(20));
            boost::json::object choice{{"index", 0}, {"text", tokens[i]}};
            exchange->sendEvent(boost::json::serialize(
                boost::json::object{{"choices", boost::json::array{choice}}}));
        }
        --batch_;
        --running_;
        exchange->onGone_ = nullptr;
        exchange->sendEvent("[DONE]");
        exchange->endStream();
    }

    Options options_;
    asio::io_context context_;
    HttpServer server_;
    HttpClient client_;
    ServiceModel model_;
    PrefixCache cache_;
    Faults faults_;
    std::mt19937_64 random_;
    asio::signal_set signals_;
    std::uint16_t port_ = 0;
    std::size_t running_ = 0; ///< calls in progress
    std::size_t batch_ = 0; ///< completions in progress
    bool stopping_ = false;
};

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    const poptOption table[] = {
        {"kind", 0, POPT_ARG_STRING, &options.kind_, 0, "service, llm or booking", "KIND"},
        {"labels", 0, POPT_ARG_STRING, &options.labels_, 0, "labels to announce", "K=V,..."},
        {"runs-file", 0, POPT_ARG_STRING, &options.runsFile_, 0,
         "file that records each run of a booking", "FILE"},
        {"port", 0, POPT_ARG_INT, &options.port_, 0, "HTTP port", "N"},
        {"agent", 0, POPT_ARG_INT, &options.agentPort_, 0, "the agent's HTTP port", "N"},
        {"concurrency", 0, POPT_ARG_INT, &options.concurrency_, 0,
         "maximum number of concurrent calls", "N"},
        {"mean-us", 0, POPT_ARG_INT, &options.meanMicroseconds_, 0,
         "mean service time in microseconds", "N"},
        {"step-us", 0, POPT_ARG_INT, &options.stepMicroseconds_, 0,
         "time of a decoding step in microseconds", "N"},
        {"seed", 0, POPT_ARG_INT, &options.seed_, 0, "random seed", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("standin_upstream", argc, argv, table, 0);
    const int result = poptGetNextOpt(context);
    if (result != -1 || options.agentPort_ == 0) {
        std::cerr << "standin_upstream: --agent is required; see --help\n";
        return 1;
    }
    StandInUpstream(options).run();
    poptFreeContext(context);
    return 0;
}
