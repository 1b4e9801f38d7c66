#pragma once

#include "core/entry/Dispatcher.h"
#include "core/entry/ResponseForwarder.h"

#include <map>
#include <vector>

namespace teaselfold {

/** Maintains the links to the endpoints of the subset, replaces silent links and recovers the work on lost ones. */
class LinkManager {
public:
    LinkManager(RouterState& state, Dispatcher& dispatcher, ResponseForwarder& forwarder)
        : state(state)
        , dispatcher(dispatcher)
        , forwarder(forwarder)
    {
    }

    void onLinkUp(const EndpointId& endpoint, Instant now);
    void onLinkDown(const EndpointId& endpoint, Instant now);
    /** Records that a message arrived from the endpoint. */
    void recordContact(const EndpointId& endpoint, Instant now);
    /** Handles the agent's hello. A new incarnation means that the agent restarted and its former work is lost. */
    void onHello(const EndpointId& endpoint, const AgentHello& message, Instant now);
    void onLoadReport(const EndpointId& endpoint, const LoadReport& report, Instant now);
    /** Brings every connected agent up to date with the configuration. */
    void deliverFleet(Instant now);
    /** Opens, replaces and closes links as needed, and handles the loss of the work at unreachable endpoints. */
    void maintain(Instant now);
    /** Discards load reports and reopens all links after a pause of this process, since both may hold stale data. */
    void recoverFromPause(Instant now);

private:
    void maintainLink(const EndpointId& endpoint, EndpointState& endpointState, Instant now);
    void open(const EndpointId& endpoint, EndpointState& endpointState, Instant now);
    void close(const EndpointId& endpoint, EndpointState& endpointState);
    bool isLinkNeeded(const EndpointId& endpoint, const EndpointState& endpointState) const;
    bool isReconnectDue(const EndpointState& endpointState, Instant now) const;
    /** Sends the release notes that the agent lacks, or the whole configuration when it is too far behind. */
    void deliverFleetTo(const EndpointId& endpoint, EndpointState& endpointState, Instant now);
    /** Asks the agent for its configuration if this entry has none and has not just requested one at least as new. */
    void requestFleet(const EndpointId& endpoint, ReleaseVersion version, Instant now);
    /** Retries or fails the service calls at the endpoint. Generations are kept, since a new link can resume them. */
    void handleLostCalls(const EndpointId& endpoint, Instant now);
    /**
     * Retries or fails all requests that have an attempt at the endpoint.
     * @param died true to count a death of the endpoint against the requests that ran there.
     */
    void handleLostAttempts(const EndpointId& endpoint, bool died, Instant now);
    void handleLostAttempt(LiveRequest& request, Instant now);
    void sendHeartbeat(Instant now);

    RouterState& state;
    Dispatcher& dispatcher;
    ResponseForwarder& forwarder;
    /** Generations lost while the endpoint was unreachable; cancelled once the link is up again. */
    std::map<EndpointId, std::vector<GenerationId>> pendingCancellations;
    std::optional<Instant> lastHeartbeatAt;
};

}
