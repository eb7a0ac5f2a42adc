/// @file
/// @brief Labels and label selectors.
#pragma once

#include "chervilspring/error.hpp"

#include <boost/describe/class.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace chervilspring {

/// @brief Label: a key and value attached to a pipeline, pool, account, policy or upstream.
struct Label
{
    std::string key_;
    std::string value_;
    auto operator<=>(const Label &) const = default;
};
BOOST_DESCRIBE_STRUCT(Label, (), (key_, value_))

using Labels = std::vector<Label>;

/// @brief Comparison of a requirement. NotEquals is also satisfied if no label has the key.
enum class SelectorOperator { Equals, NotEquals, In, Exists };

/// @brief Requirement of a selector for the labels with one key.
struct Requirement
{
    std::string key_;
    SelectorOperator operator_;
    std::vector<std::string> values_; ///< one value, several for In, none for Exists
};

/// @brief Conjunction of requirements. An empty selector matches everything.
struct Selector
{
    std::vector<Requirement> requirements_;
};

/// @brief Parses a selector.
/// @param text requirements "key = v", "key != v", "key in (a, b)" or "key", separated by commas;
/// may be empty
/// @return the selector, or ErrorId::SelectorSyntax
/// @since 0.1.0
leaf::result<Selector> parseSelector(std::string_view text);

/// @brief Tells whether labels match a selector.
/// @param selector the selector
/// @param labels the labels; a key with several values matches with any of them
/// @return true if all requirements are satisfied
/// @note Complexity: number of requirements times number of labels.
bool matches(const Selector &selector, const Labels &labels);

/// @brief Parses a list of labels.
/// @param text labels "key=value", separated by commas; may be empty
/// @return the labels, or ErrorId::SelectorSyntax
leaf::result<Labels> parseLabels(std::string_view text);

} // namespace chervilspring
