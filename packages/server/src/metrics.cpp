#include "chervilspring/detail/process/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/json.hpp>

#include <array>
#include <map>
#include <sstream>

namespace chervilspring {

namespace {

namespace acc = boost::accumulators;
using Summary = acc::accumulator_set<double,
                                     acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                                                acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.95, 0.99};
constexpr std::size_t maxSeries = 4096; // label sets per table; further ones are counted as "other"

Summary makeSummary()
{
    return Summary(acc::extended_p_square_probabilities = probabilities);
}

struct RequestSeries
{
    Summary elapsed_ = makeSummary(); // seconds
    Summary firstToken_ = makeSummary(); // seconds
    std::uint64_t requests_ = 0;
    std::uint64_t attained_ = 0; // requests answered without an error within their deadline
    std::map<int, std::uint64_t> errors_; // failed requests by error id
};

struct StageSeries
{
    Summary elapsed_ = makeSummary(); // seconds
    std::uint64_t attempts_ = 0;
    std::uint64_t failed_ = 0; // failed attempts
    double serviceSeconds_ = 0;
    double cost_ = 0; // cost units
};

struct RequestLabels
{
    std::string pipeline_;
    std::string account_;
    auto operator<=>(const RequestLabels &) const = default;
};

struct StageLabels
{
    std::string pipeline_;
    std::string account_;
    std::string stage_;
    auto operator<=>(const StageLabels &) const = default;
};

std::string labelText(const RequestLabels &label)
{
    return "pipeline=\"" + label.pipeline_ + "\",account=\"" + label.account_ + "\"";
}

std::string labelText(const StageLabels &label)
{
    return "pipeline=\"" + label.pipeline_ + "\",account=\"" + label.account_ + "\",stage=\""
        + label.stage_ + "\"";
}

void writeSummary(std::ostringstream &out, const std::string &name, const std::string &labels,
                  const Summary &summary)
{
    if (acc::count(summary) == 0)
        return;
    for (const double probability : probabilities)
        out << name << "{" << labels << ",quantile=\"" << probability << "\"} "
            << acc::quantile(summary, acc::quantile_probability = probability) << "\n";
    out << name << "_sum{" << labels << "} " << acc::sum(summary) << "\n";
    out << name << "_count{" << labels << "} " << acc::count(summary) << "\n";
}

double toSeconds(nanoseconds value)
{
    return static_cast<double>(value.count()) / 1e9;
}

template<typename Labels, typename Series>
Series &seriesFor(std::map<Labels, Series> &table, const Labels &label)
{
    const auto found = table.find(label);
    if (found != table.end())
        return found->second;
    return table.size() < maxSeries ? table[label] : table[Labels{"other", "other"}];
}

} // namespace

struct Metrics::Tables
{
    std::map<RequestLabels, RequestSeries> requests_;
    std::map<StageLabels, StageSeries> stages_;
    std::map<std::string, double> gauges_;
};

Metrics::Metrics() : tables_(std::make_unique<Tables>()) { }
Metrics::~Metrics() = default;

void Metrics::add(const StageMeasured &measured)
{
    const std::lock_guard lock(mutex_);
    StageSeries &series = seriesFor(
        tables_->stages_, StageLabels{measured.pipeline_, measured.account_, measured.stage_});
    series.elapsed_(toSeconds(measured.elapsed_));
    ++series.attempts_;
    series.failed_ += measured.ok_ ? 0 : 1;
    series.serviceSeconds_ += toSeconds(measured.serviceTime_);
    series.cost_ += measured.cost_;
}

void Metrics::add(const RequestMeasured &measured)
{
    const std::lock_guard lock(mutex_);
    const bool hasKnownLabels = !measured.account_.empty()
        && measured.errorId_ != static_cast<std::uint16_t>(ErrorId::UnknownPipeline);
    const RequestLabels label = hasKnownLabels
        ? RequestLabels{measured.pipeline_, measured.account_}
        : RequestLabels{"unknown", "unknown"};
    RequestSeries &series = seriesFor(tables_->requests_, label);
    ++series.requests_;
    series.attained_ += measured.attained_ ? 1 : 0;
    series.elapsed_(toSeconds(measured.elapsed_));
    if (measured.firstToken_ > nanoseconds(0))
        series.firstToken_(toSeconds(measured.firstToken_));
    if (measured.errorId_ != 0)
        ++series.errors_[measured.errorId_];
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    tables_->gauges_[name] = value;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, value] : tables_->gauges_)
        out << "chervilspring_" << name << " " << value << "\n";
    for (const auto &[label, series] : tables_->requests_) {
        const std::string labels = labelText(label);
        out << "chervilspring_requests_total{" << labels << "} " << series.requests_ << "\n";
        out << "chervilspring_requests_attained_total{" << labels << "} " << series.attained_
            << "\n";
        for (const auto &[id, count] : series.errors_)
            out << "chervilspring_request_errors_total{" << labels << ",id=\"CS-" << id << "\"} "
                << count << "\n";
        writeSummary(out, "chervilspring_request_seconds", labels, series.elapsed_);
        writeSummary(out, "chervilspring_first_token_seconds", labels, series.firstToken_);
    }
    for (const auto &[label, series] : tables_->stages_) {
        const std::string labels = labelText(label);
        out << "chervilspring_attempts_total{" << labels << "} " << series.attempts_ << "\n";
        out << "chervilspring_attempts_failed_total{" << labels << "} " << series.failed_ << "\n";
        out << "chervilspring_service_seconds_total{" << labels << "} " << series.serviceSeconds_
            << "\n";
        out << "chervilspring_cost_units_total{" << labels << "} " << series.cost_ << "\n";
        writeSummary(out, "chervilspring_attempt_seconds", labels, series.elapsed_);
    }
    return out.str();
}

std::string Metrics::json() const
{
    const std::lock_guard lock(mutex_);
    boost::json::array requests;
    for (const auto &[label, series] : tables_->requests_) {
        boost::json::object item;
        item["pipeline"] = label.pipeline_;
        item["account"] = label.account_;
        item["requests"] = series.requests_;
        item["attained"] = series.attained_;
        requests.push_back(item);
    }
    boost::json::array stages;
    for (const auto &[label, series] : tables_->stages_) {
        boost::json::object item;
        item["pipeline"] = label.pipeline_;
        item["account"] = label.account_;
        item["stage"] = label.stage_;
        item["attempts"] = series.attempts_;
        item["failed"] = series.failed_;
        item["service_seconds"] = series.serviceSeconds_;
        item["cost"] = series.cost_;
        stages.push_back(item);
    }
    return boost::json::serialize(boost::json::object{{"requests", requests}, {"stages", stages}});
}

} // namespace chervilspring
