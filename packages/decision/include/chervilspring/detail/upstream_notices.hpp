/// @file
/// @brief What upstreams say about themselves in their answers: that they leave, or that they want
/// no requests for a while.
#pragma once

#include "chervilspring/time.hpp"
#include "chervilspring/upstream.hpp"

#include <map>
#include <optional>
#include <string>

namespace chervilspring {

/// @brief Notice in the head of an upstream's answer.
struct UpstreamNotice
{
    bool leaving_ = false; ///< the upstream will end; it must get no new requests
    nanoseconds pause_{0}; ///< the upstream wants no requests for this time; 0: it doesn't say so
    bool isEmpty() const { return !leaving_ && pause_ == nanoseconds(0); }
};

/// @brief The notices of one upstream that are in force.
struct NoticeRecord
{
    std::uint64_t boot_ = 0; ///< Upstream::agentBoot_; a new start of the upstream is unaffected
    bool leaving_ = false;
    Instant pausedUntil_{}; ///< end of the longest pause
    Instant heardAt_{}; ///< time of the newest notice
};

/// @brief Notices by upstream name. Bounded; independent of the view, which may lose an upstream
/// for a while.
using NoticeTable = std::map<std::string, NoticeRecord>;

/// @brief Stores a notice.
/// @param table the notices
/// @param upstream sender of the answer
/// @param notice the notice; longer pauses than an hour are shortened to it
/// @param now time of the answer
/// @return whether it tells something new: that the upstream leaves, or a pause after none
bool recordNotice(NoticeTable &table, const Upstream &upstream, const UpstreamNotice &notice,
                  Instant now);

/// @brief Returns from when on an upstream may get requests.
/// @return Instant{} if it may get them now, Instant::max() if it leaves
Instant usableFrom(const NoticeTable &table, const Upstream &upstream, Instant now);

/// @brief Returns the time until the first of some upstreams may get requests.
/// @param upstreams the upstreams
/// @return 0 if one of them may get requests now; nothing if there is none or if all of them leave
std::optional<nanoseconds> timeUntilUsable(const NoticeTable &table,
                                           const std::vector<const Upstream *> &upstreams,
                                           Instant now);

/// @brief Returns those of some upstreams that may get requests now.
std::vector<const Upstream *> usableUpstreams(const NoticeTable &table,
                                              const std::vector<const Upstream *> &upstreams,
                                              Instant now);

/// @brief Describes a notice for the decision log.
std::string noticeText(const Upstream &upstream, const UpstreamNotice &notice);

} // namespace chervilspring
