#pragma once

#include "adapters/settings/SettingProblem.h"
#include "ports/CallerBudgetLimits.h"
#include "ports/Fleet.h"
#include "ports/GatewayLimits.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** Settings of a gateway. */
struct GatewaySettings {
    std::string instance;
    ZoneId zone;
    Address callers;
    Address readiness;
    std::optional<Address> metrics;
    /** UDP address that receives the gossip of the other gateways. */
    Address peers;
    Address store;
    Milliseconds storeTimeout { 700 };
    Milliseconds connectTimeout { 250 };
    Milliseconds stopLimit { 8000 };
    Milliseconds revocationLimit { 5000 };
    double retryRatio { 0.2 };
    double retryHeadroom { 50 };
    Milliseconds retryWindow { 10000 };
    double coldFactor { 1.5 };
    double coldHeadroom { 5 };
    double exposureFraction { 0.1 };
    double exposureHeadroom { 50 };
    Milliseconds rollbackLimit { 5000 };
    /** Memory that the process may use, in megabytes. */
    std::uint32_t memoryLimitMb { 88 };
    /** Descriptors that the process may open, those for files included. */
    std::uint32_t descriptorLimit { 4096 };
    /** Time in which a caller must take some of an answer that is ready for it. */
    Milliseconds unreadLimit { 10000 };

    bool operator==(const GatewaySettings&) const = default;
};

/**
 * Loads the settings from the text of a settings file.
 * @param overrides values that take precedence over the file.
 * @return the settings, or all problems found in the text and the overrides.
 */
std::variant<GatewaySettings, std::vector<SettingProblem>> loadGatewaySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides);
/** @return the effective values as YAML that `loadGatewaySettings` can read. */
std::string printGatewaySettings(const GatewaySettings& settings);
/** @return the documentation of all keys, one line each. */
std::string describeGatewaySettings();
/** @return the limits of the gateway core that are derived from the settings. */
GatewayLimits gatewayLimits(const GatewaySettings& settings);
/** @return the connections that callers, endpoints and status clients may have together. */
std::size_t maxTrafficConnections(const GatewaySettings& settings);
/** @return what the process can spare for its callers. */
CallerBudgetLimits callerBudgetLimits(const GatewaySettings& settings);

}
