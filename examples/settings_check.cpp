/// @file
/// @brief Error message of an invalid setting.
#include "chervilspring/settings.hpp"

#include <iostream>

using namespace chervilspring;

int main()
{
    const std::string text = "[node]\nrole = entry\nname = e1\ndata_center = dc1\n"
                             "secret = 0123456789abcdef\ncontrol = c1@10.0.0.1:7001\n"
                             "body_limit = 10\n";
    handleErrors(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(parseSettings(text, "e1.ini"));
            return {};
        },
        [](const Error &error) { std::cout << toString(error) << "\n"; });
}
