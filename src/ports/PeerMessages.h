#pragma once

#include "ports/Fleet.h"
#include "ports/LinkMessages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselfold {

/** Identifies a gateway by its name in the settings. */
using GatewayId = Id<struct GatewayTag, std::string>;

/** Load that one gateway causes at one endpoint. */
struct EndpointUsage {
    /** Lower 32 bits of the XXH3 hash of the endpoint's id. */
    std::uint32_t endpoint { 0 };
    /** Requests in progress. */
    std::uint32_t runs { 0 };
    /** KV-cache tokens that these requests are expected to use, including replicas kept at the endpoint. */
    std::uint32_t tokens { 0 };
    /** Prompt tokens of requests for which no event has been received yet. */
    std::uint32_t promptTokens { 0 };

    bool operator==(const EndpointUsage&) const = default;
};

/** How fast an endpoint works, as one gateway knows it. */
struct EndpointCondition {
    /** Lower 32 bits of the XXH3 hash of the endpoint's id. */
    std::uint32_t endpoint { 0 };
    /** Usual time between two events of a stream; zero if it was not measured. */
    Microseconds eventInterval { 0 };
    /** Factor by which work took longer than usual according to the endpoint's last load report; zero without one. */
    double slowdown { 0 };
    /** Time since that report. */
    Milliseconds age { 0 };

    bool operator==(const EndpointCondition&) const = default;
};

/** Evidence on which parts of prompts crash engines. */
struct PromptPartEvidence {
    /** A run that broke before it got past its start. */
    struct BrokenStart {
        /** Random id of the report. */
        std::uint64_t report { 0 };
        /** Lower 32 bits of the XXH3 hash of the endpoint's id. */
        std::uint32_t endpoint { 0 };
        /** Time since the run broke. */
        Milliseconds age { 0 };
        std::vector<PromptPartId> parts;

        bool operator==(const BrokenStart&) const = default;
    };
    /** A run with the part got past its start. */
    struct Survival {
        PromptPartId part;
        /** Time since the last such run. */
        Milliseconds age { 0 };

        bool operator==(const Survival&) const = default;
    };
    std::vector<BrokenStart> brokenStarts;
    std::vector<Survival> survivals;

    bool operator==(const PromptPartEvidence&) const = default;
};

/** A connection to an endpoint could not be established. */
struct RefusedConnection {
    /** Lower 32 bits of the XXH3 hash of the endpoint's id. */
    std::uint32_t endpoint { 0 };
    /** Time since the last such attempt. */
    Milliseconds age { 0 };

    bool operator==(const RefusedConnection&) const = default;
};

/** What a gateway knows of an endpoint's request rate limit, and how much of it the gateway could use. */
struct RateLimitReport {
    /** Lower 32 bits of the XXH3 hash of the endpoint's id. */
    std::uint32_t endpoint { 0 };
    /** Requests per second that the endpoint takes from all gateways together; unset if it stated that it has no limit.
     */
    std::optional<double> requestsPerSecond;
    /** Time since the endpoint stated it. */
    Milliseconds age { 0 };
    /** The sender's recent requests per second for the endpoint's service. */
    double demand { 0 };

    bool operator==(const RateLimitReport&) const = default;
};

/** How far a roll-out has got according to one gateway. Later ones prevail. */
enum class RolloutSignal : std::uint8_t {
    /** The new version gets a small share of the requests. */
    Observing,
    /** The new version gets all requests. */
    Shifting,
    /** The new version gets no more requests. */
    Condemned,
    /** The store holds the state `reverted`. */
    Reverted,
    /** The store holds the state `completed`. */
    Completed,
};
constexpr std::size_t rolloutSignalCount = 5;

/** Answers to one gateway's requests since a roll-out began, of one route and one endpoint. */
struct RolloutCounts {
    /** Lower 32 bits of the XXH3 hash of the endpoint's id; zero for all endpoints of previous versions together. */
    std::uint32_t endpoint { 0 };
    /** Lower 32 bits of the XXH3 hash of the route's name and of what was measured. */
    std::uint32_t route { 0 };
    std::uint32_t answered { 0 };
    std::uint32_t failed { 0 };
    /** Answers that took several times as long as those of the previous versions. */
    std::uint32_t slow { 0 };
    /** Sum of the times of all answers that did not fail. */
    Milliseconds totalTime { 0 };

    bool operator==(const RolloutCounts&) const = default;
};

/** What a gateway knows of a roll-out. Counts are totals since it began, so that a lost message does no harm. */
struct RolloutReport {
    /** XXH3 hash of the service and its new version. */
    std::uint64_t rollout { 0 };
    RolloutSignal signal { RolloutSignal::Observing };
    /** The store holds a record of the roll-out. */
    bool isRecorded { false };
    /** Time since the order. */
    Milliseconds elapsed { 0 };
    /** Requests that the sender sent to the service, and those of them that it sent to the new version. */
    std::uint32_t requests { 0 };
    std::uint32_t requestsToTarget { 0 };
    /** The sender's requests in progress at endpoints of previous versions. */
    std::uint32_t runsAtPrevious { 0 };
    std::vector<RolloutCounts> counts;

    bool operator==(const RolloutReport&) const = default;
};

/**
 * State that a gateway sends to the others several times a second. The latest usage of an endpoint replaces earlier
 * ones, so the next full message corrects the effect of a lost one.
 */
struct GossipMessage {
    /** Empty in a partial message, whose sender is identified by its incarnation. */
    GatewayId instance;
    /** Random, drawn at process start; distinguishes messages sent before and after a restart. */
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /** True when the gateway is stopping. */
    bool isDraining { false };
    /** True when only endpoints whose usage changed are listed; otherwise all endpoints in use are listed. */
    bool isPartial { false };
    std::vector<EndpointUsage> usages;
    QuarantineDelivery suspects;
    PromptPartEvidence promptParts {};
    /** Recent ones of the sender, by which others recognize that their connections broke because of a crash. */
    std::vector<RefusedConnection> refusedConnections {};
    std::vector<RateLimitReport> rateLimits {};
    std::vector<RolloutReport> rollouts {};
    /** Of endpoints listed in `usages`, as far as the sender measured or was told their condition itself. */
    std::vector<EndpointCondition> conditions {};

    bool operator==(const GossipMessage&) const = default;
};

/** A gateway listed in the platform's store, whether it is running or not. */
struct GatewayMember {
    GatewayId instance;
    Address address;
    /** Empty if its row in the store names no zone. */
    ZoneId zone {};

    bool operator==(const GatewayMember&) const = default;
};

}
