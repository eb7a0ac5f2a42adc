#include "chervilspring/ids.hpp"

#include <charconv>

namespace chervilspring {

namespace {

constexpr int hexadecimalBase = 16;

std::string toHex(std::uint64_t value)
{
    char buffer[2 * sizeof value]; // two digits for each byte
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, hexadecimalBase).ptr;
    return std::string(buffer, end);
}

bool parseNumber(std::string_view text, std::uint64_t &value, int base)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string toString(const RequestId &id)
{
    return id.entry_ + "-" + toHex(id.boot_) + "-" + std::to_string(id.sequence_);
}

std::string toString(const AttemptId &id)
{
    return toString(id.request_) + "/" + std::to_string(id.stage_) + "/"
        + std::to_string(id.attempt_);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    const auto secondDash = text.rfind('-');
    if (secondDash == std::string_view::npos || secondDash == 0)
        return std::nullopt;
    const auto firstDash = text.rfind('-', secondDash - 1);
    if (firstDash == std::string_view::npos || firstDash == 0)
        return std::nullopt;
    RequestId id;
    id.entry_ = std::string(text.substr(0, firstDash));
    if (!parseNumber(text.substr(firstDash + 1, secondDash - firstDash - 1), id.boot_,
                     hexadecimalBase))
        return std::nullopt;
    if (!parseNumber(text.substr(secondDash + 1), id.sequence_, 10))
        return std::nullopt;
    return id;
}

} // namespace chervilspring
