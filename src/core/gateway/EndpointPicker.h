#pragma once

#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/PeerLoadTable.h"
#include "core/gateway/StreamObjectives.h"
#include "ports/Randomness.h"

namespace teaselfold {

/** Inputs for the choice of an endpoint, other than the candidates. */
struct PickContext {
    ZoneId zone;
    Instant now;
    /** Tokens that the request is expected to hold when it finishes; zero at a service without engines. */
    std::uint64_t tokens { 0 };
    /** Tokens of the prompt; zero if no prompt is read. */
    std::uint64_t promptTokens { 0 };
    /** Expected number of events of the stream; zero if only the KV cache use matters. */
    std::uint64_t events { 0 };
    StreamObjectives objectives {};
    /** Of the service. */
    const SlowdownShares& slowdowns;
    const GatewayLimits& limits;
    const PeerLoadTable& peers;
    Randomness& randomness;
    /** True if the load of every other gateway is known. Cached here because the check visits all gateways. */
    bool isPeerLoadComplete { this->peers.isComplete() };
};

/** Strategy that chooses the endpoint for a request. There is one object for each kind of service. */
class EndpointPicker {
public:
    virtual ~EndpointPicker() = default;
    /** @return the chosen endpoint, or null if there is no candidate. */
    virtual GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const = 0;
};

/** Chooses the endpoint with the least load, according to this gateway's requests and the load reports. */
class LeastLoadedPicker final : public EndpointPicker {
public:
    GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const override;
};

/**
 * Chooses the engine at which the request costs the least time. The cost is the request's own duration plus the delay
 * that its prompt causes to running streams, since engines interleave prefill with decoding. Long streams therefore go
 * to fast engines, and short ones avoid them.
 */
class LowestCostPicker final : public EndpointPicker {
public:
    GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const override;
};

/** @return the tokens that an engine is expected to hold including the request, as a fraction of its KV cache. */
double expectedUtilization(const GatewayEndpoint& endpoint, const GatewayService& service, const PickContext& context);

/** @return the picker for a service's endpoints. */
const EndpointPicker& pickerFor(const GatewayService& service);

}
