#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** One fault of a settings file. */
struct SettingProblem {
    /** Key path such as `admin_tokens[1].role`; empty when the text is not YAML at all. */
    std::string path;
    /** Line in the file, from 1; zero when there is none, as for a missing key or an override. */
    std::uint32_t line { 0 };
    std::string expected;

    bool operator==(const SettingProblem&) const = default;
};

/** A `--set key=value` of the command line; goes before the file. */
struct SettingOverride {
    std::string key;
    std::string value;
};

/** @return one line per problem, for people. */
std::string describeProblems(const std::vector<SettingProblem>& problems);

}
