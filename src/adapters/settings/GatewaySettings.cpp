#include "adapters/settings/GatewaySettings.h"

#include "adapters/settings/SettingTable.h"

namespace teaselfold {

namespace {

    using Internal::Requirement;
    using Row = Internal::Setting<GatewaySettings>;

    const std::array rows {
        Row { "instance", &GatewaySettings::instance, Requirement::Required, "name of this instance" },
        Row { "zone", &GatewaySettings::zone, Requirement::Required, "availability zone of this instance" },
        Row { "callers", &GatewaySettings::callers, Requirement::Required, "where callers connect" },
        Row {
            "readiness", &GatewaySettings::readiness, Requirement::Required, "where the balancer asks for readiness" },
        Row { "metrics", &GatewaySettings::metrics, Requirement::Optional, "where collectors connect" },
        Row { "peers", &GatewaySettings::peers, Requirement::Required, "where other gateways send their news, by UDP" },
        Row { "store", &GatewaySettings::store, Requirement::Required, "the platform's store" },
        Row {
            "store_timeout", &GatewaySettings::storeTimeout, Requirement::Optional, "wait for an answer of the store" },
        Row { "connect_timeout", &GatewaySettings::connectTimeout, Requirement::Optional,
            "wait for a connection to an endpoint" },
        Row { "stop_limit", &GatewaySettings::stopLimit, Requirement::Optional,
            "time between the order to stop and the kill" },
        Row { "revocation_limit", &GatewaySettings::revocationLimit, Requirement::Optional,
            "time after which a key that was taken away must not be accepted anywhere" },
        Row { "retry_ratio", &GatewaySettings::retryRatio, Requirement::Optional,
            "retries per request that all instances together may send" },
        Row { "retry_headroom", &GatewaySettings::retryHeadroom, Requirement::Optional,
            "retries beyond the ratio in each window, of all instances together" },
        Row { "retry_window", &GatewaySettings::retryWindow, Requirement::Optional, "window of the retry bound" },
        Row { "cold_factor", &GatewaySettings::coldFactor, Requirement::Optional,
            "multiple of its stated rate that a cold endpoint bears" },
        Row { "cold_headroom", &GatewaySettings::coldHeadroom, Requirement::Optional,
            "requests a second that a cold endpoint bears beyond the multiple" },
    };

    const Internal::SettingTable<GatewaySettings, rows.size()> table(rows);

    /** Time for a request to pass from the check of its key to the endpoint. */
    constexpr Milliseconds revocationMargin(500);

    /** Part of the common ratio that is used; the rest covers requests that are counted in another window. */
    constexpr double retryRatioShare = 0.75;

    /** Left of the time to stop for the process to end by itself. */
    constexpr Milliseconds exitMargin(500);

    void checkConsistency(const GatewaySettings& settings, std::vector<SettingProblem>& problems)
    {
        if (settings.revocationLimit <= revocationMargin)
            problems.push_back({ "revocation_limit", 0, "more than 500ms" });
        if (settings.stopLimit <= exitMargin)
            problems.push_back({ "stop_limit", 0, "more than 500ms" });
    }

}

std::variant<GatewaySettings, std::vector<SettingProblem>> loadGatewaySettings(
    const std::string& text, const std::vector<SettingOverride>& overrides)
{
    auto result = table.load(text, overrides);
    checkConsistency(result.settings, result.problems);
    if (!result.problems.empty())
        return result.problems;
    return result.settings;
}

std::string printGatewaySettings(const GatewaySettings& settings) { return table.print(settings); }

std::string describeGatewaySettings() { return table.describe(); }

GatewayLimits gatewayLimits(const GatewaySettings& settings)
{
    GatewayLimits limits;
    limits.keyFreshness = settings.revocationLimit - revocationMargin;
    limits.retryShare = settings.retryRatio * retryRatioShare;
    limits.retryHeadroom = settings.retryHeadroom;
    limits.retryWindow = settings.retryWindow;
    limits.stopLimit = settings.stopLimit - exitMargin;
    limits.coldFactor = settings.coldFactor;
    limits.coldHeadroom = settings.coldHeadroom;
    return limits;
}

}
