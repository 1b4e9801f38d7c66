#pragma once

#include "core/entry/LinkManager.h"
#include "core/entry/RequestAdmission.h"
#include "core/entry/ResponseForwarder.h"
#include "core/entry/RouterState.h"

#include <memory>
#include <vector>

namespace teaselfold {

/** The state machine of an entry's data path: it turns events into actions and performs no I/O. */
class Router {
public:
    explicit Router(std::unique_ptr<RouterState> state);

    /**
     * Handles one event.
     * @param now the current time; never earlier than in the previous call.
     * @return the actions to perform, in order.
     */
    std::vector<RouterAction> handle(const RouterEvent& event, Instant now);

    /** @return whether new work is accepted: a configuration is known and no stop was requested. */
    bool ready() const;
    /** @return the number of requests in progress. */
    std::size_t inProgress() const;

private:
    friend struct RouterHandlers;

    void onCompletion(const CompletionRequest& event, Instant now);
    void onStreamResume(const StreamResumeRequest& event, Instant now);
    void onServiceCall(const ServiceCallRequest& event, Instant now);
    void onCallerDisconnected(const CallerDisconnected& event, Instant now);
    void onCallerConsumed(const CallerConsumed& event, Instant now);
    void onLinkUp(const LinkUp& event, Instant now);
    void onLinkDown(const LinkDown& event, Instant now);
    void onAgentMessage(const FromAgent& event, Instant now);
    void onFleet(const FleetChanged& event, Instant now);
    void onOrders(const OrdersChanged& event, Instant now);
    void onInstances(const InstancesListed& event, Instant now);
    void onQuerySuspects(const QuerySuspects& event, Instant now);
    void onReleaseSuspect(const ReleaseSuspect& event, Instant now);
    void onStop(const RouterStopRequested& event, Instant now);
    void onTick(const RouterTick& event, Instant now);

    void onAgentHello(const AgentHello& message, const EndpointId& endpoint, Instant now);
    void onAgentReport(const LoadReport& message, const EndpointId& endpoint, Instant now);
    void onAgentAccepted(const GenerationAccepted& message, const EndpointId& endpoint, Instant now);
    void onAgentRefused(const GenerationRefused& message, const EndpointId& endpoint, Instant now);
    void onAgentStarted(const GenerationStarted& message, const EndpointId& endpoint, Instant now);
    void onAgentTokens(const GenerationTokens& message, const EndpointId& endpoint, Instant now);
    void onAgentFinished(const GenerationFinished& message, const EndpointId& endpoint, Instant now);
    void onAgentFailed(const GenerationFailed& message, const EndpointId& endpoint, Instant now);
    void onAgentUnknown(const GenerationUnknown& message, const EndpointId& endpoint, Instant now);
    void onAgentAnswered(const CallAnswered& message, const EndpointId& endpoint, Instant now);
    void onAgentCallFailed(const CallFailed& message, const EndpointId& endpoint, Instant now);
    void onAgentFleet(const FleetCopy& message, const EndpointId& endpoint, Instant now);
    void onAgentNote(const NoteDelivery& message, const EndpointId& endpoint, Instant now);
    void onAgentOrders(const OrdersDelivery& message, const EndpointId& endpoint, Instant now);
    void onAgentSuspects(const QuarantineDelivery& message, const EndpointId& endpoint, Instant now);

    void detectPause(Instant now);
    void failPastDeadline(Instant now);
    void reportDrained();

    std::unique_ptr<RouterState> state;
    Dispatcher dispatcher;
    ResponseForwarder forwarder;
    LinkManager links;
    RequestAdmission admission;
    std::optional<Instant> lastEventAt;
    bool drainedReported { false };
};

/** Builds a router. The source of randomness must outlive it. */
class RouterBuilder {
public:
    RouterBuilder& withSelf(EntryId self);
    RouterBuilder& withZone(ZoneId zone);
    RouterBuilder& withRandomness(Randomness& randomness);
    RouterBuilder& withLimits(RouterLimits limits);
    /** @param agents the agents to connect to until a configuration is known. */
    RouterBuilder& withSeedAgents(std::vector<SeedAgent> agents);
    /** @return the router. Requires a source of randomness. */
    std::unique_ptr<Router> build();

private:
    EntryId self;
    ZoneId zone;
    Randomness* randomness { nullptr };
    RouterLimits limits;
    std::vector<SeedAgent> seeds;
};

}
