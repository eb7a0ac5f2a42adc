#include "chervilspring/detail/entry/admission.hpp"

#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/entry/routing.hpp"
#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr double maxRetryBudget = 10; // retries that a pipeline may accumulate
constexpr auto maxKeyClockSkew = seconds(60); // a caller's clock may be this far ahead of the VM's
constexpr std::size_t maxKeyLength = 200; // characters
constexpr auto refusalRetryAfter = milliseconds(1000);
constexpr auto stopRetryAfter = milliseconds(1); // another entry can take the request at once

Answer refusal(ErrorId id, const std::string &detail, milliseconds retryAfter = {})
{
    Answer answer;
    answer.errorId_ = static_cast<std::uint16_t>(id);
    answer.step_ = "admission";
    answer.detail_ = detail;
    answer.retryAfter_ = retryAfter;
    return answer;
}

Answer checkKey(const CallerRequest &event, WallTime wall)
{
    if (event.key_.empty())
        return {};
    const auto issued = keyTime(event.key_);
    if (!issued || event.key_.size() > maxKeyLength)
        return refusal(ErrorId::BadIdempotencyKey,
                       "Idempotency-Key has the form <unix seconds>-<unique part>, up to "
                           + std::to_string(maxKeyLength) + " characters");
    if (*issued > wall + maxKeyClockSkew)
        return refusal(ErrorId::BadIdempotencyKey, "the date in Idempotency-Key is in the future");
    return {};
}

Answer checkDeadline(const EntryState &state, const CallerRequest &event,
                     const PipelineSpec &pipeline, Instant now, Request &request)
{
    const milliseconds timeout =
        event.deadline_ == milliseconds(0) ? pipeline.deadline_ : event.deadline_;
    if (timeout < milliseconds(0))
        return refusal(ErrorId::BadDeadline, "the deadline has passed");
    if (timeout > pipeline.deadline_)
        return refusal(ErrorId::BadDeadline,
                       "the largest deadline of this pipeline is "
                           + std::to_string(pipeline.deadline_.count()) + " ms");
    request.deadline_ = std::min(now + timeout, state.exitAt_);
    return {};
}

// Refills an account's token bucket at this shard's share of the fleet-wide rate, and takes a token
// from it. The bucket holds a quarter of a second of requests, at least one.
bool takeRateToken(EntryState &state, const Account &account, AccountUse &use, Instant now)
{
    const bool shareValid = state.shareExpires_ > now;
    const double share = shareValid ? static_cast<double>(state.share_) / wholeShare : 0;
    const double rate = account.requestsPerSecond_ * share / state.settings_.shards_;
    if (use.refilledAt_ == Instant{}) {
        use.tokens_ = rate > 0 ? std::max(1.0, rate / 4) : 0;
        use.refilledAt_ = now;
    }
    const double elapsed = static_cast<double>((now - use.refilledAt_).count()) / 1e9;
    use.tokens_ = std::min(std::max(1.0, rate / 4), use.tokens_ + rate * elapsed);
    use.refilledAt_ = now;
    if (!shareValid || use.tokens_ < 1)
        return false;
    use.tokens_ -= 1;
    return true;
}

Answer checkLimits(EntryState &state, const Account &account, Instant now)
{
    AccountUse &use = state.accounts_[account.name_];
    if (use.inFlight_ >= std::max(1u, account.concurrency_ / state.settings_.shards_))
        return refusal(ErrorId::AccountLimit, "too many requests of this account in flight",
                       refusalRetryAfter);
    if (!takeRateToken(state, account, use, now))
        return refusal(ErrorId::AccountLimit, "the account is over its rate", refusalRetryAfter);
    return {};
}

Answer checkSuspects(const EntryState &state, const Request &request)
{
    for (const Suspect &suspect : state.view_->suspects_) {
        if (suspect.digest_ != request.contentDigest_ || !suspect.refused_)
            continue;
        return refusal(ErrorId::RequestRefused, "this request has crashed upstreams that ran it");
    }
    return {};
}

Answer checkFeasible(EntryState &state, Instant now, const Request &request)
{
    for (std::uint32_t i = 0; i < request.pipeline_->stages_.size(); ++i) {
        if (candidatesFor(state, *request.pipeline_, i, request.policy_).empty())
            return refusal(ErrorId::NoUpstream,
                           "no upstream serves stage " + request.pipeline_->stages_[i].name_,
                           refusalRetryAfter);
    }
    if (!state.features_.admission_)
        return {};
    const nanoseconds needed = expectedTotal(state, now, request);
    if (now + needed <= request.deadline_)
        return {};
    const bool leaving = request.deadline_ == state.exitAt_;
    return refusal(leaving ? ErrorId::EntryStopping : ErrorId::CannotMeetDeadline,
                   "the stages are expected to take " + std::to_string(needed / milliseconds(1))
                       + (leaving ? " ms, and this entry leaves before" : " ms"),
                   leaving ? stopRetryAfter : refusalRetryAfter);
}

