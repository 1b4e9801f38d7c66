#pragma once

#include "core/gateway/GatewayState.h"
#include "core/gateway/StreamMigrator.h"

namespace teaselfold {

/** Acts on what endpoints say of themselves in their answers. */
class EndpointNotices {
public:
    EndpointNotices(GatewayState& state, StreamMigrator& migrator)
        : state(state)
        , migrator(migrator)
    {
    }

    /** @param isLeaving the endpoint leaves. @param restTime time for which it wants no requests; zero for none. */
    void received(
        const EndpointId& endpoint, bool isLeaving, Milliseconds restTime, Instant now, GatewayActions& actions);

private:
    GatewayState& state;
    StreamMigrator& migrator;
};

}
