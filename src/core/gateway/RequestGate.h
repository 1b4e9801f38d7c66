#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Decides whether a request is let in: by its route, its key, and how fresh the knowledge of both is. */
class RequestGate {
public:
    explicit RequestGate(GatewayState& state)
        : state(state)
    {
    }

    /** @return the request ready to be sent, or why it is not served. */
    Outcome<ActiveRequest> admit(const GatewayRequest& request, Instant now) const;
    /** @return true when new callers are welcome. */
    bool isReady(Instant now) const;

private:
    Outcome<const GatewayTeam*> teamOf(const GatewayRequest& request, const GatewayRoute& route, Instant now) const;
    bool endsBeforeTheStop(const GatewayRequest& request, const GatewayRoute& route, Instant now) const;
    Failure denial(ErrorCode code, std::string message, Instant now) const;

    GatewayState& state;
};

}
