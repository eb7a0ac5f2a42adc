/// @file
/// @brief Splits the bytes of a server-sent event stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Buffers the bytes of a stream and returns complete events.
class EventSplitter
{
public:
    /// @param lastEventId id of the last event that the caller has; if it is a number, events
    /// whose ids are numbers up to it are skipped
    explicit EventSplitter(const std::string &lastEventId = {});

    /// @brief Appends received bytes.
    void add(std::string_view bytes) { pending_.append(bytes); }

    /// @brief Removes and returns the complete events, unchanged and in order. Returns none from a
    /// gap on, see hasGap().
    std::string takeEvents();

    /// @brief Removes and returns the bytes after the last complete event, which are treated like
    /// one. Call at the end of the stream, after takeEvents().
    std::string takeRemainder();

    /// @brief Returns the id of the last event returned that had one. Initially the id given to the
    /// constructor.
    const std::string &lastId() const { return lastId_; }

    /// @brief Whether a stream that continues after lastId() repeats none of the returned events:
    /// the last one with data had an id, or none was returned.
    bool isResumable() const { return resumable_; }

    /// @brief Whether the bytes after the last complete event are part of an event.
    bool hasIncompleteEvent() const
    {
        return pending_.find_first_not_of("\r\n") != std::string::npos;
    }

    /// @brief Whether the incomplete event is longer than maxEventBytes.
    bool isEventTooLong() const { return pending_.size() > maxEventBytes; }

    /// @brief Whether the numeric id of an event is not the successor of the previous one.
    bool hasGap() const { return hasGap_; }

private:
    static constexpr std::size_t maxEventBytes = 256u << 10; ///< about 1000 times a usual event
    bool acceptEvent(std::string_view event);

    std::string pending_; ///< received bytes that were not taken yet
    std::size_t searchOffset_ = 0; ///< no separator starts before this offset in pending_
    std::string lastId_;
    std::optional<std::uint64_t> lastNumericId_; ///< lastId_ as a number, if it is one
    bool hasGap_ = false;
    bool resumable_ = true; ///< see isResumable()
};

} // namespace chervilspring
