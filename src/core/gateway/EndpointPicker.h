#pragma once

#include "core/gateway/EndpointDirectory.h"
#include "ports/Randomness.h"

namespace teaselfold {

/** What a pick depends on beside the endpoints. */
struct PickContext {
    ZoneId zone;
    Instant now;
    /** Tokens that the request is expected to hold at its end; zero at a plain service. */
    std::uint64_t tokens { 0 };
    /** Events that the request is expected to take; zero where only memory counts. */
    std::uint64_t events { 0 };
    const GatewayLimits& limits;
    Randomness& randomness;
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

/** The engine that is expected to be done first: by its learned speed, as long as its memory has room. */
class SoonestDonePicker final : public EndpointPicker {
public:
    GatewayEndpoint* pick(const std::vector<GatewayEndpoint*>& candidates, const GatewayService& service,
        const PickContext& context) const override;
};

/** @return the picker for a service's endpoints. */
const EndpointPicker& pickerFor(const GatewayService& service);

}
