#include "chervilspring/fleet_blocks.hpp"

#include "chervilspring/detail/describe.hpp"
#include "chervilspring/digest.hpp"

#include <cstring>

namespace chervilspring {

namespace {

constexpr std::size_t minBlockBytes = 8192;
constexpr std::size_t maxBlockBytes = 65536; // unless a single element has more
// A block with minBlockBytes ends behind an element whose digest is a multiple of this.
constexpr std::uint64_t boundaryDivisor = 16;

// Appends the content of a value, in a form that is the same in all processes.
template<typename T> void appendContent(std::string &bytes, const T &value)
{
    if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
        const std::size_t size = bytes.size();
        bytes.resize(size + sizeof value);
        std::memcpy(bytes.data() + size, &value, sizeof value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        appendContent(bytes, static_cast<std::uint64_t>(value.size()));
        bytes += value;
    } else if constexpr (detail::IsDuration<T>::value) {
        appendContent(bytes, static_cast<std::int64_t>(value.count()));
    } else if constexpr (detail::IsVector<T>::value) {
        appendContent(bytes, static_cast<std::uint64_t>(value.size()));
        for (const auto &item : value)
            appendContent(bytes, item);
    } else if constexpr (detail::IsOptional<T>::value) {
        appendContent(bytes, value.has_value());
        if (value)
            appendContent(bytes, *value);
    } else {
        detail::forEachMember(
            value, [&](std::string_view, const auto &member) { appendContent(bytes, member); });
    }
}

// Calls a function with a pointer to each member of Fleet.
template<typename Visit> void forEachFleetMember(Visit &&visit)
{
    using Members = boost::describe::describe_members<Fleet, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) { visit(member.pointer); });
}

template<typename Member>
inline constexpr bool isListMember = detail::IsVector<
    std::decay_t<decltype(std::declval<Fleet &>().*std::declval<Member>())>>::value;

void addBlock(std::vector<FleetBlock> &blocks, Fleet part)
{
    const std::uint64_t digest = fleetDigest(part);
    blocks.push_back(FleetBlock{digest, std::move(part)});
}

template<typename Item>
void splitList(const std::vector<Item> &items, std::vector<Item> Fleet::*list,
               std::vector<FleetBlock> &blocks)
{
    Fleet part;
    std::size_t blockBytes = 0;
    std::string content;
    for (const Item &item : items) {
        content.clear();
        appendContent(content, item);
        blockBytes += content.size();
        (part.*list).push_back(item);
        const bool isBoundary =
            blockBytes >= minBlockBytes && contentDigest(content) % boundaryDivisor == 0;
        if (!isBoundary && blockBytes < maxBlockBytes)
            continue;
        addBlock(blocks, std::exchange(part, {}));
        blockBytes = 0;
    }
    if (blockBytes > 0)
        addBlock(blocks, std::move(part));
}

} // namespace

std::uint64_t fleetDigest(const Fleet &part)
{
    std::string content;
    appendContent(content, part);
    return contentDigest(content);
}

std::vector<FleetBlock> splitFleet(const Fleet &fleet)
{
    std::vector<FleetBlock> blocks;
    Fleet first;
    forEachFleetMember([&](auto member) {
        if constexpr (!isListMember<decltype(member)>)
            first.*member = fleet.*member;
    });
    addBlock(blocks, std::move(first));
    forEachFleetMember([&](auto member) {
        if constexpr (isListMember<decltype(member)>)
            splitList(fleet.*member, member, blocks);
    });
    return blocks;
}

Fleet joinFleet(const std::vector<const Fleet *> &parts)
{
    Fleet fleet;
    if (parts.empty())
        return fleet;
    forEachFleetMember([&](auto member) {
        if constexpr (!isListMember<decltype(member)>) {
            fleet.*member = parts.front()->*member;
        } else {
            auto &list = fleet.*member;
            for (const Fleet *part : parts)
                list.insert(list.end(), (part->*member).begin(), (part->*member).end());
        }
    });
    return fleet;
}

} // namespace chervilspring
