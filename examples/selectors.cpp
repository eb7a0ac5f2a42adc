/// @file
/// @brief Matches selectors against the labels of an upstream.
#include "chervilspring/upstream.hpp"

#include <iostream>

using namespace chervilspring;

int main()
{
    Upstream engine;
    engine.name_ = "llm-3";
    engine.dataCenter_ = "dc2";
    engine.labels_ = {{"service", "llm"}, {"model", "m7"}};
    Fleet fleet;
    fleet.pools_ = {Pool{"language-models", "service=llm", {{"tier", "gold"}}}};
    const Labels labels = effectiveLabels(engine, fleet);
    for (const char *text : {"pool=language-models", "tier in (gold, silver), data_center!=dc1",
                             "model=m8", "drained"}) {
        handleErrors(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(selector, parseSelector(text));
                std::cout << text << ": " << (matches(selector, labels) ? "yes" : "no") << "\n";
                return {};
            },
            [](const Error &error) { std::cout << toString(error) << "\n"; });
    }
}
