#include "adapters/settings/EntrySettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Need;
    using Row = Internal::Setting<EntrySettings>;

    const std::array rows {
        Row { "instance", &EntrySettings::instance, Need::Required, "name of this instance, unique among entries" },
        Row { "zone", &EntrySettings::zone, Need::Required, "availability zone of this instance" },
        Row { "region", &EntrySettings::region, Need::Required, "region of the availability zone" },
        Row { "callers", &EntrySettings::callers, Need::Required, "where callers connect" },
        Row { "caller_threads", &EntrySettings::callerThreads, Need::Optional, "callers served at once" },
        Row { "admin", &EntrySettings::admin, Need::Required, "where operators and collectors connect" },
        Row { "platform", &EntrySettings::platform, Need::Required, "the platform's table and object store" },
        Row { "platform_timeout", &EntrySettings::platformTimeout, Need::Optional, "wait for the platform" },
        Row { "heartbeat", &EntrySettings::heartbeat, Need::Optional, "time between heartbeats on a link" },
        Row { "silent_link_limit", &EntrySettings::silentLinkLimit, Need::Optional,
            "a link on which nothing came for so long is replaced" },
        Row {
            "default_deadline", &EntrySettings::defaultDeadline, Need::Optional, "deadline of a request without one" },
        Row { "max_deadline", &EntrySettings::maxDeadline, Need::Optional, "longest deadline a caller may ask for" },
        Row { "caller_idle_limit", &EntrySettings::callerIdleLimit, Need::Optional,
            "a caller that sends or takes nothing for so long is closed" },
        Row { "links_per_service", &EntrySettings::linksPerService, Need::Optional,
            "endpoints of a service that this entry is linked to" },
        Row { "seed_agents", &EntrySettings::seedAgents, Need::Optional,
            "agents to ask for the configuration until one is known" },
        Row { "max_body_bytes", &EntrySettings::maxBodyBytes, Need::Optional, "largest body of a request, in bytes" },
        Row { "admin_tokens_required", &EntrySettings::adminTokensRequired, Need::Optional,
            "whether operators need a token" },
        Row { "admin_tokens", &EntrySettings::adminTokens, Need::Optional, "operators' tokens" },
    };

    const Internal::SettingTable<EntrySettings, rows.size()> table(rows);

    void checkTogether(const EntrySettings& settings, std::vector<SettingProblem>& problems)
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
    auto draft = table.load(text, overrides);
    checkTogether(draft.settings, draft.problems);
    if (!draft.problems.empty())
        return draft.problems;
    return draft.settings;
}

std::string printEntrySettings(const EntrySettings& settings) { return table.print(settings); }

std::string describeEntrySettings() { return table.describe(); }

}
