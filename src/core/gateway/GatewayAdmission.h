#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Admission control: checks the route and key of a request, and how fresh the configuration is that they come from. */
class GatewayAdmission {
public:
    explicit GatewayAdmission(GatewayState& state)
        : state(state)
    {
    }

    /** @return the request ready for dispatch, or the reason for its refusal. */
    Outcome<ActiveRequest> admit(const GatewayRequest& request, Instant now) const;
    /** @return true if the gateway accepts new callers. */
    bool isReady(Instant now) const;

private:
    /** @return the team that owns the request's key, null if the route needs no key, or the reason for a refusal. */
    Outcome<const GatewayTeam*> teamOf(const GatewayRequest& request, const GatewayRoute& route, Instant now) const;
    /**
     * @return false if a stopping gateway might exit before the request's deadline. New requests are still accepted for
     * the linger time after the stop request.
     */
    bool canFinishBeforeStop(const GatewayRequest& request, const GatewayRoute& route, Instant now) const;
    /** @return the failure, or a retryable one while the configuration may be out of date. */
    Failure denial(ErrorCode code, std::string message, Instant now) const;

    GatewayState& state;
};

}
