#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Reports now and then how evenly the endpoints of each service are loaded, as this gateway sees it. */
class LoadSpread {
public:
    explicit LoadSpread(const GatewayState& state)
        : state(state)
    {
    }

    /** Adds a log line for each service whose endpoints have requests, if it is time for them. */
    void tick(Instant now, GatewayActions& actions);

private:
    const GatewayState& state;
    std::optional<Instant> reportedAt;
};

}
