#include "chervilspring/labels.hpp"

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>

namespace chervilspring {

namespace {

std::string trimmed(std::string_view text)
{
    return boost::algorithm::trim_copy(std::string(text));
}

bool isName(std::string_view text)
{
    static constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

leaf::error_id syntaxError(std::string_view text, const std::string &reason)
{
    return leaf::new_error(Error{ErrorId::SelectorSyntax, "selector", "",
                                 reason + " in \"" + std::string(text)
                                     + "\"; allowed: key = v, key != v, key in (a, b), key"});
}

// Splits a text at the commas outside parentheses.
std::vector<std::string> splitTopLevel(std::string_view text)
{
    std::vector<std::string> parts(1);
    int depth = 0;
    for (const char c : text) {
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        if (c == ',' && depth == 0)
            parts.emplace_back();
        else
            parts.back() += c;
    }
    return parts;
}

leaf::result<Requirement> parseInList(std::string_view part, std::size_t open)
{
    const std::string head = trimmed(part.substr(0, open));
    const std::string tail = trimmed(part.substr(open));
    const auto space = head.find_last_of(" \t");
    if (space == std::string::npos || head.substr(space + 1) != "in" || tail.back() != ')')
        return syntaxError(part, "malformed list");
    Requirement requirement{trimmed(head.substr(0, space)), SelectorOperator::In, {}};
    for (const std::string &value : splitTopLevel(tail.substr(1, tail.size() - 2)))
        requirement.values_.push_back(trimmed(value));
    const bool valid = std::all_of(requirement.values_.begin(), requirement.values_.end(), isName);
    if (!valid || !isName(requirement.key_))
        return syntaxError(part, "malformed list");
    return requirement;
}

leaf::result<Requirement> parseRequirement(std::string_view part)
{
    if (const auto open = part.find('('); open != std::string_view::npos)
        return parseInList(part, open);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) {
        if (!isName(trimmed(part)))
            return syntaxError(part, "malformed key");
        return Requirement{trimmed(part), SelectorOperator::Exists, {}};
    }
    const bool negated = equals > 0 && part[equals - 1] == '!';
    Requirement requirement{trimmed(part.substr(0, negated ? equals - 1 : equals)),
                            negated ? SelectorOperator::NotEquals : SelectorOperator::Equals,
                            {trimmed(part.substr(equals + 1))}};
    if (!isName(requirement.key_) || !isName(requirement.values_[0]))
        return syntaxError(part, "malformed comparison");
    return requirement;
}

bool isSatisfied(const Requirement &requirement, const Labels &labels)
{
    const auto hasValue = [&](const std::string &value) {
        return std::find(labels.begin(), labels.end(), Label{requirement.key_, value})
            != labels.end();
    };
    const auto &values = requirement.values_;
    switch (requirement.operator_) {
    case SelectorOperator::Equals:
        return hasValue(values[0]);
    case SelectorOperator::NotEquals:
        return !hasValue(values[0]);
    case SelectorOperator::In:
        return std::any_of(values.begin(), values.end(), hasValue);
    case SelectorOperator::Exists:
        break;
    }
    return std::any_of(labels.begin(), labels.end(),
                       [&](const Label &label) { return label.key_ == requirement.key_; });
}

} // namespace

leaf::result<Selector> parseSelector(std::string_view text)
{
    Selector selector;
    if (trimmed(text).empty())
        return selector;
    for (const std::string &part : splitTopLevel(text)) {
        BOOST_LEAF_AUTO(requirement, parseRequirement(part));
        selector.requirements_.push_back(std::move(requirement));
    }
    return selector;
}

bool matches(const Selector &selector, const Labels &labels)
{
    const auto &requirements = selector.requirements_;
    return std::all_of(requirements.begin(), requirements.end(),
                       [&](const Requirement &item) { return isSatisfied(item, labels); });
}

leaf::result<Labels> parseLabels(std::string_view text)
{
    Labels labels;
    if (trimmed(text).empty())
        return labels;
    for (const std::string &part : splitTopLevel(text)) {
        BOOST_LEAF_AUTO(requirement, parseRequirement(part));
        if (requirement.operator_ != SelectorOperator::Equals)
            return syntaxError(part, "a label is key=value");
        labels.push_back(Label{requirement.key_, requirement.values_[0]});
    }
    return labels;
}

} // namespace chervilspring
