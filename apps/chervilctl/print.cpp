#include "print.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace chervilctl {

namespace {

void printLine(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    for (std::size_t i = 0; i < cells.size(); ++i)
        std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << cells[i];
    std::cout << "\n";
}

std::string formatLabels(const boost::json::array &labels)
{
    std::string text;
    for (const auto &label : labels)
        text += (text.empty() ? "" : ",") + std::string(label.at("key").as_string()) + "="
            + std::string(label.at("value").as_string());
    return text;
}

bool isLabelList(const boost::json::array &array)
{
    return !array.empty() && array.front().is_object() && array.front().as_object().contains("key");
}

} // namespace

std::string formatCell(const boost::json::value &value)
{
    if (value.is_string())
        return std::string(value.as_string());
    if (value.is_array() && isLabelList(value.as_array()))
        return formatLabels(value.as_array());
    return boost::json::serialize(value);
}

void printTable(const boost::json::array &rows, const std::vector<Column> &columns)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column &column : columns)
        lines[0].push_back(column.title_);
    for (const auto &row : rows) {
        lines.emplace_back();
        for (const Column &column : columns) {
            const auto *value = row.as_object().if_contains(column.member_);
            lines.back().push_back(value ? formatCell(*value) : "");
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto &line : lines)
        printLine(line, widths);
}

void printStatus(const boost::json::object &status)
{
    std::cout << "leader " << formatCell(status.at("leader")) << ", term "
              << formatCell(status.at("term")) << ", commit " << formatCell(status.at("commit"))
              << ", fleet version " << formatCell(status.at("fleet_version")) << ", view version "
              << formatCell(status.at("view_version")) << ", open and kept records "
              << formatCell(status.at("records")) << "\n\nMEMBERS\n";
    printTable(status.at("members").as_array(),
               {{"NAME", "name"}, {"VOTER", "voter"}, {"ID", "id"}});
    std::cout << "\nNODES\n";
    printTable(status.at("nodes").as_array(),
               {{"NAME", "name"},
                {"ROLE", "role"},
                {"VIEW", "view_version"},
                {"IN FORCE", "in_force"},
                {"SILENT MS", "silent_ms"},
                {"QUEUED", "queued"},
                {"RUNNING", "running"},
                {"SHARE", "share"}});
    if (const auto *evacuated = status.if_contains("evacuated");
        evacuated && !evacuated->as_array().empty()) {
        std::cout << "\nEVACUATED DATA CENTRES\n";
        for (const auto &name : evacuated->as_array())
            std::cout << formatCell(name) << "\n";
    }
    std::cout << "\nUPSTREAMS\n";
    printTable(status.at("upstreams").as_array(),
               {{"NAME", "name"},
                {"DATA CENTRE", "dataCenter"},
                {"PHASE", "phase"},
                {"DRAINED", "drained"},
                {"CONCURRENCY", "concurrency"},
                {"LABELS", "labels"},
                {"SET BY OPERATORS", "operatorLabels"}});
    if (status.at("suspects").as_array().empty())
        return;
    std::cout << "\nREQUESTS THAT CRASHED UPSTREAMS\n";
    printTable(status.at("suspects").as_array(),
               {{"DIGEST", "digest"},
                {"CRASHES", "crashes"},
                {"REFUSED", "refused"},
                {"TRIALS", "trials"}});
}

void printExplanation(const boost::json::object &trace)
{
    for (const char *member : {"request", "pipeline", "account", "state", "ran", "detail"}) {
        if (const auto *value = trace.if_contains(member))
            std::cout << member << ": " << formatCell(*value) << "\n";
    }
    const auto *decisions = trace.if_contains("decisions");
    if (!decisions)
        return;
    std::cout << "\n";
    printTable(decisions->as_array(),
               {{"STAGE", "stage"},
                {"ATTEMPT", "attempt"},
                {"UPSTREAM", "upstream"},
                {"RUNNER-UP", "runnerUp"},
                {"REASON", "reason"},
                {"CANDIDATES", "candidates"},
                {"WEIGHED (MS)", "weighed"}});
}

} // namespace chervilctl
