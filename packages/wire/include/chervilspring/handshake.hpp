/// @file
/// @brief Mutual authentication of two processes with the fleet's shared secret.
///
/// When a connection opens, the listener sends a greeting with its identity and a nonce. The
/// dialler answers with a proof: its own identity and nonce, and a keyed digest over the identities
/// and nonces of both. The listener confirms with a keyed digest over both nonces and its identity.
/// The inputs of the two digests start differently, so that neither can be replayed as the other.
#pragma once

#include "chervilspring/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Length of a nonce in bytes.
inline constexpr std::size_t nonceBytes = 16;

/// @brief Identity of a process at one end of a connection.
struct PeerIdentity
{
    std::string name_;
    std::uint64_t boot_ = 0; ///< boot id, different after each start of the process
    auto operator<=>(const PeerIdentity &) const = default;
};

/// @brief Encodes a greeting, the first bytes that a listener sends.
/// @param nonce nonceBytes random bytes
/// @param identity identity of the listener
/// @return the encoded greeting
std::string makeGreeting(std::string_view nonce, const PeerIdentity &identity);

/// @brief Nonce and identity of one side of a connection.
struct Greeting
{
    std::string nonce_;
    PeerIdentity identity_;
};

/// @brief Decodes a greeting.
/// @param bytes the encoded greeting; arbitrary bytes are allowed
/// @return the greeting, or ErrorId::PeerRejected
leaf::result<Greeting> parseGreeting(std::string_view bytes);

/// @brief Encodes the proof that a dialler sends.
/// @param secret the shared secret
/// @param greeting greeting of the listener
/// @param nonce nonceBytes random bytes
/// @param identity identity of the dialler
/// @return the keyed digest, followed by the nonce and the identity of the dialler
std::string makeProof(std::string_view secret, const Greeting &greeting, std::string_view nonce,
                      const PeerIdentity &identity);

/// @brief Verifies the proof of a dialler.
/// @param secret the shared secret
/// @param ownGreeting greeting that the listener has sent
/// @param bytes the encoded proof; arbitrary bytes are allowed
/// @return nonce and identity of the dialler, or ErrorId::PeerRejected
leaf::result<Greeting> checkProof(std::string_view secret, const Greeting &ownGreeting,
                                  std::string_view bytes);

/// @brief Makes the confirmation by which a listener proves that it knows the secret.
/// @param secret the shared secret
/// @param diallerNonce nonce of the dialler
/// @param ownGreeting greeting that the listener has sent
/// @return the keyed digest
std::string makeConfirmation(std::string_view secret, std::string_view diallerNonce,
                             const Greeting &ownGreeting);

} // namespace chervilspring
