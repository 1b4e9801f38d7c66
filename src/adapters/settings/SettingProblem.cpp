#include "adapters/settings/SettingProblem.h"

namespace teaselfold {

std::string describeProblems(const std::vector<SettingProblem>& problems)
{
    std::string text;
    for (const SettingProblem& problem : problems) {
        if (problem.line > 0)
            text += "line " + std::to_string(problem.line) + ": ";
        if (!problem.path.empty())
            text += problem.path + ": ";
        text += "expected " + problem.expected + "\n";
    }
    return text;
}

}
