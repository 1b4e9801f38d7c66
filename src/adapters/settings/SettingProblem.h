#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** A problem in a settings file or an override. */
struct SettingProblem {
    /** Key path such as `admin_tokens[1].role`; empty when the text is not a YAML mapping. */
    std::string path;
    /** Line in the file, counted from 1; zero if there is none, as for a missing key or an override. */
    std::uint32_t line { 0 };
    /** Description of a valid value. */
    std::string expected;

    bool operator==(const SettingProblem&) const = default;
};

/** A `--set key=value` option of the command line, which takes precedence over the file. */
struct SettingOverride {
    std::string key;
    std::string value;
};

/** @return a readable text with one line per problem. */
std::string describeProblems(const std::vector<SettingProblem>& problems);

}