bool isIdempotent(const PipelineSpec &pipeline)
{
    return std::all_of(pipeline.stages_.begin(), pipeline.stages_.end(),
                       [](const StageSpec &stage) { return stage.idempotent_; });
}

Answer checkViewAge(const EntryState &state, Instant now, const Request &request)
{
    if (now - state.asOf_ <= state.settings_.staleAfter_)
        return {};
    if (request.policy_.serveWhenStale_ && isIdempotent(*request.pipeline_))
        return {};
    return refusal(ErrorId::ViewTooOld, "this entry has been cut off from the control processes",
                   refusalRetryAfter);
}

} // namespace

Policy policyFor(const Fleet &fleet, const Account &account, const PipelineSpec &pipeline)
{
    Labels labels = account.labels_;
    labels.insert(labels.end(), pipeline.labels_.begin(), pipeline.labels_.end());
    labels.push_back(Label{"account", account.name_});
    labels.push_back(Label{"pipeline", pipeline.name_});
    const Policy *best = nullptr;
    for (const Policy &policy : fleet.policies_) {
        const bool applies = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(selector, parseSelector(policy.requests_));
                return matches(selector, labels);
            },
            [] { return false; });
        if (applies && (!best || policy.name_ < best->name_))
            best = &policy;
    }
    return best ? *best : Policy{};
}

std::string authenticate(EntryState &state, const std::string &credential)
{
    const auto known = state.credentials_.find(credential);
    if (known != state.credentials_.end())
        return known->second;
    for (const Account &account : state.view_->fleet_.accounts_) {
        const std::string digest = credentialDigest(account.salt_, credential);
        if (!equalInConstantTime(digest, account.credentialDigest_))
            continue;
        state.credentials_[credential] = account.name_;
        return account.name_;
    }
    return {};
}

bool takeRetry(EntryState &state, const std::string &pipeline)
{
    RetryBudget &budget = state.budgets_[pipeline];
    if (!state.features_.limitRetries_)
        return true;
    if (budget.remaining_ < 1)
        return false;
    budget.remaining_ -= 1;
    return true;
}

Answer admit(EntryState &state, Instant now, WallTime wall, const CallerRequest &event,
             Request &request)
{
    if (state.stopping_)
        return refusal(ErrorId::EntryStopping, "this entry is stopping", stopRetryAfter);
    request.account_ = authenticate(state, event.credential_);
    const Fleet &fleet = state.view_->fleet_;
    const Account *account = findByName(fleet.accounts_, request.account_);
    if (!account)
        return refusal(ErrorId::BadCredential, "unknown credential");
    const PipelineSpec *pipeline = findByName(fleet.pipelines_, event.pipeline_);
    if (!pipeline)
        return refusal(ErrorId::UnknownPipeline, "no pipeline " + event.pipeline_);
    request.view_ = state.view_;
    request.pipeline_ = pipeline;
    request.policy_ = policyFor(fleet, *account, *pipeline);
    request.key_ = event.key_;
    request.stream_ = event.stream_;
    request.stageInput_ = event.body_;
    request.contentDigest_ =
        contentDigest(request.account_ + '\n' + event.pipeline_ + '\n' + event.body_);
    if (const Answer error = checkKey(event, wall); error.errorId_ != 0)
        return error;
    if (const Answer error = checkDeadline(state, event, *pipeline, now, request);
        error.errorId_ != 0)
        return error;
    if (const Answer error = checkViewAge(state, now, request); error.errorId_ != 0)
        return error;
    if (const Answer error = checkSuspects(state, request); error.errorId_ != 0)
        return error;
    if (const Answer error = checkFeasible(state, now, request); error.errorId_ != 0)
        return error;
    if (const Answer error = checkLimits(state, *account, now); error.errorId_ != 0)
        return error;
    RetryBudget &budget = state.budgets_[pipeline->name_];
    budget.remaining_ =
        std::min(maxRetryBudget, budget.remaining_ + request.policy_.retryPercent_ / 100.0);
    return {};
}

} // namespace chervilspring
