/// @file
/// @brief Identifiers of requests and attempts.
#pragma once

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Identifier of a request, unique in the fleet.
struct RequestId
{
    std::string entry_; ///< name of the entry that received the request
    std::uint64_t boot_ = 0; ///< boot id of that entry
    std::uint64_t sequence_ = 0; ///< number of the request since the entry's start
    auto operator<=>(const RequestId &) const = default;
};
BOOST_DESCRIBE_STRUCT(RequestId, (), (entry_, boot_, sequence_))

/// @brief Identifier of one attempt to run a stage of a request.
struct AttemptId
{
    RequestId request_;
    std::uint32_t stage_ = 0; ///< index of the stage in the pipeline
    std::uint32_t attempt_ = 0; ///< number of the attempt at the stage, starting at 0
    auto operator<=>(const AttemptId &) const = default;
};
BOOST_DESCRIBE_STRUCT(AttemptId, (), (request_, stage_, attempt_))

/// @brief Formats a request id as "entry-boot-sequence", with the boot id in hexadecimal.
std::string toString(const RequestId &id);

/// @brief Formats an attempt id as "entry-boot-sequence/stage/attempt".
std::string toString(const AttemptId &id);

/// @brief Parses a request id.
/// @param text the format of toString
/// @return the id, or nothing if the text is malformed
std::optional<RequestId> parseRequestId(std::string_view text);

} // namespace chervilspring
