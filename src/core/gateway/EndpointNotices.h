#pragma once

#include "core/gateway/GatewayState.h"
#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

/** What an endpoint says of itself in an answer. */
struct EndpointNotice {
    bool isLeaving { false };
    /** Time for which the endpoint wants no requests of this gateway; zero for none. */
    Milliseconds restTime { 0 };
    /** Unset when the answer states nothing of a limit. */
    std::optional<RateLimitStatement> rateLimit;
};

/** Acts on what endpoints say of themselves in their answers. */
class EndpointNotices {
public:
    EndpointNotices(GatewayState& state, StreamMigrator& migrator)
        : state(state)
        , migrator(migrator)
    {
    }

    /** Handles what the endpoint said of itself in an answer to this gateway. */
    void received(const EndpointId& endpoint, const EndpointNotice& notice, Instant now, GatewayActions& actions);

private:
    GatewayState& state;
    StreamMigrator& migrator;
};

}
