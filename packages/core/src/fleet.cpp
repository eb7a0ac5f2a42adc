#include "chervilspring/fleet.hpp"

#include "chervilspring/settings.hpp"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::int64_t maxTextLength = 1024;

constexpr SettingSpec table[] = {
    {"fleet", "retention", SettingKind::Number, "s", 60, 86400, "900", "",
     "how long an idempotency record answers a resend"},
    {"pipeline", "stages", SettingKind::Text, "", 1, maxTextLength, nullptr, "",
     "names of [stage ...] sections in order"},
    {"pipeline", "deadline", SettingKind::Number, "ms", 10, 600000, nullptr, "",
     "default and largest allowed deadline of a request"},
    {"pipeline", "labels", SettingKind::Text, "", 0, maxTextLength, "", "",
     "labels of the pipeline"},
    {"stage", "upstreams", SettingKind::Text, "", 1, maxTextLength, nullptr, "",
     "selector over the labels of upstreams"},
    {"stage", "idempotent", SettingKind::Flag, "", 0, 0, "true", "", "may run more than once"},
    {"stage", "stream", SettingKind::Flag, "", 0, 0, "false", "",
     "tokens are streamed to the caller"},
    {"stage", "estimate", SettingKind::Number, "ms", 1, 600000, "50", "",
     "service time assumed before any was measured"},
    {"stage", "cost_per_second", SettingKind::Number, "", 0, 1000000, "1", "",
     "cost units for each second of service"},
    {"pool", "upstreams", SettingKind::Text, "", 1, maxTextLength, nullptr, "",
     "selector over the labels of member upstreams"},
    {"pool", "labels", SettingKind::Text, "", 0, maxTextLength, "", "",
     "labels added to those of members"},
    {"account", "labels", SettingKind::Text, "", 0, maxTextLength, "", "", "labels of the account"},
    {"account", "salt", SettingKind::Text, "", 4, 64, nullptr, "", "salt of the credential"},
    {"account", "credential_digest", SettingKind::Text, "", 64, 64, nullptr, "",
     "salted digest of the credential, from chervilctl hash"},
    {"account", "requests_per_second", SettingKind::Number, "", 1, 1000000, "1000", "",
     "fleet-wide limit of the request rate"},
    {"account", "concurrency", SettingKind::Number, "", 1, 100000, "256", "",
     "limit of concurrent requests at one entry"},
    {"policy", "requests", SettingKind::Text, "", 0, maxTextLength, "", "",
     "selector over the labels of account and pipeline"},
    {"policy", "upstreams", SettingKind::Text, "", 0, maxTextLength, "", "",
     "additional selector over the labels of upstreams"},
    {"policy", "cost_weight", SettingKind::Number, "%", 0, 100, "0", "",
     "weight of cost relative to attainment"},
    {"policy", "retry_percent", SettingKind::Number, "%", 0, 100, "20", "",
     "retries allowed for each 100 first attempts"},
    {"policy", "priority", SettingKind::Number, "", 0, 9, "5", "", "0 runs first, 9 last"},
    {"policy", "serve_when_stale", SettingKind::Flag, "", 0, 0, "false", "",
     "continue idempotent work while control processes are unreachable"},
};

leaf::error_id fleetError(const std::string &file, const std::string &detail)
{
    return leaf::new_error(Error{ErrorId::FleetInvalid, "fleet file", file, detail});
}

template<typename Number> Number numberOf(const CheckedSection &section, const char *key)
{
    return static_cast<Number>(std::stoll(section.at(key)));
}

leaf::result<StageSpec> buildStage(const std::string &name, const CheckedSection &values)
{
    BOOST_LEAF_CHECK(parseSelector(values.at("upstreams")));
    StageSpec stage;
    stage.name_ = name;
    stage.selector_ = values.at("upstreams");
    stage.idempotent_ = values.at("idempotent") == "true";
    stage.stream_ = values.at("stream") == "true";
    stage.estimate_ = milliseconds(numberOf<std::int64_t>(values, "estimate"));
    stage.costPerSecond_ = numberOf<std::uint32_t>(values, "cost_per_second");
    return stage;
}

leaf::result<Pool> buildPool(const std::string &name, const CheckedSection &values)
{
    BOOST_LEAF_CHECK(parseSelector(values.at("upstreams")));
    BOOST_LEAF_AUTO(labels, parseLabels(values.at("labels")));
    return Pool{name, values.at("upstreams"), labels};
}

leaf::result<Account> buildAccount(const std::string &name, const CheckedSection &values)
{
    BOOST_LEAF_AUTO(labels, parseLabels(values.at("labels")));
    Account account;
    account.name_ = name;
    account.labels_ = labels;
    account.salt_ = values.at("salt");
    account.credentialDigest_ = values.at("credential_digest");
    account.requestsPerSecond_ = numberOf<std::uint32_t>(values, "requests_per_second");
    account.concurrency_ = numberOf<std::uint32_t>(values, "concurrency");
    return account;
}

