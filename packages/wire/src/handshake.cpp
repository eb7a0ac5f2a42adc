#include "chervilspring/handshake.hpp"

#include "chervilspring/digest.hpp"

#include <cstring>

namespace chervilspring {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t maxNameBytes = 64;

std::string encodeBoot(std::uint64_t boot)
{
    std::string bytes(sizeof boot, '\0');
    std::memcpy(bytes.data(), &boot, sizeof boot);
    return bytes;
}

leaf::error_id rejected(const std::string &detail)
{
    return leaf::new_error(Error{ErrorId::PeerRejected, "handshake", "", detail});
}

std::string proofInput(const Greeting &greeting, std::string_view nonce,
                       const PeerIdentity &identity)
{
    return "dial" + greeting.nonce_ + std::string(nonce) + encodeBoot(identity.boot_)
        + encodeBoot(greeting.identity_.boot_) + identity.name_ + '\0' + greeting.identity_.name_;
}

} // namespace

std::string makeGreeting(std::string_view nonce, const PeerIdentity &identity)
{
    return std::string(nonce) + encodeBoot(identity.boot_) + identity.name_;
}

leaf::result<Greeting> parseGreeting(std::string_view bytes)
{
    constexpr std::size_t headerBytes = nonceBytes + sizeof(std::uint64_t);
    if (bytes.size() <= headerBytes || bytes.size() > headerBytes + maxNameBytes)
        return rejected("greeting has a wrong length");
    Greeting greeting;
    greeting.nonce_ = bytes.substr(0, nonceBytes);
    std::memcpy(&greeting.identity_.boot_, bytes.data() + nonceBytes, sizeof(std::uint64_t));
    greeting.identity_.name_ = bytes.substr(headerBytes);
    return greeting;
}

std::string makeProof(std::string_view secret, const Greeting &greeting, std::string_view nonce,
                      const PeerIdentity &identity)
{
    return keyedDigest(secret, proofInput(greeting, nonce, identity))
        + makeGreeting(nonce, identity);
}

leaf::result<Greeting> checkProof(std::string_view secret, const Greeting &ownGreeting,
                                  std::string_view bytes)
{
    if (bytes.size() < digestBytes)
        return rejected("proof is too short");
    BOOST_LEAF_AUTO(dialler, parseGreeting(bytes.substr(digestBytes)));
    const std::string expected =
        keyedDigest(secret, proofInput(ownGreeting, dialler.nonce_, dialler.identity_));
    if (!equalInConstantTime(expected, bytes.substr(0, digestBytes)))
        return rejected("wrong shared secret");
    return dialler;
}

std::string makeConfirmation(std::string_view secret, std::string_view diallerNonce,
                             const Greeting &ownGreeting)
{
    return keyedDigest(secret,
                       "listen" + std::string(diallerNonce) + ownGreeting.nonce_
                           + encodeBoot(ownGreeting.identity_.boot_) + ownGreeting.identity_.name_);
}

} // namespace chervilspring
