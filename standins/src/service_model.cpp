#include "standins/service_model.hpp"

#include "chervilspring/digest.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace standins {

namespace {

constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t prefixCharacters = 64;
constexpr std::size_t defaultTokens = 16;
constexpr std::size_t maxTokens = 2048;

boost::json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : boost::json::object();
}

std::size_t requestedTokens(const boost::json::object &body)
{
    const auto *value = body.if_contains("max_tokens");
    if (!value || !value->is_int64())
        return defaultTokens;
    return std::clamp<std::size_t>(static_cast<std::size_t>(value->as_int64()), 1, maxTokens);
}

} // namespace

nanoseconds drawServiceTime(const ServiceModel &model, std::mt19937_64 &random)
{
    const double sigma = model.sigma_;
    std::lognormal_distribution<double> factor(-sigma * sigma / 2, sigma);
    const double mean = static_cast<double>(model.meanTime_.count()) * model.slowFactor_;
    return nanoseconds(static_cast<std::int64_t>(mean * factor(random)));
}

nanoseconds stepTime(const ServiceModel &model, std::size_t batch)
{
    const nanoseconds step =
        model.stepBase_ + model.stepPerSequence_ * static_cast<std::int64_t>(batch);
    return nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(step.count()) * model.slowFactor_));
}

nanoseconds prefillTime(const ServiceModel &model, std::size_t promptTokens,
                        std::size_t cachedTokens)
{
    const std::size_t uncachedTokens = promptTokens - std::min(promptTokens, cachedTokens);
    return model.prefillPerToken_ * static_cast<std::int64_t>(uncachedTokens);
}

PrefixCache::PrefixCache(std::size_t capacity) : capacity_(capacity) { }

std::size_t PrefixCache::touch(std::string_view prompt)
{
    const std::string_view prefix = prompt.substr(0, prefixCharacters);
    const std::uint64_t digest = chervilspring::contentDigest(prefix);
    if (digests_.contains(digest))
        return countTokens(prefix);
    digests_.insert(digest);
    insertionOrder_.push_back(digest);
    if (insertionOrder_.size() > capacity_) {
        digests_.erase(insertionOrder_.front());
        insertionOrder_.pop_front();
    }
    return 0;
}

std::size_t countTokens(std::string_view text)
{
    return text.size() / charactersPerToken + 1;
}

std::string markerOf(const std::string &body)
{
    const auto object = parseObject(body);
    const auto *marker = object.if_contains("marker");
    return marker && marker->is_string() ? std::string(marker->as_string()) : std::string();
}

std::vector<std::string> generateTokens(const std::string &prompt)
{
    static const char *words[] = {" honey", " cork",   " batch",  " route",
                                  " blend", " intake", " cellar", " pickup"};
    const auto body = parseObject(prompt);
    std::vector<std::string> tokens = {"re:" + markerOf(prompt)};
    std::mt19937_64 random(chervilspring::contentDigest(markerOf(prompt)));
    const std::size_t count = requestedTokens(body);
    while (tokens.size() < count)
        tokens.emplace_back(words[random() % std::size(words)]);
    return tokens;
}

std::string makeStageResponse(const std::string &stage, const std::string &body)
{
    boost::json::object response = parseObject(body);
    boost::json::array visitedStages;
    if (const auto *stages = response.if_contains("stages"); stages && stages->is_array())
        visitedStages = stages->as_array();
    visitedStages.emplace_back(stage);
    response["stages"] = visitedStages;
    return boost::json::serialize(response);
}

} // namespace standins
