/// @file
/// @brief Lifecycle of an idempotency record in the replicated state.
#include "chervilspring/detail/control/fleet_state.hpp"

#include <iostream>

using namespace chervilspring;

namespace {

Record makeRecord(const AttemptId &attempt)
{
    Record record;
    record.key_ = RecordKey{"buyers-desk", "honey-order", "1764826201-order-4711"};
    record.bodyDigest_ = 99;
    record.attempt_ = attempt;
    return record;
}

} // namespace

int main()
{
    FleetState state;
    std::uint64_t index = 0;
    const auto commit = [&](const char *description, const Command &command) {
        const WallTime now(seconds(1764826202));
        const Outcome outcome = apply(state, LogEntry{++index, 1, now, command});
        std::cout << description << ": " << boost::describe::enum_to_string(outcome.kind_, "?");
        if (outcome.record_ && outcome.record_->phase_ == RecordPhase::Completed)
            std::cout << " " << outcome.record_->body_;
        std::cout << "\n";
    };
    const AttemptId first{RequestId{"e1.0", 1, 1}, 1, 0};
    const AttemptId resend{RequestId{"e2.0", 1, 1}, 1, 0};
    commit("reserve", ReserveRecord{makeRecord(first)});
    commit("reserve by a resend", ReserveRecord{makeRecord(resend)});
    commit("complete", CompleteRecord{makeRecord(first).key_, first, "{\"booked\":4711}"});
    commit("reserve by a resend", ReserveRecord{makeRecord(resend)});
    Record otherBody = makeRecord(resend);
    otherBody.bodyDigest_ = 100;
    commit("reserve with another body", ReserveRecord{otherBody});
}
