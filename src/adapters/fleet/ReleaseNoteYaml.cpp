#include "adapters/fleet/ReleaseNoteYaml.h"

#include "adapters/fleet/FleetDocuments.h"

namespace teaselfold {

namespace {

    std::uint32_t enclosingLine(std::string path, const std::map<std::string, std::uint32_t>& lines)
    {
        while (!path.empty()) {
            const auto found = lines.find(path);
            if (found != lines.end())
                return found->second;
            const std::size_t separator = path.find_last_of(".[");
            path.resize(separator == std::string::npos ? 0 : separator);
        }
        return 0;
    }

}

std::variant<ParsedNote, std::vector<NoteProblem>> parseReleaseNote(const std::string& text)
{
    Internal::ParseDiagnostics diagnostics;
    try {
        Internal::DocumentReader reader(YAML::Load(text), "", diagnostics);
        ReleaseNote note = Internal::readNote(reader);
        if (diagnostics.problems.empty())
            return ParsedNote { std::move(note), std::move(diagnostics.lines) };
    } catch (const YAML::Exception& error) {
        const std::uint32_t line = error.mark.line < 0 ? 0 : static_cast<std::uint32_t>(error.mark.line) + 1;
        diagnostics.problems.push_back({ "", "well-formed YAML: " + error.msg, line });
    }
    return std::move(diagnostics.problems);
}

void addLineNumbers(std::vector<NoteProblem>& problems, const std::map<std::string, std::uint32_t>& lines)
{
    for (NoteProblem& problem : problems) {
        if (problem.line == 0)
            problem.line = enclosingLine(problem.place, lines);
    }
}

}
