#include "adapters/fleet/ReleaseNoteYaml.h"

#include "adapters/fleet/FleetDocuments.h"

namespace teaselfold {

namespace {

    std::uint32_t lineOf(std::string place, const std::map<std::string, std::uint32_t>& lines)
    {
        while (!place.empty()) {
            const auto found = lines.find(place);
            if (found != lines.end())
                return found->second;
            const std::size_t cut = place.find_last_of(".[");
            place.resize(cut == std::string::npos ? 0 : cut);
        }
        return 0;
    }

}

std::variant<ParsedNote, std::vector<NoteProblem>> parseReleaseNote(const std::string& text)
{
    Internal::ReadLog log;
    try {
        Internal::DocumentReader reader(YAML::Load(text), "", log);
        ReleaseNote note = Internal::readNote(reader);
        if (log.problems.empty())
            return ParsedNote { std::move(note), std::move(log.lines) };
    } catch (const YAML::Exception& error) {
        const std::uint32_t line = error.mark.line < 0 ? 0 : static_cast<std::uint32_t>(error.mark.line) + 1;
        log.problems.push_back({ "", "well-formed YAML: " + error.msg, line });
    }
    return std::move(log.problems);
}

void addLines(std::vector<NoteProblem>& problems, const std::map<std::string, std::uint32_t>& lines)
{
    for (NoteProblem& problem : problems) {
        if (problem.line == 0)
            problem.line = lineOf(problem.place, lines);
    }
}

}
