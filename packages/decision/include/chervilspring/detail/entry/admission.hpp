/// @file
/// @brief Admission control: decides at arrival whether a request is accepted.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief Checks a request and fills in what the configuration determines.
/// @param state the state of the entry
/// @param now local time
/// @param wall wall-clock time, to check the date in idempotency keys
/// @param event the caller's request
/// @param request receives pipeline, policy, account, deadline and digests
/// @return the error answer; its errorId_ is 0 if the request is accepted
Answer admit(EntryState &state, Instant now, WallTime wall, const CallerRequest &event,
             Request &request);

/// @brief Finds the account that a credential belongs to.
/// @return the name of the account, empty if the credential is unknown
std::string authenticate(EntryState &state, const std::string &credential);

/// @brief The policy for an account and a pipeline: the first match in the order of names.
Policy policyFor(const Fleet &fleet, const Account &account, const PipelineSpec &pipeline);

/// @brief Takes one retry from a pipeline's retry budget.
/// @return false if the budget is exhausted
bool takeRetry(EntryState &state, const std::string &pipeline);

} // namespace chervilspring
