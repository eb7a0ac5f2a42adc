/// @file
/// @brief Cap'n Proto encoding of messages, log entries and snapshots.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/messages.hpp"

#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Largest size in bytes of an encoded message that is accepted from another process.
inline constexpr std::size_t maxFrameBytes = 64u << 20;

/// @brief Encodes a message.
/// @param message any alternative of Message
/// @return the bytes of a flat Cap'n Proto message
/// @since 0.1.0
std::string encodeMessage(const Message &message);

/// @brief Decodes a message.
/// @param bytes result of encodeMessage(); arbitrary bytes are allowed
/// @return the message, or ErrorId::FrameInvalid
leaf::result<Message> decodeMessage(std::string_view bytes);

/// @brief Encodes an entry of the replicated log.
/// @param entry the entry
/// @return the bytes of a flat Cap'n Proto message
std::string encodeEntry(const LogEntry &entry);

/// @brief Decodes an entry of the replicated log.
/// @param bytes result of encodeEntry(); arbitrary bytes are allowed
/// @return the entry, or ErrorId::FrameInvalid
leaf::result<LogEntry> decodeEntry(std::string_view bytes);

/// @brief Encodes a snapshot.
/// @param snapshot the snapshot
/// @return the bytes of a flat Cap'n Proto message
std::string encodeSnapshot(const Snapshot &snapshot);

/// @brief Decodes a snapshot.
/// @param bytes result of encodeSnapshot(); arbitrary bytes are allowed
/// @return the snapshot, or ErrorId::FrameInvalid
leaf::result<Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace chervilspring
