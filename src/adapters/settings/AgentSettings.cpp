#include "adapters/settings/AgentSettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Requirement;
    using Row = Internal::Setting<AgentSettings>;

    const std::array rows {
        Row { "endpoint", &AgentSettings::endpoint, Requirement::Required, "the endpoint beside this agent" },
        Row { "zone", &AgentSettings::zone, Requirement::Required, "availability zone of the endpoint" },
        Row { "link", &AgentSettings::link, Requirement::Required, "where entries connect" },
        Row { "admin", &AgentSettings::admin, Requirement::Required, "where operators and collectors connect" },
        Row { "platform", &AgentSettings::platform, Requirement::Required, "the platform's table and object store" },
        Row { "engine", &AgentSettings::engine, Requirement::Optional, "the model engine; this or service" },
        Row { "service", &AgentSettings::service, Requirement::Optional, "the plain service; this or engine" },
        Row { "platform_timeout", &AgentSettings::platformTimeout, Requirement::Optional, "wait for the platform" },
        Row { "report_interval", &AgentSettings::reportInterval, Requirement::Optional, "time between load reports" },
        Row { "engine_timeout", &AgentSettings::engineTimeout, Requirement::Optional, "longest silence of the engine" },
        Row { "engine_poll", &AgentSettings::enginePoll, Requirement::Optional,
            "time between readings of the engine's load" },
        Row { "grace_time", &AgentSettings::graceTime, Requirement::Optional,
            "how long a generation goes on without a link to its entry" },
        Row { "link_idle_limit", &AgentSettings::linkIdleLimit, Requirement::Optional,
            "a link on which nothing came for so long is closed" },
        Row { "engine_streams", &AgentSettings::engineStreams, Requirement::Optional,
            "connections to the engine at once" },
        Row { "queue_capacity", &AgentSettings::queueCapacity, Requirement::Optional,
            "generations of one priority class that wait at most" },
        Row { "flow_window", &AgentSettings::flowWindow, Requirement::Optional,
            "tokens sent ahead of the entry's acknowledgement" },
    };

    const Internal::SettingTable<AgentSettings, rows.size()> table(rows);

    void checkConsistency(const AgentSettings& settings, std::vector<SettingProblem>& problems)
    {
        if (settings.engine.has_value() == settings.service.has_value())
            problems.push_back({ "engine", 0, "exactly one of engine and service" });
    }

}

std::variant<AgentSettings, std::vector<SettingProblem>> loadAgentSettings(
    const std::string& text, const std::vector<SettingOverride>& overrides)
{
    auto result = table.load(text, overrides);
    checkConsistency(result.settings, result.problems);
    if (!result.problems.empty())
        return result.problems;
    return result.settings;
}

std::string printAgentSettings(const AgentSettings& settings) { return table.print(settings); }

std::string describeAgentSettings() { return table.describe(); }

}
