#include "chervilspring/error.hpp"

namespace chervilspring {

std::string toString(const Error &error)
{
    std::string text = "CS-" + std::to_string(static_cast<int>(error.id_)) + " " + error.step_
        + ": " + error.detail_;
    if (!error.peer_.empty())
        text += " (" + error.peer_ + ")";
    return text;
}

} // namespace chervilspring
