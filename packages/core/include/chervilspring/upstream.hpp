/// @file
/// @brief Upstreams as they announce themselves, and the view of the fleet that nodes hold.
#pragma once

#include "chervilspring/fleet.hpp"

#include <boost/describe/enum.hpp>

#include <map>
#include <memory>

namespace chervilspring {

/// @brief Where an upstream stands in its life.
enum class UpstreamPhase : std::uint16_t { Announced, Serving, Leaving, Gone };
BOOST_DESCRIBE_ENUM(UpstreamPhase, Announced, Serving, Leaving, Gone)

/// @brief An upstream together with the agent beside it, or a direct one without an agent.
///
/// An agent shares the upstream's name. Of a direct upstream, address, port and boot are its own.
struct Upstream
{
    std::string name_;
    std::string dataCenter_;
    std::string agentAddress_; ///< IP number that takes dispatches, or requests if direct
    std::uint16_t agentPort_ = 0;
    std::uint64_t agentBoot_ = 0; ///< changes with every start; grows with each one if direct
    std::uint32_t concurrency_ = 1; ///< calls that the upstream takes at once
    UpstreamPhase phase_ = UpstreamPhase::Announced;
    bool drained_ = false; ///< an operator asked it to leave
    Labels labels_; ///< as announced
    Labels operatorLabels_; ///< set by operators; they replace announced ones of the same key
    bool direct_ = false; ///< has no agent
    std::uint64_t sequence_ = 0; ///< of the announcement, for direct upstreams
};
BOOST_DESCRIBE_STRUCT(Upstream, (),
                      (name_, dataCenter_, agentAddress_, agentPort_, agentBoot_, concurrency_,
                       phase_, drained_, labels_, operatorLabels_, direct_, sequence_))

/// @brief A request body that crashed upstreams.
struct Suspect
{
    std::uint64_t digest_ = 0; ///< of account, pipeline and body
    std::uint32_t crashes_ = 0;
    bool refused_ = false; ///< no entry dispatches it any more
};
BOOST_DESCRIBE_STRUCT(Suspect, (), (digest_, crashes_, refused_))

/// @brief Immutable picture of the fleet at one version.
struct View
{
    std::uint64_t version_ = 0; ///< log position of the newest change it holds
    std::uint64_t fleetVersion_ = 0; ///< log position at which the fleet file was accepted
    Fleet fleet_;
    std::vector<Upstream> upstreams_; ///< sorted by name
    std::vector<Suspect> suspects_;
};
BOOST_DESCRIBE_STRUCT(View, (), (version_, fleetVersion_, fleet_, upstreams_, suspects_))

using ViewPointer = std::shared_ptr<const View>;

/// @brief Labels that routing sees: announced, replaced by operators', plus those of its pools.
/// @param upstream the upstream
/// @param fleet the configuration with the pools
/// @return the merged labels, with "name" and "data_center" added
Labels effectiveLabels(const Upstream &upstream, const Fleet &fleet);

/// @brief Upstreams of each pool that take new work.
/// @param view the view; the pointers are valid as long as it is
/// @return by pool name; a pool without any is present with an empty list
std::map<std::string, std::vector<const Upstream *>> poolMembers(const View &view);

/// @brief Whether new work may go to an upstream.
/// @param upstream the upstream
/// @return true if it serves and nobody asked it to leave
bool takesNewWork(const Upstream &upstream);

} // namespace chervilspring
