#include "adapters/settings/CommandLine.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const std::string goodEntry = "instance: entry-1\nzone: kgl-a\nregion: kigali\ncallers: 127.0.0.1:7001\n"
                              "admin: 127.0.0.1:7002\nplatform: 127.0.0.1:7003\nadmin_tokens_required: false\n";

std::vector<SettingProblem> problemsOf(const std::string& text, const std::vector<SettingOverride>& overrides = {})
{
    const auto loaded = loadEntrySettings(text, overrides);
    const auto* problems = std::get_if<std::vector<SettingProblem>>(&loaded);
    return problems ? *problems : std::vector<SettingProblem> {};
}

bool lists(const std::vector<SettingProblem>& problems, const std::string& path, std::uint32_t line)
{
    return std::any_of(problems.begin(), problems.end(),
        [&](const SettingProblem& problem) { return problem.path == path && problem.line == line; });
}

}

TEST_CASE("every problem of a settings file is listed with its place")
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
    CHECK(lists(problems, "instance", 1));
    CHECK(lists(problems, "zone", 3));
    CHECK(lists(problems, "callers", 4));
    CHECK(lists(problems, "heartbeat", 5));
    CHECK(lists(problems, "links_per_service", 6));
    CHECK(lists(problems, "colour", 7));
    CHECK(lists(problems, "admin_tokens[0].sha256", 9));
    CHECK(lists(problems, "admin_tokens[0].role", 9));
    CHECK(lists(problems, "admin_tokens[0].age", 9));
    CHECK(lists(problems, "platform", 10));
    CHECK(lists(problems, "region", 0));
    CHECK(lists(problems, "admin", 0));
    CHECK(problems.size() == 12);
}

TEST_CASE("text that is not a mapping is one problem")
{
    CHECK(problemsOf("- a\n- b\n").front().expected == "a mapping of keys to values");
    CHECK(problemsOf("a: [1\nb: }").front().line > 0);
}

TEST_CASE("settings that contradict each other are refused")
{
    CHECK(lists(problemsOf(goodEntry + "max_deadline: 1s\n"), "default_deadline", 0));
    CHECK(lists(problemsOf(goodEntry, { { "heartbeat", "1h" } }), "silent_link_limit", 0));
    CHECK(lists(problemsOf(goodEntry, { { "admin_tokens_required", "true" } }), "admin_tokens", 0));
    const auto agent = loadAgentSettings("endpoint: e\nzone: z\nlink: 127.0.0.1:1\nadmin: 127.0.0.1:2\n"
                                         "platform: 127.0.0.1:3\nengine: 127.0.0.1:4\nservice: 127.0.0.1:5\n",
        {});
    CHECK(std::get<std::vector<SettingProblem>>(agent).front().path == "engine");
}

TEST_CASE("an override with an unknown key or a wrong value is refused")
{
    CHECK(lists(problemsOf(goodEntry, { { "color", "x" } }), "color", 0));
    CHECK(lists(problemsOf(goodEntry, { { "heartbeat", "soon" } }), "heartbeat", 0));
    CHECK(lists(problemsOf(goodEntry, { { "admin_tokens", "[]" } }), "admin_tokens", 0));
}

TEST_CASE("wrong command lines end with the documented codes")
{
    const ProgramInfo program { "teaselfold-entry", "1" };
    const auto codeOf = [&](const std::vector<std::string>& arguments) {
        return std::get<ProcessExit>(readEntryCommandLine(program, arguments)).code;
    };
    CHECK(codeOf({ "--help" }) == ExitCode::Done);
    CHECK(codeOf({ "--version" }) == ExitCode::Done);
    CHECK(codeOf({}) == ExitCode::BadUsage);
    CHECK(codeOf({ "--unheard-of" }) == ExitCode::BadUsage);
    CHECK(codeOf({ "surplus" }) == ExitCode::BadUsage);
    CHECK(codeOf({ "--config", "/nonexistent/settings.yaml" }) == ExitCode::BadSettings);
}
