#include "adapters/settings/CommandLine.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const std::string validEntrySettings
    = "instance: entry-1\nzone: kgl-a\nregion: kigali\ncallers: 127.0.0.1:7001\n"
      "admin: 127.0.0.1:7002\nplatform: 127.0.0.1:7003\nadmin_tokens_required: false\n";

std::vector<SettingProblem> problemsOf(const std::string& text, const std::vector<SettingOverride>& overrides = {})
{
    const auto loaded = loadEntrySettings(text, overrides);
    const auto* problems = std::get_if<std::vector<SettingProblem>>(&loaded);
    return problems ? *problems : std::vector<SettingProblem> {};
}

bool containsProblem(const std::vector<SettingProblem>& problems, const std::string& path, std::uint32_t line)
{
    return std::any_of(problems.begin(), problems.end(),
        [&](const SettingProblem& problem) { return problem.path == path && problem.line == line; });
}

}

TEST_CASE("every problem of a settings file is listed with its key path and line")
{
    const auto problems = problemsOf("instance: \"a b\"\n"
                                     "zone: kgl-a\n"
                                     "zone: kgl-b\n"
                                     "callers: localhost:7001\n"
                                     "heartbeat: 500\n"
                                     "links_per_service: 0\n"
                                     "colour: blue\n"
                                     "admin_tokens:\n"
                                     "  - {sha256: abc, role: king, author: x, age: 3}\n"
                                     "platform: [1]\n");
    CHECK(containsProblem(problems, "instance", 1));
    CHECK(containsProblem(problems, "zone", 3));
    CHECK(containsProblem(problems, "callers", 4));
    CHECK(containsProblem(problems, "heartbeat", 5));
    CHECK(containsProblem(problems, "links_per_service", 6));
    CHECK(containsProblem(problems, "colour", 7));
    CHECK(containsProblem(problems, "admin_tokens[0].sha256", 9));
    CHECK(containsProblem(problems, "admin_tokens[0].role", 9));
    CHECK(containsProblem(problems, "admin_tokens[0].age", 9));
    CHECK(containsProblem(problems, "platform", 10));
    CHECK(containsProblem(problems, "region", 0));
    CHECK(containsProblem(problems, "admin", 0));
    CHECK(problems.size() == 12);
}

TEST_CASE("a text that is not a YAML mapping is reported as a problem")
{
    CHECK(problemsOf("- a\n- b\n").front().expected == "a mapping of keys to values");
    CHECK(problemsOf("a: [1\nb: }").front().line > 0);
}

TEST_CASE("contradictory settings are rejected")
{
    CHECK(containsProblem(problemsOf(validEntrySettings + "max_deadline: 1s\n"), "default_deadline", 0));
    CHECK(containsProblem(problemsOf(validEntrySettings, { { "heartbeat", "1h" } }), "silent_link_limit", 0));
    CHECK(containsProblem(problemsOf(validEntrySettings, { { "admin_tokens_required", "true" } }), "admin_tokens", 0));
    const auto agent = loadAgentSettings("endpoint: e\nzone: z\nlink: 127.0.0.1:1\nadmin: 127.0.0.1:2\n"
                                         "platform: 127.0.0.1:3\nengine: 127.0.0.1:4\nservice: 127.0.0.1:5\n",
        {});
    CHECK(std::get<std::vector<SettingProblem>>(agent).front().path == "engine");
}

TEST_CASE("an override with an unknown key or an invalid value is rejected")
{
    CHECK(containsProblem(problemsOf(validEntrySettings, { { "color", "x" } }), "color", 0));
    CHECK(containsProblem(problemsOf(validEntrySettings, { { "heartbeat", "soon" } }), "heartbeat", 0));
    CHECK(containsProblem(problemsOf(validEntrySettings, { { "admin_tokens", "[]" } }), "admin_tokens", 0));
}

TEST_CASE("command lines end with the documented exit codes")
{
    const ProgramInfo program { "teaselfold-entry", "1" };
    const auto exitCodeOf = [&](const std::vector<std::string>& arguments) {
        return std::get<ProcessExit>(readEntryCommandLine(program, arguments)).code;
    };
    CHECK(exitCodeOf({ "--help" }) == ExitCode::Done);
    CHECK(exitCodeOf({ "--version" }) == ExitCode::Done);
    CHECK(exitCodeOf({}) == ExitCode::BadUsage);
    CHECK(exitCodeOf({ "--unheard-of" }) == ExitCode::BadUsage);
    CHECK(exitCodeOf({ "surplus" }) == ExitCode::BadUsage);
    CHECK(exitCodeOf({ "--config", "/nonexistent/settings.yaml" }) == ExitCode::BadSettings);
}
