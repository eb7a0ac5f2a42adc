/// @file
/// @brief Upstreams and the view of the fleet that each node keeps.
#pragma once

#include "chervilspring/fleet.hpp"

#include <boost/describe/enum.hpp>

#include <map>
#include <memory>

namespace chervilspring {

/// @brief Phase of an upstream. Only an upstream in phase Serving gets new work.
enum class UpstreamPhase : std::uint16_t { Announced, Serving, Leaving, Gone };
BOOST_DESCRIBE_ENUM(UpstreamPhase, Announced, Serving, Leaving, Gone)

/// @brief Upstream with its agent, or a direct upstream, which has no agent.
///
/// An agent has the name of its upstream. For a direct upstream the members agentAddress_,
/// agentPort_ and agentBoot_ hold its own address, port and boot id.
struct Upstream
{
    std::string name_; ///< unique in the fleet
    std::string dataCenter_; ///< data centre of its VM
    std::string agentAddress_; ///< IP address to send dispatches to, or requests if direct_
    std::uint16_t agentPort_ = 0; ///< port for dispatches, or for requests if direct_
    std::uint64_t agentBoot_ = 0; ///< boot id, different after each start; increasing if direct_
    std::uint32_t concurrency_ = 1; ///< number of calls that the upstream runs at once
    UpstreamPhase phase_ = UpstreamPhase::Announced;
    bool drained_ = false; ///< an operator drains it: it gets no new work
    Labels labels_; ///< announced labels
    Labels operatorLabels_; ///< labels set by operators; override labels_ of the same key
    bool direct_ = false; ///< the upstream has no agent
    std::uint64_t sequence_ = 0; ///< number of the announcement; used if direct_
    bool cold_ = false; ///< has just started and bears only Pool::coldRate_
};
BOOST_DESCRIBE_STRUCT(Upstream, (),
                      (name_, dataCenter_, agentAddress_, agentPort_, agentBoot_, concurrency_,
                       phase_, drained_, labels_, operatorLabels_, direct_, sequence_, cold_))

/// @brief Progress of the trial of a request that is refused because it has crashed upstreams.
enum class TrialPhase : std::uint16_t {
    None,
    Offered, ///< an entry that gets such a request may take the trial
    Running, ///< an entry has taken it, and sends a single request to a single upstream
};
BOOST_DESCRIBE_ENUM(TrialPhase, None, Offered, Running)

/// @brief Request body that is suspected of crashing upstreams.
struct Suspect
{
    std::uint64_t digest_ = 0; ///< digest of account, pipeline and body
    std::uint32_t crashes_ = 0; ///< number of crashes while it ran
    bool refused_ = false; ///< entries refuse the request body
    /// Ids of the newest of these crashes, oldest first: digests of upstream and boot id.
    std::vector<std::uint64_t> crashIds_;
    /// Runs of it have ended well before the crashes. A request that crashes upstreams has none.
    bool hasRunWell_ = false;
    /// Requests that are refused, and have never run well, ran at all of these crashes: they
    /// explain them better.
    bool isExplained_ = false;
    std::uint32_t trials_ = 0; ///< trials that entries have taken
    TrialPhase trialPhase_ = TrialPhase::None;
    std::string trialEntry_; ///< name of the entry that has taken the running trial
    /// Upstream of the running trial. It gets nothing else meanwhile; empty: a scheduler chooses
    /// it.
    std::string trialUpstream_;
};
BOOST_DESCRIBE_STRUCT(Suspect, (),
                      (digest_, crashes_, refused_, crashIds_, hasRunWell_, isExplained_, trials_,
                       trialPhase_, trialEntry_, trialUpstream_))

/// @brief Tells whether a request has crashed so many upstreams that it is sent to no other one,
/// except for trials.
bool hasCrashedTooOften(const Suspect &suspect);

/// @brief Prompt parts that crash model engines. Requests that have all of them are refused.
struct Quarantine
{
    std::uint64_t id_ = 0; ///< digest of the parts that it began with
    std::vector<std::string> parts_; ///< ids of prompt parts, sorted
    std::uint32_t crashes_ = 0; ///< crashes of upstreams that are attributed to the parts
    std::uint32_t trials_ = 0; ///< requests that were admitted to find out whether they still crash
    bool afterStart_ = false; ///< upstreams crash after the first token, which proves nothing then
    bool operator==(const Quarantine &) const = default;
};
BOOST_DESCRIBE_STRUCT(Quarantine, (), (id_, parts_, crashes_, trials_, afterStart_))

/// @brief State of the fleet at one version: configuration, upstreams, suspects, quarantines and
/// evacuations.
struct View
{
    std::uint64_t version_ = 0; ///< log index of the newest change
    std::uint64_t fleetVersion_ = 0; ///< log index at which fleet_ was accepted
    Fleet fleet_;
    std::vector<Upstream> upstreams_; ///< sorted by name
    std::vector<Suspect> suspects_;
    std::vector<Quarantine> quarantines_; ///< oldest first
    std::vector<std::string> evacuated_; ///< names of the evacuated data centres, sorted
};
BOOST_DESCRIBE_STRUCT(View, (),
                      (version_, fleetVersion_, fleet_, upstreams_, suspects_, quarantines_,
                       evacuated_))

/// @brief Shared pointer to a view. A published view is never modified.
using ViewPointer = std::shared_ptr<const View>;

/// @brief Merges the labels of an upstream that selectors are evaluated on.
/// @param upstream the upstream; its operator labels override announced labels of the same key
/// @param fleet configuration with the pools; their labels are added for each pool it belongs to
/// @return the merged labels, including "name", "data_center" and a "pool" for each pool
Labels effectiveLabels(const Upstream &upstream, const Fleet &fleet);

/// @brief Finds, for each pool, the members that can take new work.
/// @param view the view; it owns the returned upstreams
/// @return upstreams by pool name; a pool without members has an empty list
std::map<std::string, std::vector<const Upstream *>> poolMembers(const View &view);

/// @brief Tells whether the labels of an upstream match the selector of a pool.
bool belongsToPool(const Upstream &upstream, const Fleet &fleet);

/// @brief Tells whether connections to an upstream are possible: the address of a direct upstream
/// is an IP address, not a name.
bool hasUsableAddress(const Upstream &upstream);

/// @brief Returns the boot id of a direct upstream that starts at a time.
std::uint64_t bootIdOfStart(WallTime time);

/// @brief Tells whether an upstream can take new work.
/// @param upstream the upstream
/// @return true if it is in phase Serving, not drained, and its address is usable
bool takesNewWork(const Upstream &upstream);

/// @brief Tells whether an upstream can take new work and its data centre isn't evacuated.
/// @param upstream the upstream
/// @param view the view that lists it
bool takesNewWork(const Upstream &upstream, const View &view);

} // namespace chervilspring
