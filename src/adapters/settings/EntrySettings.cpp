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
        Row { "callers", &EntrySettings::callers, Requirement::Required, "address on which callers connect" },
        Row { "caller_threads", &EntrySettings::callerThreads, Requirement::Optional,
            "maximum number of callers served concurrently" },
        Row { "admin", &EntrySettings::admin, Requirement::Required,
            "address on which operators and metrics collectors connect" },
        Row { "platform", &EntrySettings::platform, Requirement::Required,
            "address of the platform's table and object store" },
        Row { "platform_timeout", &EntrySettings::platformTimeout, Requirement::Optional,
            "timeout of a request to the platform" },
        Row { "heartbeat", &EntrySettings::heartbeat, Requirement::Optional, "interval of heartbeats on a link" },
        Row { "silent_link_limit", &EntrySettings::silentLinkLimit, Requirement::Optional,
            "time without received data after which a link is replaced" },
        Row { "default_deadline", &EntrySettings::defaultDeadline, Requirement::Optional,
            "deadline of a request that states none" },
        Row { "max_deadline", &EntrySettings::maxDeadline, Requirement::Optional,
            "longest deadline that a caller may request" },
        Row { "caller_idle_limit", &EntrySettings::callerIdleLimit, Requirement::Optional,
            "time without sent or accepted data after which a caller is disconnected" },
        Row { "links_per_service", &EntrySettings::linksPerService, Requirement::Optional,
            "maximum number of links to endpoints of a service" },
        Row { "seed_agents", &EntrySettings::seedAgents, Requirement::Optional,
            "agents to link to until a configuration is loaded" },
        Row { "max_body_bytes", &EntrySettings::maxBodyBytes, Requirement::Optional,
            "maximum size of a request body, in bytes" },
        Row { "body_memory_mb", &EntrySettings::bodyMemoryMb, Requirement::Optional,
            "memory for the request bodies in progress together, in megabytes" },
        Row { "admin_tokens_required", &EntrySettings::adminTokensRequired, Requirement::Optional,
            "whether operators need a token" },
        Row { "admin_tokens", &EntrySettings::adminTokens, Requirement::Optional,
            "hashes, roles and authors of the operators' tokens" },
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
