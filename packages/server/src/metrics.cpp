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
using Sample = acc::accumulator_set<double,
                                    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                                               acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.95, 0.99};
constexpr std::size_t maxSeries = 4096; // label sets; later ones are counted under "other"

Sample makeSample()
{
    return Sample(acc::extended_p_square_probabilities = probabilities);
}

struct RequestRow
{
    Sample elapsed_ = makeSample(); // seconds
    Sample firstToken_ = makeSample(); // seconds
    std::uint64_t requests_ = 0;
    std::uint64_t attained_ = 0;
    std::map<int, std::uint64_t> errors_;
};

struct StageRow
{
    Sample elapsed_ = makeSample(); // seconds
    std::uint64_t attempts_ = 0;
    std::uint64_t failed_ = 0;
    double serviceSeconds_ = 0;
    double cost_ = 0;
};

struct RequestLabel
{
    std::string pipeline_;
    std::string account_;
    auto operator<=>(const RequestLabel &) const = default;
};

struct StageLabel
{
    std::string pipeline_;
    std::string account_;
    std::string stage_;
    auto operator<=>(const StageLabel &) const = default;
};

std::string labelText(const RequestLabel &label)
{
    return "pipeline=\"" + label.pipeline_ + "\",account=\"" + label.account_ + "\"";
}

std::string labelText(const StageLabel &label)
{
    return "pipeline=\"" + label.pipeline_ + "\",account=\"" + label.account_ + "\",stage=\""
        + label.stage_ + "\"";
}

void writeSummary(std::ostringstream &out, const std::string &name, const std::string &labels,
                  const Sample &sample)
{
    if (acc::count(sample) == 0)
        return;
    for (const double probability : probabilities)
        out << name << "{" << labels << ",quantile=\"" << probability << "\"} "
            << acc::quantile(sample, acc::quantile_probability = probability) << "\n";
    out << name << "_sum{" << labels << "} " << acc::sum(sample) << "\n";
    out << name << "_count{" << labels << "} " << acc::count(sample) << "\n";
}

double inSeconds(nanoseconds value)
{
    return static_cast<double>(value.count()) / 1e9;
}

template<typename Label, typename Row> Row &rowFor(std::map<Label, Row> &rows, const Label &label)
{
    const auto found = rows.find(label);
    if (found != rows.end())
        return found->second;
    return rows.size() < maxSeries ? rows[label] : rows[Label{"other", "other"}];
}

} // namespace

struct Metrics::Tables
{
    std::map<RequestLabel, RequestRow> requests_;
    std::map<StageLabel, StageRow> stages_;
    std::map<std::string, double> values_;
};

Metrics::Metrics() : tables_(std::make_unique<Tables>()) { }
Metrics::~Metrics() = default;

void Metrics::add(const StageMeasured &measured)
{
    const std::lock_guard lock(mutex_);
    StageRow &row = rowFor(tables_->stages_,
                           StageLabel{measured.pipeline_, measured.account_, measured.stage_});
    row.elapsed_(inSeconds(measured.elapsed_));
    ++row.attempts_;
    row.failed_ += measured.ok_ ? 0 : 1;
    row.serviceSeconds_ += inSeconds(measured.serviceTime_);
    row.cost_ += measured.cost_;
}

void Metrics::add(const RequestMeasured &measured)
{
    const std::lock_guard lock(mutex_);
    const bool known = !measured.account_.empty()
        && measured.errorId_ != static_cast<std::uint16_t>(ErrorId::UnknownPipeline);
    const RequestLabel label = known ? RequestLabel{measured.pipeline_, measured.account_}
                                     : RequestLabel{"unknown", "unknown"};
    RequestRow &row = rowFor(tables_->requests_, label);
    ++row.requests_;
    row.attained_ += measured.attained_ ? 1 : 0;
    row.elapsed_(inSeconds(measured.elapsed_));
    if (measured.firstToken_ > nanoseconds(0))
        row.firstToken_(inSeconds(measured.firstToken_));
    if (measured.errorId_ != 0)
        ++row.errors_[measured.errorId_];
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    tables_->values_[name] = value;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, value] : tables_->values_)
        out << "chervilspring_" << name << " " << value << "\n";
    for (const auto &[label, row] : tables_->requests_) {
        const std::string labels = labelText(label);
        out << "chervilspring_requests_total{" << labels << "} " << row.requests_ << "\n";
        out << "chervilspring_requests_attained_total{" << labels << "} " << row.attained_ << "\n";
        for (const auto &[id, count] : row.errors_)
            out << "chervilspring_request_errors_total{" << labels << ",id=\"CS-" << id << "\"} "
                << count << "\n";
        writeSummary(out, "chervilspring_request_seconds", labels, row.elapsed_);
        writeSummary(out, "chervilspring_first_token_seconds", labels, row.firstToken_);
    }
    for (const auto &[label, row] : tables_->stages_) {
        const std::string labels = labelText(label);
        out << "chervilspring_attempts_total{" << labels << "} " << row.attempts_ << "\n";
        out << "chervilspring_attempts_failed_total{" << labels << "} " << row.failed_ << "\n";
        out << "chervilspring_service_seconds_total{" << labels << "} " << row.serviceSeconds_
            << "\n";
        out << "chervilspring_cost_units_total{" << labels << "} " << row.cost_ << "\n";
        writeSummary(out, "chervilspring_attempt_seconds", labels, row.elapsed_);
    }
    return out.str();
}

std::string Metrics::json() const
{
    const std::lock_guard lock(mutex_);
    boost::json::array requests;
    for (const auto &[label, row] : tables_->requests_) {
        boost::json::object item;
        item["pipeline"] = label.pipeline_;
        item["account"] = label.account_;
        item["requests"] = row.requests_;
        item["attained"] = row.attained_;
        requests.push_back(item);
    }
    boost::json::array stages;
    for (const auto &[label, row] : tables_->stages_) {
        boost::json::object item;
        item["pipeline"] = label.pipeline_;
        item["account"] = label.account_;
        item["stage"] = label.stage_;
        item["attempts"] = row.attempts_;
        item["failed"] = row.failed_;
        item["service_seconds"] = row.serviceSeconds_;
        item["cost"] = row.cost_;
        stages.push_back(item);
    }
    return boost::json::serialize(boost::json::object{{"requests", requests}, {"stages", stages}});
}

} // namespace chervilspring
