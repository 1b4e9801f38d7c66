#include "adapters/settings/AgentSettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Requirement;
    using Row = Internal::Setting<AgentSettings>;

    const std::array rows {
        Row {
            "endpoint", &AgentSettings::endpoint, Requirement::Required, "ID of the endpoint that this agent serves" },
        Row { "zone", &AgentSettings::zone, Requirement::Required, "availability zone of the endpoint" },
        Row { "link", &AgentSettings::link, Requirement::Required, "address on which entries connect" },
        Row { "admin", &AgentSettings::admin, Requirement::Required,
            "address on which operators and metrics collectors connect" },
        Row { "platform", &AgentSettings::platform, Requirement::Required,
            "address of the platform's table and object store" },
        Row { "engine", &AgentSettings::engine, Requirement::Optional,
            "address of the model engine; exclusive with service" },
        Row { "service", &AgentSettings::service, Requirement::Optional,
            "address of the plain service; exclusive with engine" },
        Row { "platform_timeout", &AgentSettings::platformTimeout, Requirement::Optional,
            "timeout of a request to the platform" },
        Row { "report_interval", &AgentSettings::reportInterval, Requirement::Optional, "interval of load reports" },
        Row { "engine_timeout", &AgentSettings::engineTimeout, Requirement::Optional,
            "longest time without data from the engine" },
        Row { "engine_poll", &AgentSettings::enginePoll, Requirement::Optional,
            "interval at which the engine's load is polled" },
        Row { "grace_time", &AgentSettings::graceTime, Requirement::Optional,
            "time for which a generation continues without a link to its entry" },
        Row { "link_idle_limit", &AgentSettings::linkIdleLimit, Requirement::Optional,
            "time without received data after which a link is closed" },
        Row { "engine_streams", &AgentSettings::engineStreams, Requirement::Optional,
            "maximum number of concurrent connections to the engine" },
        Row { "queue_capacity", &AgentSettings::queueCapacity, Requirement::Optional,
            "maximum number of queued generations per priority class" },
        Row { "flow_window", &AgentSettings::flowWindow, Requirement::Optional,
            "maximum number of tokens sent before the entry acknowledges them" },
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
