/// @file
/// @brief Splits the bytes of an event stream into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Collects bytes of a stream and hands out whole events.
class EventSplitter
{
public:
    /// @param after events up to this id are left out: the caller has them
    explicit EventSplitter(const std::string &after = {});

    /// @brief Adds bytes as they came.
    void add(std::string_view bytes) { pending_.append(bytes); }

    /// @brief Takes the whole events that have come, in order and as they were sent.
    std::string takeEvents();

    /// @brief Takes what is left when the stream has ended properly.
    std::string takeRest();

    /// @brief Id of the newest event that was taken, empty if none had one.
    const std::string &lastId() const { return lastId_; }

    /// @brief Whether the event that has begun is too long to be one.
    bool isTooLong() const { return pending_.size() > maxEventBytes; }

    /// @brief Whether an event was taken that doesn't follow the one before.
    bool hasGap() const { return gap_; }

private:
    static constexpr std::size_t maxEventBytes = 256u << 10; ///< a thousand times usual ones
    bool note(std::string_view event);

    std::string pending_;
    std::size_t searched_ = 0; ///< bytes of pending_ in which no event ends
    std::string lastId_;
    std::optional<std::uint64_t> lastNumber_;
    bool gap_ = false;
};

} // namespace chervilspring
