#pragma once

#include "core/gateway/GatewayState.h"

namespace teaselfold {

/** Decides which requests wait for an endpoint, and for how long. WaitingRequests decides their order. */
class DispatchOrder {
public:
    explicit DispatchOrder(GatewayState& state)
        : state(state)
    {
    }

    /**
     * @return the priority at the engines. Zero is the most urgent. Values are capped at 9, so that less urgent levels
     * remain for other uses.
     */
    static std::uint32_t enginePriority(const ActiveRequest& active);
    /** @return the requests among which this one has its turn. */
    static WaitingGroup groupOf(const ActiveRequest& active);
    /** @return true if a request that does not wait yet has to, since others wait that go first. */
    bool hasToQueue(const ActiveRequest& active) const;
    /** Queues a request until an endpoint takes it; does nothing if it waits already. */
    void wait(const ActiveRequest& active, Instant now);
    /** @return the maximum time for which a request may wait for an endpoint. */
    Duration waitLimit(const ActiveRequest& active) const;

private:
    GatewayState& state;
};

}
