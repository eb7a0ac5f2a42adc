#include "standins/load.hpp"

#include "standins/service_model.hpp"

#include "chervilspring/detail/net/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace standins {

using namespace chervilspring;
namespace asio = boost::asio;

namespace {

constexpr nanoseconds lateResponseTime = milliseconds(2000); // waited beyond the deadline

double toMilliseconds(nanoseconds value)
{
    return static_cast<double>(value.count()) / 1e6;
}

struct SentRequest
{
    std::string marker_;
    Instant sendTime_{};
    Instant lastTokenTime_{};
    std::vector<std::string> events_;
};

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadSpec &spec)
        : spec_(spec), context_(1), client_(context_), random_(spec.seed_)
    { }

    LoadReport run()
    {
        const Instant end = BootClock::now() + spec_.duration_;
        for (const Workload &workload : spec_.workloads_)
            asio::co_spawn(context_, generateArrivals(workload, end), asio::detached);
        context_.run();
        return report_;
    }

private:
    asio::awaitable<void> generateArrivals(const Workload &workload, Instant end)
    {
        std::exponential_distribution<double> gap(workload.requestsPerSecond_);
        asio::steady_timer timer(context_);
        auto nextArrival = asio::steady_timer::clock_type::now();
        while (BootClock::now() < end) {
            nextArrival += std::chrono::duration_cast<nanoseconds>(
                std::chrono::duration<double>(gap(random_)));
            timer.expires_at(nextArrival);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(context_, request(workload), asio::detached);
        }
    }

    HttpCall makeCall(const Workload &workload, const std::string &marker)
    {
        HttpCall call;
        call.address_ = "127.0.0.1";
        call.port_ = spec_.entryPorts_[nextEntry_++ % spec_.entryPorts_.size()];
        call.target_ = "/v1/pipelines/" + workload.pipeline_;
        call.headers_ = {{"Authorization", "Bearer " + workload.credential_},
                         {"X-Deadline-Ms", std::to_string(workload.deadline_.count())}};
        if (workload.idempotencyKey_)
            call.headers_.push_back({"Idempotency-Key", newKey(marker)});
        if (workload.stream_)
            call.headers_.push_back({"Accept", "text/event-stream"});
        boost::json::object body{{"question", workload.question_}, {"marker", marker}};
        if (workload.maxTokens_ > 0)
            body["max_tokens"] = workload.maxTokens_;
        call.body_ = boost::json::serialize(body);
        call.limit_ = workload.deadline_ + lateResponseTime;
        // A call on an idle connection that breaks before a response is sent again on a new one.
        call.reuse_ = !workload.stream_ && !workload.idempotencyKey_;
        return call;
    }

    asio::awaitable<void> request(const Workload &workload)
    {
        SentRequest sent;
        sent.marker_ = workload.name_ + "-" + std::to_string(spec_.seed_) + "-"
            + std::to_string(nextMarker_++);
        sent.sendTime_ = BootClock::now();
        sent.lastTokenTime_ = sent.sendTime_;
        WorkloadReport &report = report_[workload.name_];
        ++report.sent_;
        std::function<void(const std::string &)> onEvent;
        if (workload.stream_)
            onEvent = [&](const std::string &event) { recordEvent(report, sent, event); };
        const HttpCallResult result =
            co_await client_.perform(makeCall(workload, sent.marker_), onEvent);
        recordResponse(workload, report, sent, result);
    }

    void recordEvent(WorkloadReport &report, SentRequest &sent, const std::string &event)
    {
        const Instant now = BootClock::now();
        auto &samples = sent.events_.empty() ? report.firstTokenTimesMs_ : report.tokenGapsMs_;
        if (event != "[DONE]")
            samples.push_back(toMilliseconds(now - sent.lastTokenTime_));
        sent.lastTokenTime_ = now;
        sent.events_.push_back(event);
    }

    static std::string expectedText(const Workload &workload, const std::string &marker)
    {
        std::string text;
        const std::string prompt = boost::json::serialize(
            boost::json::object{{"marker", marker}, {"max_tokens", workload.maxTokens_}});
        for (const std::string &token : generateTokens(prompt))
            text += token;
        return text;
    }

    // Returns the text of the response. For an error response, sets errorId and ran from its
    // members "id" and "ran"; for an incomplete response, sets errorId to "cut".
    static std::string readResponse(const Workload &workload, const SentRequest &sent,
                                    const std::string &body, std::string &errorId, std::string &ran)
    {
        std::string text;
        boost::system::error_code error;
        const auto readError = [&](const boost::json::object &object) {
            if (const auto *details = object.if_contains("error")) {
                errorId = std::string(details->at("id").as_string());
                ran = std::string(details->at("ran").as_string());
            }
        };
        if (!sent.events_.empty()) {
            for (const std::string &event : sent.events_) {
                const auto value = boost::json::parse(event, error);
                if (error || !value.is_object())
                    continue;
                readError(value.as_object());
                if (const auto *token = value.as_object().if_contains("text"))
                    text += std::string(token->as_string());
            }
            if (sent.events_.back() != "[DONE]")
                errorId = "cut";
            return text;
        }
        const auto value = boost::json::parse(body, error);
        if (error || !value.is_object()) {
            errorId = "cut";
            return text;
        }
        readError(value.as_object());
        const auto *generated = value.as_object().if_contains("text");
        if (workload.maxTokens_ > 0 && generated)
            return std::string(generated->as_string());
        const auto *marker = value.as_object().if_contains("marker");
        return marker ? std::string(marker->as_string()) : std::string();
    }

    void recordResponse(const Workload &workload, WorkloadReport &report, const SentRequest &sent,
                        const HttpCallResult &result)
    {
        const nanoseconds elapsed = BootClock::now() - sent.sendTime_;
        if (result.end_ != HttpCallEnd::Answered) {
            ++report.incomplete_;
            ++report.errors_["connection " + result.detail_];
            return;
        }
        std::string errorId;
        std::string ran;
        const std::string text = readResponse(workload, sent, result.body_, errorId, ran);
        if (errorId == "cut") {
            ++report.incomplete_;
        } else if (!errorId.empty()) {
            ++(ran == "not_run" ? report.rejected_ : report.failed_);
            ++report.errors_[errorId];
            if (ran == "not_run")
                report.notRunMarkers_.push_back(sent.marker_);
        } else {
            const std::string expected =
                workload.maxTokens_ > 0 ? expectedText(workload, sent.marker_) : sent.marker_;
            report.latenciesMs_.push_back(toMilliseconds(elapsed));
            report.answeredMarkers_.push_back(sent.marker_);
            if (text != expected)
                ++report.mismatched_;
            else if (elapsed > workload.deadline_)
                ++report.late_;
            else
                ++report.attained_;
            if (report.sample_.empty())
                report.sample_ = text;
        }
    }

    LoadSpec spec_;
    asio::io_context context_;
    HttpClient client_;
    std::mt19937_64 random_;
    LoadReport report_;
    std::size_t nextEntry_ = 0;
    std::uint64_t nextMarker_ = 1;
};

} // namespace

LoadReport runLoad(const LoadSpec &spec)
{
    return LoadGenerator(spec).run();
}

double quantile(std::vector<double> samples, double probability)
{
    if (samples.empty())
        return 0;
    const auto index =
        static_cast<std::size_t>(probability * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                     samples.end());
    return samples[index];
}

std::string newKey(const std::string &unique)
{
    const auto now =
        std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch());
    return std::to_string(now.count()) + "-" + unique;
}

} // namespace standins
