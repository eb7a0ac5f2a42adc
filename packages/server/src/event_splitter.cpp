#include "chervilspring/detail/net/event_splitter.hpp"

#include <charconv>
#include <utility>

namespace chervilspring {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Returns the value of the event's field "id", empty if it has none.
std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(idField))
            continue;
        std::string_view value = line.substr(idField.size());
        if (value.starts_with(' '))
            value.remove_prefix(1);
        return value;
    }
    return {};
}

// Receivers ignore events without data.
bool hasData(std::string_view event)
{
    return event.starts_with("data") || event.find("\ndata") != std::string_view::npos;
}

} // namespace

EventSplitter::EventSplitter(const std::string &lastEventId)
    : lastId_(lastEventId), lastNumericId_(parseNumber(lastEventId))
{ }

// Records the id of an event. Returns false if the caller already has the event, or if events
// before it are missing.
bool EventSplitter::acceptEvent(std::string_view event)
{
    const std::string_view id = eventId(event);
    if (id.empty()) {
        resumable_ = resumable_ && !hasData(event);
        return true;
    }
    const auto number = parseNumber(id);
    if (number && lastNumericId_ && *number <= *lastNumericId_)
        return false;
    if (number && lastNumericId_ && *number != *lastNumericId_ + 1) {
        hasGap_ = true;
        return false;
    }
    lastId_ = id;
    lastNumericId_ = number;
    resumable_ = true;
    return true;
}

std::string EventSplitter::takeEvents()
{
    std::string events;
    std::size_t begin = 0;
    for (auto end = pending_.find(separator, searchOffset_); end != std::string::npos && !hasGap_;
         end = pending_.find(separator, begin)) {
        const std::size_t next = end + separator.size();
        const std::string_view event(pending_.data() + begin, next - begin);
        if (acceptEvent(event))
            events += event;
        begin = next;
    }
    pending_.erase(0, begin);
    // The last byte may be the first byte of a separator.
    searchOffset_ = pending_.empty() ? 0 : pending_.size() - 1;
    return events;
}

std::string EventSplitter::takeRemainder()
{
    std::string rest = std::exchange(pending_, {});
    searchOffset_ = 0;
    if (hasGap_ || !acceptEvent(rest))
        rest.clear();
    return rest;
}

} // namespace chervilspring
