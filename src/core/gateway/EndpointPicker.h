#pragma once

#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/PeerBoard.h"
#include "ports/Randomness.h"

namespace teaselfold {

/** What a pick depends on beside the endpoints. */
struct PickContext {
    ZoneId zone;
    Instant now;
    /** Tokens that the request is expected to hold at its end; zero at a plain service. */
    std::uint64_t tokens { 0 };
    /** Tokens of the prompt; zero where nothing is read. */
    std::uint64_t promptTokens { 0 };
    /** Events that the request is expected to take; zero where only memory counts. */
    std::uint64_t events { 0 };
    const GatewayLimits& limits;
    const PeerBoard& peers;
    Randomness& randomness;
    /** What the other instances say is all there is. Asked once, as it looks at each of them. */
    bool hearsAll { this->peers.isComplete() };
};

/** Chooses the endpoint for one request. One object for each kind of service. */
class EndpointPicker {
public:
    virtual ~EndpointPicker() = default;
    /** @return the chosen endpoint, or null when none has room. */
    virtual GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const = 0;
};

/** The least busy endpoint by this instance's own requests and the endpoints' reports. */
class LeastBusyPicker final : public EndpointPicker {
public:
    GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const override;
};

/**
 * The engine at which the request costs the least time, its own and that of the streams which its prompt delays:
 * engines read prompts between the tokens of running streams. Long streams so find the fast engines, and short ones
 * keep out of their way.
 */
class SoonestDonePicker final : public EndpointPicker {
public:
    GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const override;
};

/** @return the tokens that an engine is expected to hold with the request, as a share of its memory. */
double usedWith(const GatewayEndpoint& endpoint, const GatewayService& service, const PickContext& context);

/** @return the picker for a service's endpoints. */
const EndpointPicker& pickerFor(const GatewayService& service);

}
