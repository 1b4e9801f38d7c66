#include "adapters/settings/AgentSettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Need;
    using Row = Internal::Setting<AgentSettings>;

    const std::array rows {
        Row { "endpoint", &AgentSettings::endpoint, Need::Required, "the endpoint beside this agent" },
        Row { "zone", &AgentSettings::zone, Need::Required, "availability zone of the endpoint" },
        Row { "link", &AgentSettings::link, Need::Required, "where entries connect" },
        Row { "admin", &AgentSettings::admin, Need::Required, "where operators and collectors connect" },
        Row { "platform", &AgentSettings::platform, Need::Required, "the platform's table and object store" },
        Row { "engine", &AgentSettings::engine, Need::Optional, "the model engine; this or service" },
        Row { "service", &AgentSettings::service, Need::Optional, "the plain service; this or engine" },
        Row { "platform_timeout", &AgentSettings::platformTimeout, Need::Optional, "wait for the platform" },
        Row { "report_interval", &AgentSettings::reportInterval, Need::Optional, "time between load reports" },
        Row { "engine_timeout", &AgentSettings::engineTimeout, Need::Optional, "longest silence of the engine" },
        Row { "engine_poll", &AgentSettings::enginePoll, Need::Optional, "time between readings of the engine's load" },
        Row { "grace_time", &AgentSettings::graceTime, Need::Optional,
            "how long a generation goes on without a link to its entry" },
        Row { "link_idle_limit", &AgentSettings::linkIdleLimit, Need::Optional,
            "a link on which nothing came for so long is closed" },
        Row { "engine_streams", &AgentSettings::engineStreams, Need::Optional, "connections to the engine at once" },
        Row { "queue_capacity", &AgentSettings::queueCapacity, Need::Optional,
            "generations of one priority class that wait at most" },
        Row { "flow_window", &AgentSettings::flowWindow, Need::Optional,
            "tokens sent ahead of the entry's acknowledgement" },
    };

    const Internal::SettingTable<AgentSettings, rows.size()> table(rows);

    void checkTogether(const AgentSettings& settings, std::vector<SettingProblem>& problems)
    {
        if (settings.engine.has_value() == settings.service.has_value())
            problems.push_back({ "engine", 0, "exactly one of engine and service" });
    }

}

std::variant<AgentSettings, std::vector<SettingProblem>> loadAgentSettings(
    const std::string& text, const std::vector<SettingOverride>& overrides)
{
    auto draft = table.load(text, overrides);
    checkTogether(draft.settings, draft.problems);
    if (!draft.problems.empty())
        return draft.problems;
    return draft.settings;
}

std::string printAgentSettings(const AgentSettings& settings) { return table.print(settings); }

std::string describeAgentSettings() { return table.describe(); }

}
