/// @file
/// @brief Open-loop load generator for several workloads that checks every response.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins {

using chervilspring::milliseconds;
using chervilspring::seconds;

/// @brief A kind of request and its arrival rate.
struct Workload
{
    std::string name_;
    std::string pipeline_;
    std::string credential_;
    double requestsPerSecond_ = 1; ///< mean rate of Poisson arrivals
    milliseconds deadline_{5000};
    int maxTokens_ = 0; ///< length of generated text; 0 for pipelines that generate none
    bool stream_ = false; ///< asks for a streamed response
    bool idempotencyKey_ = false; ///< sends an Idempotency-Key
    std::string question_ = "how much honey is in batch 7?"; ///< sent in the request body
};

/// @brief Outcomes of the requests of one workload.
///
/// A marker is a text in the request body that identifies the request.
struct WorkloadReport
{
    std::uint64_t sent_ = 0; ///< number of all requests
    std::uint64_t attained_ = 0; ///< complete and correct within the deadline
    std::uint64_t late_ = 0; ///< complete and correct after the deadline
    std::uint64_t rejected_ = 0; ///< errors with ran = not_run
    std::uint64_t failed_ = 0; ///< all other errors
    std::uint64_t mismatched_ = 0; ///< complete, but with another text than expected
    std::uint64_t incomplete_ = 0; ///< connection lost or response incomplete
    std::vector<double> latenciesMs_; ///< of requests answered without an error
    std::vector<double> firstTokenTimesMs_; ///< from sending the request to the first token
    std::vector<double> tokenGapsMs_; ///< between successive tokens
    std::map<std::string, std::uint64_t> errors_; ///< number by error id or connection error
    std::vector<std::string> answeredMarkers_; ///< markers of requests answered without an error
    std::vector<std::string> notRunMarkers_; ///< markers of rejected requests
    std::string sample_; ///< text of the first response
    std::string sampleRequest_; ///< id of the request answered with sample_
};

/// @brief Parameters of a load run.
struct LoadSpec
{
    std::vector<std::uint16_t> entryPorts_; ///< HTTP ports of the entries, used round-robin
    std::vector<Workload> workloads_;
    milliseconds duration_{5000}; ///< time during which requests are sent
    std::uint64_t seed_ = 1;
};

/// @brief Reports by workload name.
using LoadReport = std::map<std::string, WorkloadReport>;

/// @brief Sends the load and waits for all responses, at most 2 s beyond the last deadline.
LoadReport runLoad(const LoadSpec &spec);

/// @brief Quantile of samples.
/// @param samples values in any order
/// @param probability from 0 to 1
/// @return the sample at the quantile; 0 without samples
double quantile(std::vector<double> samples, double probability);

/// @brief Creates an Idempotency-Key that starts with the current time in seconds.
/// @param unique rest of the key
std::string newKey(const std::string &unique);

} // namespace standins
