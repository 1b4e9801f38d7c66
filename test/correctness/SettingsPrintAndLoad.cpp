#include "adapters/settings/AgentSettings.h"
#include "adapters/settings/EntrySettings.h"

#include <doctest/doctest.h>

using namespace teaselfold;

TEST_CASE("printed entry settings load as equal settings")
{
    EntrySettings settings;
    settings.instance = EntryId("entry-1");
    settings.zone = ZoneId("123");
    settings.region = "kigali";
    settings.callers = { "::1", 7001 };
    settings.admin = { "127.0.0.1", 7002 };
    settings.platform = { "127.0.0.1", 7003 };
    settings.heartbeat = Milliseconds(250);
    settings.adminTokens = { { std::string(64, 'a'), AdminRole::Operator, "true" } };
    settings.seedAgents = { { EndpointId("drafter-1"), { "127.0.0.1", 7101 } }, { EndpointId("7"), { "::1", 7102 } } };
    const auto loaded = loadEntrySettings(printEntrySettings(settings), {});
    REQUIRE(std::holds_alternative<EntrySettings>(loaded));
    CHECK(std::get<EntrySettings>(loaded) == settings);
}

TEST_CASE("printed agent settings load as equal settings")
{
    AgentSettings settings;
    settings.endpoint = EndpointId("drafter-1");
    settings.zone = ZoneId("kgl-a");
    settings.link = { "127.0.0.1", 7101 };
    settings.admin = { "127.0.0.1", 7102 };
    settings.platform = { "127.0.0.1", 7003 };
    settings.service = Address { "127.0.0.1", 7104 };
    settings.graceTime = std::chrono::hours(2);
    const auto loaded = loadAgentSettings(printAgentSettings(settings), {});
    REQUIRE(std::holds_alternative<AgentSettings>(loaded));
    CHECK(std::get<AgentSettings>(loaded) == settings);
}

TEST_CASE("an override takes precedence over the file, and durations have units")
{
    const std::string text = "instance: entry-1\nzone: kgl-a\nregion: kigali\ncallers: 127.0.0.1:7001\n"
                             "admin: 127.0.0.1:7002\nplatform: 127.0.0.1:7003\nadmin_tokens_required: false\n"
                             "max_deadline: 2h\nheartbeat: 250ms\n";
    const auto loaded = loadEntrySettings(text, { { "heartbeat", "1s" } });
    REQUIRE(std::holds_alternative<EntrySettings>(loaded));
    CHECK(std::get<EntrySettings>(loaded).heartbeat == Seconds(1));
    CHECK(std::get<EntrySettings>(loaded).maxDeadline == std::chrono::hours(2));
}
