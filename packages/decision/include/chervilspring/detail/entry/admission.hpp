/// @file
/// @brief Admission control: decides at arrival whether a request is accepted.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief Checks a request and fills in what the configuration determines.
///
/// An accepted request takes a token from its account's token bucket and adds to the retry budget
/// of its pipeline.
/// @param state the state of the entry shard
/// @param now local time
/// @param wall wall-clock time, to check the date in idempotency keys
/// @param event the caller's request
/// @param request receives view, pipeline, policy, account, key, input, digest and deadline
/// @return the error answer; its errorId_ is 0 if the request is accepted
Answer admit(EntryState &state, Instant now, WallTime wall, const CallerRequest &event,
             Request &request);

/// @brief Finds the account that a credential belongs to.
/// @return the name of the account, empty if the credential is unknown
std::string authenticate(EntryState &state, const std::string &credential);

/// @brief The policy for an account and a pipeline: the first by name whose selector matches, or a
/// default policy without a name.
Policy policyFor(const Fleet &fleet, const Account &account, const PipelineSpec &pipeline);

/// @brief Takes one retry from a pipeline's retry budget.
/// @return false if the budget is exhausted; always true if the budget is switched off
bool takeRetry(EntryState &state, const std::string &pipeline);

} // namespace chervilspring
