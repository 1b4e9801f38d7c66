#include "emulator/load/LoadComparison.h"

#include "emulator/host/EmulatorHttpServer.h"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace teaselfold {

namespace {

    constexpr int nameWidth = 26;
    constexpr int cellWidth = 44;
    /** Figures of the entire run, which are reported in addition to those of the group. */
    constexpr std::array runFigures { "preemptions_per_thousand", "prefix_hit_share", "engines_read" };

    bool addReport(ComparedRuns& runs, const std::string& path, const std::string& group)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        const auto report = parseObject(text.str());
        const auto figures = report ? report->getObject(group) : Poco::JSON::Object::Ptr();
        if (!figures)
            return false;
        for (const std::string& name : figures->getNames())
            runs.figures[name].push_back(figures->optValue<double>(name, 0));
        for (const char* name : runFigures)
            runs.figures[name].push_back(report->optValue<double>(name, 0));
        return true;
    }

    std::string formatCell(const std::vector<double>& values, const std::vector<double>& reference)
    {
        const double median = medianOf(values);
        const double base = medianOf(reference);
        const auto [minimum, maximum] = std::ranges::minmax(values);
        std::ostringstream text;
        text << std::fixed << std::setprecision(2) << minimum << " / " << median << " / " << maximum;
        if (base != 0)
            text << " x" << median / base;
        return text.str();
    }

}

double medianOf(std::vector<double> values)
{
    std::ranges::sort(values);
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

std::optional<ComparedRuns> readComparedRuns(const std::string& text, const std::string& group)
{
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos || separator + 1 == text.size())
        return std::nullopt;
    ComparedRuns runs;
    runs.name = text.substr(0, separator);
    std::istringstream paths(text.substr(separator + 1));
    std::string path;
    while (std::getline(paths, path, ',')) {
        if (!addReport(runs, path, group))
            return std::nullopt;
    }
    return runs;
}

void writeComparison(std::ostream& out, const std::vector<ComparedRuns>& compared)
{
    if (compared.empty())
        return;
    out << std::left << std::setw(nameWidth) << "minimum / median / maximum";
    for (const ComparedRuns& runs : compared)
        out << std::right << std::setw(cellWidth) << runs.name;
    out << "\n";
    for (const auto& [name, reference] : compared.front().figures) {
        out << std::left << std::setw(nameWidth) << name;
        for (const ComparedRuns& runs : compared) {
            const auto values = runs.figures.find(name);
            const bool known = values != runs.figures.end();
            out << std::right << std::setw(cellWidth) << (known ? formatCell(values->second, reference) : "-");
        }
        out << "\n";
    }
}

}
