#pragma once

#include "adapters/settings/SettingProblem.h"
#include "ports/Fleet.h"
#include "ports/Ids.h"
#include "ports/Time.h"

#include <optional>
#include <variant>

namespace teaselfold {

/** Settings of an agent. Exactly one of `engine` and `service` is set. */
struct AgentSettings {
    EndpointId endpoint;
    ZoneId zone;
    Address link;
    Address admin;
    Address platform;
    std::optional<Address> engine;
    std::optional<Address> service;
    Milliseconds platformTimeout { 1000 };
    Milliseconds reportInterval { 500 };
    Milliseconds engineTimeout { 5000 };
    Milliseconds enginePoll { 500 };
    Milliseconds graceTime { 30000 };
    Milliseconds linkIdleLimit { 5000 };
    std::uint32_t engineStreams { 64 };
    std::uint32_t queueCapacity { 256 };
    std::uint32_t flowWindow { 256 };

    bool operator==(const AgentSettings&) const = default;
};

/**
 * Loads the settings from the text of a settings file.
 * @param overrides values that take precedence over the file.
 * @return the settings, or all problems found in the text and the overrides.
 */
std::variant<AgentSettings, std::vector<SettingProblem>> loadAgentSettings(
    const std::string& text, const std::vector<SettingOverride>& overrides);

/** @return the effective values as YAML that `loadAgentSettings` can read. */
std::string printAgentSettings(const AgentSettings& settings);

/** @return the documentation of all keys, one line each. */
std::string describeAgentSettings();

}
