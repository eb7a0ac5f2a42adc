/// @file
/// @brief Digests and random values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilspring {

/// @brief Computes a non-cryptographic digest, to compare content between trusted processes.
/// @param content the bytes
/// @return 64-bit XXH3 of the bytes
std::uint64_t contentDigest(std::string_view content);

/// @brief Computes a keyed digest, which proves knowledge of a secret.
/// @param secret the shared secret
/// @param content the bytes to authenticate
/// @return the 32 bytes of the HMAC-SHA-256
std::string keyedDigest(std::string_view secret, std::string_view content);

/// @brief Computes the salted digest that is stored in place of a credential.
/// @param salt salt, different for each account
/// @param credential the credential
/// @return HMAC-SHA-256 of the credential with the salt as key, as 64 hexadecimal digits
std::string credentialDigest(std::string_view salt, std::string_view credential);

/// @brief Compares two values in a time that depends only on their lengths.
/// @param left,right the values
/// @return true if equal
bool equalInConstantTime(std::string_view left, std::string_view right);

/// @brief Returns cryptographically secure random bytes. Aborts the process if the random generator
/// fails.
/// @param count number of bytes
/// @return the bytes
std::string randomBytes(std::size_t count);

/// @brief Returns a random id that is never zero, such as a boot id or member id.
std::uint64_t randomId();

} // namespace chervilspring
