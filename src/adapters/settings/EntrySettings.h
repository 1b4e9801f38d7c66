#pragma once

#include "adapters/settings/SettingProblem.h"
#include "ports/EntryPorts.h"

#include <variant>

namespace teaselfold {

/** What the bearer of an administration token may do. */
enum class AdminRole : std::uint8_t {
    Viewer,
    Operator,
};

/** One administration token, known only by its hash. */
struct AdminToken {
    /** Lower-case hexadecimal SHA-256 of the token. */
    std::string sha256;
    AdminRole role { AdminRole::Viewer };
    /** Recorded as the author of what the bearer does. */
    std::string author;

    bool operator==(const AdminToken&) const = default;
};

/** All settings of an entry. */
struct EntrySettings {
    EntryId instance;
    ZoneId zone;
    std::string region;
    Address callers;
    std::uint32_t callerThreads { 1024 };
    Address admin;
    Address platform;
    Milliseconds platformTimeout { 1000 };
    Milliseconds heartbeat { 500 };
    Milliseconds silentLinkLimit { 2000 };
    Milliseconds defaultDeadline { 600000 };
    Milliseconds maxDeadline { 3600000 };
    Milliseconds callerIdleLimit { 30000 };
    std::uint32_t linksPerService { 32 };
    /** Linked to until a configuration is known, so that an entry can start while the platform is down. */
    std::vector<SeedAgent> seedAgents;
    std::uint32_t maxBodyBytes { 1048576 };
    bool adminTokensRequired { true };
    std::vector<AdminToken> adminTokens;

    bool operator==(const EntrySettings&) const = default;
};

/** @return the settings, or every problem of the text and the overrides at once. */
std::variant<EntrySettings, std::vector<SettingProblem>> loadEntrySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides);

/** @return the values in force as YAML that `loadEntrySettings` takes. */
std::string printEntrySettings(const EntrySettings& settings);

/** @return the documentation of all keys, one line each. */
std::string describeEntrySettings();

}
