#pragma once

#include "ports/Fleet.h"
#include "ports/LinkMessages.h"

#include <cstdint>
#include <vector>

namespace teaselfold {

/** A gateway instance; its name in the settings. */
using GatewayId = Id<struct GatewayTag, std::string>;

/** Work that one gateway has at one endpoint. */
struct EndpointUsage {
    /** Low half of the XXH3 hash of the endpoint's id. */
    std::uint32_t endpoint { 0 };
    std::uint32_t runs { 0 };
    /** Tokens that the runs are expected to hold, with the copies kept there. */
    std::uint32_t tokens { 0 };
    /** Tokens of prompts of which no event has come yet. */
    std::uint32_t promptTokens { 0 };

    bool operator==(const EndpointUsage&) const = default;
};

/**
 * What a gateway tells the others several times a second. The newest word on an endpoint holds; a lost one is made good
 * by the next full news.
 */
struct GossipMessage {
    /** Empty in partial news, whose sender is known by its incarnation. */
    GatewayId instance;
    /** Drawn at the start of the process, so that a restart is told from an old word. */
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /** The instance takes no new callers. */
    bool isDraining { false };
    /** Only endpoints whose share changed are listed; otherwise all that have one. */
    bool isPartial { false };
    std::vector<EndpointUsage> usages;
    QuarantineDelivery suspects;

    bool operator==(const GossipMessage&) const = default;
};

/** A gateway that is listed in the platform's store, running or not. */
struct GatewayMember {
    GatewayId instance;
    Address address;

    bool operator==(const GatewayMember&) const = default;
};

}
