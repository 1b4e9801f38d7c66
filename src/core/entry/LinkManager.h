#pragma once

#include "core/entry/Dispatcher.h"
#include "core/entry/ResponseForwarder.h"

#include <map>
#include <vector>

namespace teaselfold {

/** Keeps the links to the chosen endpoints, replaces silent ones and recovers the work that ran over them. */
class LinkManager {
public:
    LinkManager(RouterState& state, Dispatcher& dispatcher, ResponseForwarder& forwarder)
        : state(state)
        , dispatcher(dispatcher)
        , forwarder(forwarder)
    {
    }

    void linkUp(const EndpointId& endpoint, Instant now);
    void linkDown(const EndpointId& endpoint, Instant now);
    void recordContact(const EndpointId& endpoint, Instant now);
    /** The agent named itself. Another incarnation means that the work at the former one is lost. */
    void hello(const EndpointId& endpoint, const AgentHello& message, Instant now);
    void reported(const EndpointId& endpoint, const LoadReport& report, Instant now);
    /** Sends every linked agent that is behind what it lacks of the configuration. */
    void deliverFleet(Instant now);
    /** Opens, replaces and closes links as needed, and gives up work at endpoints without contact. */
    void maintain(Instant now);
    /** This process was paused: what it knows is old and its connections may hold old messages. */
    void recoverFromPause(Instant now);

private:
    void maintainLink(const EndpointId& endpoint, EndpointState& view, Instant now);
    void open(const EndpointId& endpoint, EndpointState& view, Instant now);
    void close(const EndpointId& endpoint, EndpointState& view);
    bool isLinkNeeded(const EndpointId& endpoint, const EndpointState& view) const;
    bool isReconnectDue(const EndpointState& view, Instant now) const;
    /** Sends the notes that the agent lacks, or the whole configuration when it is too far behind. */
    void deliverFleetTo(const EndpointId& endpoint, EndpointState& view, Instant now);
    /** Asks the agent for its configuration, unless another agent was just asked for as new a one. */
    void requestFleet(const EndpointId& endpoint, ReleaseVersion version, Instant now);
    void markCallsLost(const EndpointId& endpoint, Instant now);
    void markAttemptsLost(const EndpointId& endpoint, bool died, Instant now);
    void markLost(LiveRequest& request, Instant now);
    void sendHeartbeat(Instant now);

    RouterState& state;
    Dispatcher& dispatcher;
    ResponseForwarder& forwarder;
    /** Generations given up while there was no contact, to be cancelled on the next link. */
    std::map<EndpointId, std::vector<GenerationId>> pendingCancellations;
    std::optional<Instant> lastHeartbeatAt;
};

}
