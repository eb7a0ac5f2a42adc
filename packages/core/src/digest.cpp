#include "chervilspring/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cstring>

namespace chervilspring {

std::uint64_t contentDigest(std::string_view content)
{
    return XXH3_64bits(content.data(), content.size());
}

std::string keyedDigest(std::string_view secret, std::string_view content)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(content.data()), content.size(),
         reinterpret_cast<unsigned char *>(digest.data()), &length);
    return digest;
}

std::string credentialDigest(std::string_view salt, std::string_view credential)
{
    const std::string digest = keyedDigest(salt, credential);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        std::abort();
    return bytes;
}

std::uint64_t randomId()
{
    std::uint64_t id = 0;
    while (id == 0)
        std::memcpy(&id, randomBytes(sizeof id).data(), sizeof id);
    return id;
}

} // namespace chervilspring
