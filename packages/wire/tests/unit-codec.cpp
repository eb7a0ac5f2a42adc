// Covers codec.hpp and handshake.hpp: round trips, damaged bytes, strangers.
#include "chervilspring/codec.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/handshake.hpp"
#include "chervilspring/json.hpp"

#include <boost/mp11.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

namespace {

using namespace chervilspring;

// Fills every member with values that differ, so that a swapped or missing field shows.
class Filler
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
    Filler().fill(message);
    return message;
}

std::vector<Message> allMessages()
{
    std::vector<Message> all;
    boost::mp11::mp_for_each<boost::mp11::mp_transform<boost::mp11::mp_identity, Message>>(
        [&](auto identity) { all.push_back(filledMessage<typename decltype(identity)::type>()); });
    return all;
}

bool decodes(std::string_view bytes, Message &message)
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
        BOOST_REQUIRE(decodes(encodeMessage(message), decoded));
        BOOST_TEST(boost::json::serialize(toJson(decoded))
                   == boost::json::serialize(toJson(message)));
    }
}

BOOST_AUTO_TEST_CASE(every_command_survives_a_round_trip)
{
    boost::mp11::mp_for_each<boost::mp11::mp_transform<boost::mp11::mp_identity, Command>>(
        [&](auto identity) {
            typename decltype(identity)::type command;
            Filler().fill(command);
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

BOOST_AUTO_TEST_CASE(strings_with_any_bytes_survive)
{
    Dispatch dispatch;
    dispatch.body_ = std::string("\0\xff\n", 3);
    Message decoded;
    BOOST_REQUIRE(decodes(encodeMessage(dispatch), decoded));
    BOOST_TEST(std::get<Dispatch>(decoded).body_ == dispatch.body_);
}

BOOST_AUTO_TEST_CASE(truncated_bytes_never_crash)
{
    for (const Message &message : allMessages()) {
        const std::string bytes = encodeMessage(message);
        for (std::size_t length = 0; length < bytes.size(); length += 7) {
            Message decoded;
            decodes(std::string_view(bytes).substr(0, length), decoded);
        }
    }
}

BOOST_AUTO_TEST_CASE(random_and_flipped_bytes_never_crash)
{
    std::mt19937_64 random(1);
    const auto messages = allMessages();
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = encodeMessage(messages[random() % messages.size()]);
        if (round % 4 == 0)
            bytes.resize(8 * (random() % 64));
        const std::size_t flips = 1 + random() % 8;
        for (std::size_t i = 0; i < flips && !bytes.empty(); ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        Message decoded;
        decodes(bytes, decoded);
    }
}

struct Handshake
{
    Greeting sent_{std::string(nonceBytes, 'n'), PeerIdentity{"u1", 3}};
    std::string nonce_ = std::string(nonceBytes, 'm');
    PeerIdentity dialler_{"e1", 4};
};

bool accepted(const Handshake &h, std::string_view secret, std::string_view proof)
{
    return handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(dialler, checkProof(secret, h.sent_, proof));
            BOOST_TEST((dialler.identity_ == h.dialler_));
            return {};
        },
        [](const Error &error) { BOOST_TEST((error.id_ == ErrorId::PeerRejected)); });
}

BOOST_AUTO_TEST_CASE(only_the_secret_opens_a_connection)
{
    const Handshake h;
    const std::string proof = makeProof("secret", h.sent_, h.nonce_, h.dialler_);
    BOOST_TEST(accepted(h, "secret", proof));
    BOOST_TEST(!accepted(h, "another", proof));
    for (std::size_t i = 0; i < proof.size(); ++i) {
        std::string changed = proof;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        BOOST_TEST(!accepted(h, "secret", changed));
    }
    BOOST_TEST(!accepted(h, "secret", proof.substr(0, 20)));
    // A proof recorded from another connection has another nonce.
    Handshake other;
    other.sent_.nonce_ = std::string(nonceBytes, 'x');
    BOOST_TEST(!accepted(other, "secret", proof));
}

} // namespace
