#pragma once

#include "ports/Fleet.h"
#include "ports/LinkMessages.h"

#include <cstdint>
#include <vector>

namespace teaselfold {

/** A gateway instance; its name in the settings. */
using GatewayId = Id<struct GatewayTag, std::string>;

/** Work that one gateway has at one endpoint. */
struct EndpointShare {
    /** XXH3 hash of the endpoint's id. */
    std::uint64_t endpoint { 0 };
    std::uint32_t runs { 0 };
    /** Tokens that the runs are expected to hold, with the copies kept there. */
    std::uint64_t tokens { 0 };

    bool operator==(const EndpointShare&) const = default;
};

/** What a gateway tells the others several times a second. The newest word holds; a lost one is not repeated. */
struct PeerNews {
    GatewayId instance;
    /** Drawn at the start of the process, so that a restart is told from an old word. */
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /** The instance takes no new callers. */
    bool isLeaving { false };
    std::vector<EndpointShare> shares;
    QuarantineDelivery suspects;

    bool operator==(const PeerNews&) const = default;
};

/** A gateway that is listed in the platform's store, running or not. */
struct GatewayMember {
    GatewayId instance;
    Address address;

    bool operator==(const GatewayMember&) const = default;
};

}