leaf::result<Policy> buildPolicy(const std::string &name, const CheckedSection &values)
{
    BOOST_LEAF_CHECK(parseSelector(values.at("requests")));
    BOOST_LEAF_CHECK(parseSelector(values.at("upstreams")));
    Policy policy;
    policy.name_ = name;
    policy.requests_ = values.at("requests");
    policy.upstreams_ = values.at("upstreams");
    policy.costWeight_ = numberOf<std::uint32_t>(values, "cost_weight");
    policy.retryPercent_ = numberOf<std::uint32_t>(values, "retry_percent");
    policy.priority_ = numberOf<std::uint32_t>(values, "priority");
    policy.serveWhenStale_ = values.at("serve_when_stale") == "true";
    return policy;
}

leaf::result<PipelineSpec> buildPipeline(const std::string &name, const CheckedSection &values,
                                         const std::vector<StageSpec> &stages,
                                         const std::string &file)
{
    BOOST_LEAF_AUTO(labels, parseLabels(values.at("labels")));
    PipelineSpec pipeline;
    pipeline.name_ = name;
    pipeline.labels_ = labels;
    pipeline.deadline_ = milliseconds(numberOf<std::int64_t>(values, "deadline"));
    std::vector<std::string> names;
    boost::algorithm::split(names, values.at("stages"), [](char c) { return c == ','; });
    for (std::string &stageName : names) {
        boost::algorithm::trim(stageName);
        const StageSpec *stage = findByName(stages, stageName);
        if (!stage)
            return fleetError(file,
                              "section [pipeline " + name + "], key \"stages\" names \"" + stageName
                                  + "\"; allowed: names of [stage ...] sections");
        pipeline.stages_.push_back(*stage);
    }
    return pipeline;
}

struct NamedSection
{
    std::string kind_;
    std::string name_;
    CheckedSection values_;
};

leaf::result<std::vector<NamedSection>> checkSections(const std::vector<IniSection> &sections,
                                                      const std::string &file)
{
    static const std::vector<std::string> kinds = {"fleet", "pipeline", "stage",
                                                   "pool",  "account",  "policy"};
    std::vector<NamedSection> checked;
    for (const IniSection &section : sections) {
        const auto space = section.name_.find(' ');
        const std::string kind = section.name_.substr(0, space);
        const std::string name = space == std::string::npos ? "" : section.name_.substr(space + 1);
        if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end())
            return fleetError(file,
                              "section [" + section.name_
                                  + "] is unknown; allowed: fleet, pipeline NAME, stage NAME, "
                                    "pool NAME, account NAME, policy NAME");
        if (name.empty() != (kind == "fleet"))
            return fleetError(file, "section [" + section.name_ + "] needs a name after its kind");
        BOOST_LEAF_AUTO(values, checkSection(section, table, kind, file));
        checked.push_back(NamedSection{kind, name, values});
    }
    return checked;
}

} // namespace

leaf::result<Fleet> parseFleet(const std::string &text, const std::string &file)
{
    BOOST_LEAF_AUTO(sections, parseIni(text, file));
    BOOST_LEAF_AUTO(checked, checkSections(sections, file));
    Fleet fleet;
    std::vector<StageSpec> stages;
    for (const NamedSection &section : checked) {
        if (section.kind_ == "fleet") {
            fleet.retention_ = seconds(numberOf<std::int64_t>(section.values_, "retention"));
        } else if (section.kind_ == "stage") {
            BOOST_LEAF_AUTO(stage, buildStage(section.name_, section.values_));
            stages.push_back(stage);
        } else if (section.kind_ == "pool") {
            BOOST_LEAF_AUTO(pool, buildPool(section.name_, section.values_));
            fleet.pools_.push_back(pool);
        } else if (section.kind_ == "account") {
            BOOST_LEAF_AUTO(account, buildAccount(section.name_, section.values_));
            fleet.accounts_.push_back(account);
        } else if (section.kind_ == "policy") {
            BOOST_LEAF_AUTO(policy, buildPolicy(section.name_, section.values_));
            fleet.policies_.push_back(policy);
        }
    }
    for (const NamedSection &section : checked) {
        if (section.kind_ != "pipeline")
            continue;
        BOOST_LEAF_AUTO(pipeline, buildPipeline(section.name_, section.values_, stages, file));
        fleet.pipelines_.push_back(pipeline);
    }
    if (fleet.pipelines_.empty())
        return fleetError(file, "no [pipeline NAME] section; at least one is needed");
    return fleet;
}

} // namespace chervilspring
