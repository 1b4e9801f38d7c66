#include "adapters/settings/GatewaySettings.h"

#include "adapters/settings/SettingTable.h"

#include <algorithm>

namespace teaselfold {

namespace {

    using Internal::Requirement;
    using Row = Internal::Setting<GatewaySettings>;

    const std::array rows {
        Row { "instance", &GatewaySettings::instance, Requirement::Required, "name of this instance" },
        Row { "zone", &GatewaySettings::zone, Requirement::Required, "availability zone of this instance" },
        Row { "callers", &GatewaySettings::callers, Requirement::Required, "address on which callers connect" },
        Row { "readiness", &GatewaySettings::readiness, Requirement::Required,
            "address that serves the load balancer's readiness probe" },
        Row { "metrics", &GatewaySettings::metrics, Requirement::Optional,
            "address on which metrics collectors connect" },
        Row { "peers", &GatewaySettings::peers, Requirement::Required, "UDP address for gossip from other gateways" },
        Row { "store", &GatewaySettings::store, Requirement::Required, "address of the platform's store" },
        Row { "store_timeout", &GatewaySettings::storeTimeout, Requirement::Optional,
            "timeout of a request to the store" },
        Row { "connect_timeout", &GatewaySettings::connectTimeout, Requirement::Optional,
            "timeout of a connection to an endpoint" },
        Row { "stop_limit", &GatewaySettings::stopLimit, Requirement::Optional,
            "time between the stop signal and the kill" },
        Row { "revocation_limit", &GatewaySettings::revocationLimit, Requirement::Optional,
            "time after which no instance may accept a revoked API key" },
        Row { "retry_ratio", &GatewaySettings::retryRatio, Requirement::Optional,
            "retries per request, of all instances together" },
        Row { "retry_headroom", &GatewaySettings::retryHeadroom, Requirement::Optional,
            "retries beyond the ratio in each window, of all instances together" },
        Row { "retry_window", &GatewaySettings::retryWindow, Requirement::Optional, "time window of the retry limits" },
        Row { "cold_factor", &GatewaySettings::coldFactor, Requirement::Optional,
            "multiple of its declared rate that a cold endpoint can serve" },
        Row { "cold_headroom", &GatewaySettings::coldHeadroom, Requirement::Optional,
            "requests per second that a cold endpoint can serve beyond the multiple" },
        Row { "exposure_fraction", &GatewaySettings::exposureFraction, Requirement::Optional,
            "part of a service's requests that a bad new version may get during a roll-out, of all instances "
            "together" },
        Row { "exposure_headroom", &GatewaySettings::exposureHeadroom, Requirement::Optional,
            "requests that a bad new version may get beyond that part, of all instances together" },
        Row { "rollback_limit", &GatewaySettings::rollbackLimit, Requirement::Optional,
            "time after its fiftieth bad answer from which a bad new version must get no requests" },
        Row { "memory_limit_mb", &GatewaySettings::memoryLimitMb, Requirement::Optional,
            "memory that the process may use, in megabytes" },
        Row { "descriptor_limit", &GatewaySettings::descriptorLimit, Requirement::Optional,
            "descriptors that the process may open, those for files included" },
        Row { "unread_limit", &GatewaySettings::unreadLimit, Requirement::Optional,
            "time in which a caller must take some of its answer" },
    };

    const Internal::SettingTable<GatewaySettings, rows.size()> table(rows);

    /** Allowance for the time between the check of a request's API key and its arrival at the endpoint. */
    constexpr Milliseconds revocationMargin(500);

    /** Fraction of the fleet-wide retry ratio that is used; the rest covers requests counted in another window. */
    constexpr double retryRatioShare = 0.75;

    /** Part of the stop limit that is reserved for the process to exit before it is killed. */
    constexpr Milliseconds exitMargin(500);

    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024UL;

    /** Memory of the process without callers: code, tables of the fleet, log lines. */
    constexpr std::uint32_t processMemoryMb = 16;

    /** Copies of what callers hold while buffers grow, and freed memory that the allocator keeps. */
    constexpr std::size_t memoryPerHeldByte = 2;

    /** Spared for callers even if the limit leaves nothing, so that the process serves as long as it lives. */
    constexpr std::size_t minCallerMemoryMb = 4;

    /** Descriptors that the platform keeps for files. */
    constexpr std::uint32_t fileDescriptors = 200;

    /** Descriptors for listeners, wake-ups, the store and peers. */
    constexpr std::uint32_t ownDescriptors = 32;

    constexpr std::uint32_t minConnections = 32;

    /** Part of the connections that is kept free for endpoints. */
    constexpr std::size_t endpointReserveFraction = 8;

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

std::size_t maxTrafficConnections(const GatewaySettings& settings)
{
    const std::uint32_t kept = fileDescriptors + ownDescriptors;
    return std::max(settings.descriptorLimit, kept + minConnections) - kept;
}

CallerBudgetLimits callerBudgetLimits(const GatewaySettings& settings)
{
    CallerBudgetLimits limits;
    const std::size_t spareMb = std::max(settings.memoryLimitMb, processMemoryMb) - processMemoryMb;
    limits.memoryBytes = std::max(spareMb / memoryPerHeldByte, minCallerMemoryMb) * bytesPerMegabyte;
    const std::size_t connections = maxTrafficConnections(settings);
    limits.connections = connections - connections / endpointReserveFraction;
    limits.unreadLimit = settings.unreadLimit;
    return limits;
}

GatewayLimits gatewayLimits(const GatewaySettings& settings)
{
    GatewayLimits limits;
    limits.maxKeyStaleness = settings.revocationLimit - revocationMargin;
    limits.retryBudgetRatio = settings.retryRatio * retryRatioShare;
    limits.retryHeadroom = settings.retryHeadroom;
    limits.retryWindow = settings.retryWindow;
    limits.stopLimit = settings.stopLimit - exitMargin;
    limits.coldFactor = settings.coldFactor;
    limits.coldHeadroom = settings.coldHeadroom;
    limits.exposureFraction = settings.exposureFraction;
    limits.exposureHeadroom = settings.exposureHeadroom;
    limits.rollbackLimit = settings.rollbackLimit;
    return limits;
}

}
