#pragma once

#include "ports/GatewayLimits.h"
#include "ports/PeerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace teaselfold {

/** @return the interval between the full gossip messages of a gateway with the given number of receivers. */
Milliseconds fullGossipInterval(const GatewayLimits& limits, std::size_t receiverCount);

/** @return the interval at which a gateway with the given number of receivers tells of a roll-out. */
Milliseconds rolloutGossipInterval(std::size_t receiverCount);

/** State that a gateway sends to the others. */
struct GossipContent {
    std::vector<EndpointUsage> usages;
    QuarantineDelivery suspects;
    bool isDraining { false };
    /** Number of gateways that receive each message. */
    std::size_t receiverCount { 0 };
    /** Sent with partial messages. */
    PromptPartEvidence recentEvidence {};
    /** Sent with full messages. */
    PromptPartEvidence allEvidence {};
    std::vector<RefusedConnection> refusedConnections {};
    std::vector<RateLimitReport> rateLimits {};
    std::vector<RolloutReport> rollouts {};
    /** Of all endpoints whose condition is known; those of the endpoints in a message's usages are sent with it. */
    std::vector<EndpointCondition> conditions {};
};

/** How soon the others should know of a change. */
enum class GossipUrgency : std::uint8_t {
    None,
    /** Sent as long as the token bucket keeps enough for a message about a new prompt. */
    Normal,
    /** Sent at once: a prompt was sent, and until the others know of it they may send theirs to the same engine. */
    High,
};

/**
 * Decides when a gateway sends gossip and what it contains. Changes are sent as soon as the token bucket that limits
 * the bytes per second allows, new prompts first. Calls to endpoints without engines are too short for the others to
 * use what is told of them; they are listed only in messages that are sent for another reason. Full messages are sent
 * periodically, because datagrams may be lost.
 */
class GossipComposer {
public:
    GossipComposer(const GatewayLimits& limits, GatewayId self, Incarnation incarnation)
        : limits(limits)
        , self(std::move(self))
        , incarnation(incarnation)
    {
    }

    /** @return the message to send to each receiver now; unset if nothing changed or the token bucket is empty. */
    std::optional<GossipMessage> compose(const GossipContent& content, Instant now);

    /** @return those of the usages that have prompts of which the others were not told. */
    std::vector<EndpointUsage> newPrompts(const std::vector<EndpointUsage>& usages) const;
    /**
     * Makes a message about new prompts for some of the gateways, which are few enough to be told at once. The others
     * hear of the prompts with the next message for all.
     * @param prompts from `newPrompts`; the other fields of the content are not used, but for the conditions.
     * @return the message; unset if the token bucket has too many bytes less than none.
     */
    std::optional<GossipMessage> composePrompts(
        const GossipContent& content, const std::vector<EndpointUsage>& prompts, Instant now);

private:
    GossipMessage makeMessage(const GossipContent& content, std::vector<EndpointUsage> usages,
        const PromptPartEvidence& evidence, bool tellsRollouts);
    std::vector<EndpointUsage> changedUsages(const std::vector<EndpointUsage>& usages) const;
    /** @return how soon the changed usages should be sent. */
    GossipUrgency urgencyOf(const std::vector<EndpointUsage>& changed) const;
    /** @return true if the changed usages should be sent now. */
    bool isDue(const GossipContent& content, const std::vector<EndpointUsage>& changed) const;
    /** @return true if the token bucket allows a message of the urgency. */
    bool maySend(GossipUrgency urgency, std::size_t usageCount, std::size_t receiverCount) const;
    void refill(Instant now);
    /** Takes the bytes of one message to all receivers from the token bucket. */
    void spend(const GossipMessage& message, std::size_t receiverCount);
    bool hasNewReport(const PromptPartEvidence& evidence) const;
    /** @return true if the rate limits differ from those of the last message, or their demand is due to be repeated. */
    bool hasNewRateLimits(const std::vector<RateLimitReport>& reports, Instant now) const;

    /** @return true if a request became suspect of a crash, or an endpoint refused connections, since the last message.
     */
    bool hasNewCrashes(const GossipContent& content) const;
    /** @return true if a roll-out got further since the last message with roll-outs, or their counts are due. */
    bool hasNewRollouts(const GossipContent& content, Instant now) const;

    const GatewayLimits& limits;
    GatewayId self;
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /** Usages as of the last message, by endpoint hash. */
    std::unordered_map<std::uint32_t, EndpointUsage> lastSent;
    /** Reports of broken runs in the last message. */
    std::set<std::uint64_t> lastReports;
    /** Rate limits in the last message, by endpoint hash; unset where the endpoint has none. */
    std::unordered_map<std::uint32_t, std::optional<double>> lastRateLimits;
    /** Suspects of crashes in the last message, and the number of crashes of each. */
    std::map<Fingerprint, std::uint32_t> lastSuspects;
    /** Endpoints that refused connections according to the last message, by hash. */
    std::set<std::uint32_t> lastRefusals;
    /** How far the roll-outs had got in the last message with roll-outs, and whether the store held them. */
    std::map<std::uint64_t, std::pair<RolloutSignal, bool>> lastRollouts;
    std::optional<Instant> rolloutsSentAt;
    std::optional<Instant> sentAt;
    std::optional<Instant> fullGossipSentAt;
    std::optional<Instant> refilledAt;
    /** Bytes left in the token bucket; negative after a full message that exceeded them. */
    double availableBytes { 0 };
};

}
