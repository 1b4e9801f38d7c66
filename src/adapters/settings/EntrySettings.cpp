#include "adapters/settings/EntrySettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Requirement;
    using Row = Internal::Setting<EntrySettings>;

    const std::array rows {
        Row { "instance", &EntrySettings::instance, Requirement::Required,
            "name of this instance, unique among entries" },
        Row { "zone", &EntrySettings::zone, Requirement::Required, "availability zone of this instance" },
        Row { "region", &EntrySettings::region, Requirement::Required, "region of the availability zone" },
        Row { "callers", &EntrySettings::callers, Requirement::Required, "where callers connect" },
        Row { "caller_threads", &EntrySettings::callerThreads, Requirement::Optional, "callers served at once" },
        Row { "admin", &EntrySettings::admin, Requirement::Required, "where operators and collectors connect" },
        Row { "platform", &EntrySettings::platform, Requirement::Required, "the platform's table and object store" },
        Row { "platform_timeout", &EntrySettings::platformTimeout, Requirement::Optional, "wait for the platform" },
        Row { "heartbeat", &EntrySettings::heartbeat, Requirement::Optional, "time between heartbeats on a link" },
        Row { "silent_link_limit", &EntrySettings::silentLinkLimit, Requirement::Optional,
            "a link on which nothing came for so long is replaced" },
        Row { "default_deadline", &EntrySettings::defaultDeadline, Requirement::Optional,
            "deadline of a request without one" },
        Row { "max_deadline", &EntrySettings::maxDeadline, Requirement::Optional,
            "longest deadline a caller may ask for" },
        Row { "caller_idle_limit", &EntrySettings::callerIdleLimit, Requirement::Optional,
            "a caller that sends or takes nothing for so long is closed" },
        Row { "links_per_service", &EntrySettings::linksPerService, Requirement::Optional,
            "endpoints of a service that this entry is linked to" },
        Row { "seed_agents", &EntrySettings::seedAgents, Requirement::Optional,
            "agents to ask for the configuration until one is known" },
        Row { "max_body_bytes", &EntrySettings::maxBodyBytes, Requirement::Optional,
            "largest body of a request, in bytes" },
        Row { "admin_tokens_required", &EntrySettings::adminTokensRequired, Requirement::Optional,
            "whether operators need a token" },
        Row { "admin_tokens", &EntrySettings::adminTokens, Requirement::Optional, "operators' tokens" },
    };

    const Internal::SettingTable<EntrySettings, rows.size()> table(rows);

    void checkConsistency(const EntrySettings& settings, std::vector<SettingProblem>& problems)
    {
        if (settings.defaultDeadline > settings.maxDeadline)
            problems.push_back({ "default_deadline", 0, "no more than max_deadline" });
        if (settings.silentLinkLimit <= settings.heartbeat)
            problems.push_back({ "silent_link_limit", 0, "more than heartbeat" });
        if (settings.adminTokensRequired && settings.adminTokens.empty())
            problems.push_back({ "admin_tokens", 0, "at least one token, or admin_tokens_required: false" });
    }

}

std::variant<EntrySettings, std::vector<SettingProblem>> loadEntrySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides)
{
    auto result = table.load(text, overrides);
    checkConsistency(result.settings, result.problems);
    if (!result.problems.empty())
        return result.problems;
    return result.settings;
}

std::string printEntrySettings(const EntrySettings& settings) { return table.print(settings); }

std::string describeEntrySettings() { return table.describe(); }

}
