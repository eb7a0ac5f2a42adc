/// @file
/// @brief Model of upstreams: plain services, booking services and language models.
///
/// The model computes service times and responses. It reads no clock, so that the stand-in upstream
/// and the benchmarks in virtual time share it.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace standins {

using chervilspring::nanoseconds;

/// @brief Kind of upstream.
enum class UpstreamKind { Service, LanguageModel, Booking };

/// @brief Parameters of one upstream.
struct ServiceModel
{
    UpstreamKind kind_ = UpstreamKind::Service;
    nanoseconds meanTime_ = std::chrono::milliseconds(10); ///< mean service time of a plain call
    double sigma_ = 0.3; ///< parameter sigma of the log-normal service time
    nanoseconds stepBase_ = std::chrono::milliseconds(8); ///< constant part of a decoding step
    nanoseconds stepPerSequence_ = std::chrono::microseconds(400); ///< per sequence in the batch
    nanoseconds prefillPerToken_ = std::chrono::microseconds(60); ///< per uncached prompt token
    std::size_t prefixCacheEntries_ = 64; ///< maximum number of prefixes in the cache
    double slowFactor_ = 1.0; ///< multiplies service and decoding times
};

/// @brief Draws the service time of a plain call.
nanoseconds drawServiceTime(const ServiceModel &model, std::mt19937_64 &random);

/// @brief Time of one decoding step.
/// @param batch number of sequences in the batch
nanoseconds stepTime(const ServiceModel &model, std::size_t batch);

/// @brief Time to process a prompt, of which a part may be cached.
nanoseconds prefillTime(const ServiceModel &model, std::size_t promptTokens,
                        std::size_t cachedTokens);

/// @brief FIFO cache of prompt prefixes.
class PrefixCache
{
public:
    /// @param capacity maximum number of prefixes
    explicit PrefixCache(std::size_t capacity);

    /// @brief Looks up a prompt's prefix and adds it if it is missing.
    /// @return number of cached tokens of the prompt, 0 if its prefix was missing
    std::size_t touch(std::string_view prompt);

private:
    std::size_t capacity_;
    std::deque<std::uint64_t> insertionOrder_; ///< digests of prefixes, oldest first
    std::unordered_set<std::uint64_t> digests_;
};

/// @brief Estimated number of tokens of a text.
std::size_t countTokens(std::string_view text);

/// @brief Tokens that a language model generates for a prompt.
///
/// The tokens depend on the prompt only, and the first one contains the prompt's marker.
/// @param prompt JSON text with the members "marker" and "max_tokens"
std::vector<std::string> generateTokens(const std::string &prompt);

/// @brief Response of a plain service: the request body with the stage added to "stages".
std::string makeStageResponse(const std::string &stage, const std::string &body);

/// @brief Member "marker" of the outermost JSON object; nested objects are not searched.
/// @return the marker; empty if it is missing or not a string, or if the body is not a JSON object
std::string markerOf(const std::string &body);

} // namespace standins
