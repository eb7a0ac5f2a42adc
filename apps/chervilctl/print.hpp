/// @file
/// @brief Human-readable output.
#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace chervilctl {

/// @brief A column of a table: its title and the name of the row member that it shows.
struct Column
{
    std::string title_;
    std::string member_;
};

/// @brief Prints an array of objects as a table. The cell of an absent member is empty.
void printTable(const boost::json::array &rows, const std::vector<Column> &columns);

/// @brief Formats a JSON value for a table cell or a line.
std::string formatCell(const boost::json::value &value);

/// @brief Prints the output of the subcommand `status`.
/// @param status response of /v1/status
void printStatus(const boost::json::object &status);

/// @brief Prints the output of the subcommand `explain`.
/// @param trace response of /v1/requests/ID/explain
void printExplanation(const boost::json::object &trace);

} // namespace chervilctl
