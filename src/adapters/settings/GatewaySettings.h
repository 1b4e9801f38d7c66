#pragma once

#include "adapters/settings/SettingProblem.h"
#include "ports/Fleet.h"
#include "ports/GatewayLimits.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** All settings of a gateway. */
struct GatewaySettings {
    std::string instance;
    ZoneId zone;
    Address callers;
    Address readiness;
    std::optional<Address> metrics;
    /** Where the other gateways send their news, by UDP. */
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

    bool operator==(const GatewaySettings&) const = default;
};

/** Reads the text of a settings file. @return the settings, or every problem found. */
std::variant<GatewaySettings, std::vector<SettingProblem>> loadGatewaySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides);
/** @return the settings as YAML. */
std::string printGatewaySettings(const GatewaySettings& settings);
/** @return one line for each key. */
std::string describeGatewaySettings();
/** @return the bounds of the decisions that follow from the settings. */
GatewayLimits gatewayLimits(const GatewaySettings& settings);

}
