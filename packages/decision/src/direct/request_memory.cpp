#include "chervilspring/detail/direct/request_memory.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// A client that still sends is heard from more often.
constexpr nanoseconds stallTime = seconds(1);
constexpr std::size_t smallRequestShare = 8; // a part of 1/8 is kept for small requests

bool fits(const RequestMemory &memory, std::size_t bytes)
{
    const std::size_t reserve =
        bytes > smallRequestBytes ? memory.limitBytes_ / smallRequestShare : 0;
    return memory.usedBytes_ + bytes + reserve <= memory.limitBytes_;
}

// Gives up unfinished requests without progress since a time, until another request fits. Those
// whose bytes ceased to arrive first go first.
void evictUntilFits(RequestMemory &memory, std::size_t bytes, Instant withoutProgressSince,
                    std::vector<std::uint64_t> &evicted)
{
    std::vector<std::pair<Instant, std::uint64_t>> candidates;
    for (const auto &[id, request] : memory.requests_) {
        if (request.isReading_ && request.progressAt_ <= withoutProgressSince)
            candidates.emplace_back(request.progressAt_, id);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto &[progressAt, id] : candidates) {
        if (fits(memory, bytes))
            return;
        releaseRequest(memory, id);
        evicted.push_back(id);
    }
}

} // namespace

MemoryDecision holdRequest(RequestMemory &memory, std::uint64_t id, std::size_t bytes, Instant now)
{
    MemoryDecision decision;
    releaseRequest(memory, id); // added again below, so that it isn't given up for itself
    if (!fits(memory, bytes))
        evictUntilFits(memory, bytes, now - stallTime, decision.evicted_);
    if (!fits(memory, bytes) && bytes <= smallRequestBytes)
        evictUntilFits(memory, bytes, now, decision.evicted_);
    decision.isAdmitted_ = fits(memory, bytes);
    if (!decision.isAdmitted_)
        return decision;
    memory.requests_[id] = HeldRequest{bytes, true, now};
    memory.usedBytes_ += bytes;
    return decision;
}

void completeRequest(RequestMemory &memory, std::uint64_t id, std::size_t bytes)
{
    const auto found = memory.requests_.find(id);
    if (found == memory.requests_.end())
        return;
    HeldRequest &request = found->second;
    memory.usedBytes_ = memory.usedBytes_ - request.bytes_ + bytes;
    request.bytes_ = bytes;
    request.isReading_ = false;
}

void releaseRequest(RequestMemory &memory, std::uint64_t id)
{
    const auto found = memory.requests_.find(id);
    if (found == memory.requests_.end())
        return;
    memory.usedBytes_ -= found->second.bytes_;
    memory.requests_.erase(found);
}

} // namespace chervilspring
