#include "adapters/fleet/JsonDocumentCodec.h"
#include "adapters/fleet/ReleaseNoteYaml.h"
#include "core/common/FleetUpdate.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaselfold;

namespace {

const char* const invalidNote = R"(id: note-1
base: 0
author: a.person
reason: first fleet
added:
  zones: [{id: kgl-a}, {id: kgl-a}]
  services:
    - {id: fold-drafters, kind: model, policy: {routing: none-such}}
  models: [{id: drafter, service: nowhere}]
  endpoints:
    - {id: drafter-1, zone: kgl-x, service: fold-drafters, agent: "example.org:7101"}
  teams: [{id: huye, weight: 0}]
changed:
  teams: [{id: unknown-team}]
withdrawn: {zones: [kgl-z]}
)";

std::vector<std::string> sortedPaths(const std::vector<NoteProblem>& problems)
{
    std::vector<std::string> paths;
    for (const NoteProblem& problem : problems)
        paths.push_back(problem.place);
    std::sort(paths.begin(), paths.end());
    return paths;
}

}

TEST_CASE("every problem of a note is listed with its key path and line")
{
    auto parsed = parseReleaseNote(invalidNote);
    const auto& [note, lines] = std::get<ParsedNote>(parsed);
    std::vector<NoteProblem> problems = checkNote(Fleet {}, note, { { "prefix-two-choice" }, {} });
    addLineNumbers(problems, lines);
    CHECK(sortedPaths(problems)
        == std::vector<std::string> { "added.endpoints[0].agent", "added.endpoints[0].zone", "added.models[0].service",
            "added.services[0].policy.routing", "added.teams[0].weight", "added.zones[1].id", "changed.teams[0].id",
            "withdrawn.zones[0]" });
    for (const NoteProblem& problem : problems) {
        if (problem.place == "added.endpoints[0].agent")
            CHECK(problem.line == 11);
    }
}

TEST_CASE("a zone or service that an endpoint uses cannot be withdrawn")
{
    Fleet fleet;
    fleet.zones[ZoneId("kgl-a")] = Zone { ZoneId("kgl-a"), "" };
    fleet.services[ServiceId("s")].id = ServiceId("s");
    fleet.endpoints[EndpointId("e")] = Endpoint { EndpointId("e"), ZoneId("kgl-a"), ServiceId("s"), {} };
    ReleaseNote note { NoteId("n"), ReleaseVersion(0), "a", "r", {} };
    note.changes.emplace_back(Withdraw<ZoneId> { ZoneId("kgl-a") });
    note.changes.emplace_back(Withdraw<ServiceId> { ServiceId("s") });
    CHECK(checkNote(fleet, note).size() == 2);
    note.changes.emplace_back(Withdraw<EndpointId> { EndpointId("e") });
    CHECK(checkNote(fleet, note).empty());
}

TEST_CASE("all problems of structure are listed, and malformed documents result in a Failure")
{
    const auto parsed = parseReleaseNote("id: [1]\nbase: x\nadded: {zones: 3, planets: []}\nextra: 1\n");
    const auto* problems = std::get_if<std::vector<NoteProblem>>(&parsed);
    REQUIRE(problems != nullptr);
    CHECK(sortedPaths(*problems) == std::vector<std::string> { "added.planets", "added.zones", "base", "extra", "id" });
    const JsonDocumentCodec codec;
    for (const char* text : { "", "{", "[]", "3", "\x01\xff", "a: b: c", "&a [*a]", "{\"version\": -1}" }) {
        CHECK(std::holds_alternative<Failure>(codec.decodeNote(text)));
        CHECK(std::holds_alternative<Failure>(codec.decodeOrder(text)));
        CHECK((std::string(text).empty() || std::holds_alternative<Failure>(codec.decodeFleet(text))));
    }
}
