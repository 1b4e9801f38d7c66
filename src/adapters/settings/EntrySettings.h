#pragma once

#include "adapters/settings/SettingProblem.h"
#include "ports/EntryPorts.h"

#include <variant>

namespace teaselfold {

/** Permissions of the bearer of an administration token. */
enum class AdminRole : std::uint8_t {
    Viewer,
    Operator,
};

/** An administration token, stored as a hash only. */
struct AdminToken {
    /** Lower-case hexadecimal SHA-256 of the token. */
    std::string sha256;
    AdminRole role { AdminRole::Viewer };
    /** Recorded as the author of the bearer's actions. */
    std::string author;

    bool operator==(const AdminToken&) const = default;
};

/** Settings of an entry. */
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
    /** Agents to link to until a configuration is loaded, so that an entry can start while the platform is down. */
    std::vector<SeedAgent> seedAgents;
    std::uint32_t maxBodyBytes { 1048576 };
    /** Limit on the request bodies in progress together, in megabytes. */
    std::uint32_t bodyMemoryMb { 64 };
    bool adminTokensRequired { true };
    std::vector<AdminToken> adminTokens;

    bool operator==(const EntrySettings&) const = default;
};

/**
 * Loads the settings from the text of a settings file.
 * @param overrides values that take precedence over the file.
 * @return the settings, or all problems found in the text and the overrides.
 */
std::variant<EntrySettings, std::vector<SettingProblem>> loadEntrySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides);

/** @return the effective values as YAML that `loadEntrySettings` can read. */
std::string printEntrySettings(const EntrySettings& settings);

/** @return the documentation of all keys, one line each. */
std::string describeEntrySettings();

}
