// Tests codec.hpp and handshake.hpp: encode-decode cycles, damaged bytes, invalid proofs.
#include "chervilspring/codec.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/handshake.hpp"
#include "chervilspring/json.hpp"

#include <boost/mp11.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

namespace {

using namespace chervilspring;

// Fills every member of a struct with a different value, so that a swapped or missing field is
// detected.
class MemberFiller
{
public:
    template<typename T> void fill(T &value)
    {
        if constexpr (std::is_same_v<T, bool>)
            value = true;
        else if constexpr (std::is_enum_v<T>)
            value = static_cast<T>(1);
        else if constexpr (std::is_arithmetic_v<T>)
            value = static_cast<T>(++next_);
        else if constexpr (std::is_same_v<T, std::string>)
            value = "text" + std::to_string(++next_);
        else if constexpr (detail::IsDuration<T>::value)
            value = T(++next_);
        else if constexpr (detail::IsTimePoint<T>::value)
            value = T(typename T::duration(++next_));
        else if constexpr (detail::IsVector<T>::value)
            fillList(value);
        else if constexpr (detail::IsOptional<T>::value)
            fill(value.emplace());
        else if constexpr (detail::IsVariant<T>::value)
            fill(value.template emplace<1>());
        else
            detail::forEachMember(value, [this](std::string_view, auto &member) { fill(member); });
    }

private:
    template<typename Item> void fillList(std::vector<Item> &list)
    {
        list.resize(2);
        for (Item &item : list)
            fill(item);
    }

    int next_ = 0;
};

template<typename M> Message filledMessage()
{
    M message;
    MemberFiller().fill(message);
    return message;
}

std::vector<Message> allMessages()
{
    std::vector<Message> all;
    boost::mp11::mp_for_each<boost::mp11::mp_transform<boost::mp11::mp_identity, Message>>(
        [&](auto identity) { all.push_back(filledMessage<typename decltype(identity)::type>()); });
    return all;
}

bool tryDecode(std::string_view bytes, Message &message)
{
    return handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(message, decodeMessage(bytes));
            return {};
        },
        [](const Error &error) { BOOST_TEST((error.id_ == ErrorId::FrameInvalid)); });
}

BOOST_AUTO_TEST_CASE(every_message_survives_a_round_trip)
{
    for (const Message &message : allMessages()) {
        Message decoded;
        BOOST_REQUIRE(tryDecode(encodeMessage(message), decoded));
        BOOST_TEST(boost::json::serialize(toJson(decoded))
                   == boost::json::serialize(toJson(message)));
    }
}

BOOST_AUTO_TEST_CASE(every_command_survives_a_round_trip)
{
    boost::mp11::mp_for_each<boost::mp11::mp_transform<boost::mp11::mp_identity, Command>>(
        [&](auto identity) {
            typename decltype(identity)::type command;
            MemberFiller().fill(command);
            const LogEntry entry{5, 6, WallTime(milliseconds(7)), command};
            handleErrors(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(decoded, decodeEntry(encodeEntry(entry)));
                    BOOST_TEST(boost::json::serialize(toJson(decoded))
                               == boost::json::serialize(toJson(entry)));
                    return {};
                },
                [](const Error &error) { BOOST_ERROR(toString(error)); });
        });
}

BOOST_AUTO_TEST_CASE(strings_with_arbitrary_bytes_survive)
{
    Dispatch dispatch;
    dispatch.body_ = std::string("\0\xff\n", 3);
    Message decoded;
    BOOST_REQUIRE(tryDecode(encodeMessage(dispatch), decoded));
    BOOST_TEST(std::get<Dispatch>(decoded).body_ == dispatch.body_);
}

BOOST_AUTO_TEST_CASE(truncated_messages_do_not_crash)
{
    for (const Message &message : allMessages()) {
        const std::string bytes = encodeMessage(message);
        for (std::size_t length = 0; length < bytes.size(); length += 7) {
            Message decoded;
            tryDecode(std::string_view(bytes).substr(0, length), decoded);
        }
    }
}

BOOST_AUTO_TEST_CASE(random_and_damaged_messages_do_not_crash)
{
    std::mt19937_64 random(1);
    const auto messages = allMessages();
    for (int iteration = 0; iteration < 20000; ++iteration) {
        std::string bytes = encodeMessage(messages[random() % messages.size()]);
        if (iteration % 4 == 0)
            bytes.resize(8 * (random() % 64));
        const std::size_t changes = 1 + random() % 8;
        for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        Message decoded;
        tryDecode(bytes, decoded);
    }
}

struct HandshakeFixture
{
    /// Greeting of the listener.
    Greeting greeting_{std::string(nonceBytes, 'n'), PeerIdentity{"u1", 3}};
    std::string nonce_ = std::string(nonceBytes, 'm'); ///< nonce of the dialler
    PeerIdentity dialler_{"e1", 4};
};

bool isAccepted(const HandshakeFixture &fixture, std::string_view secret, std::string_view proof)
{
    return handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(dialler, checkProof(secret, fixture.greeting_, proof));
            BOOST_TEST((dialler.identity_ == fixture.dialler_));
            return {};
        },
        [](const Error &error) { BOOST_TEST((error.id_ == ErrorId::PeerRejected)); });
}

BOOST_AUTO_TEST_CASE(proof_is_accepted_only_with_the_secret_and_its_nonce)
{
    const HandshakeFixture fixture;
    const std::string proof =
        makeProof("secret", fixture.greeting_, fixture.nonce_, fixture.dialler_);
    BOOST_TEST(isAccepted(fixture, "secret", proof));
    BOOST_TEST(!isAccepted(fixture, "another", proof));
    for (std::size_t i = 0; i < proof.size(); ++i) {
        std::string changed = proof;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        BOOST_TEST(!isAccepted(fixture, "secret", changed));
    }
    BOOST_TEST(!isAccepted(fixture, "secret", proof.substr(0, 20)));
    // A replayed proof of another connection covers a different nonce.
    HandshakeFixture other;
    other.greeting_.nonce_ = std::string(nonceBytes, 'x');
    BOOST_TEST(!isAccepted(other, "secret", proof));
}

} // namespace
