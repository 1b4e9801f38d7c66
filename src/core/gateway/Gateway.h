#pragma once

#include "core/gateway/ExchangeDispatcher.h"
#include "core/gateway/GatewayAdmission.h"
#include "core/gateway/GossipComposer.h"
#include "core/gateway/LoadSpread.h"
#include "core/gateway/StoreSynchronizer.h"

#include <memory>

namespace teaselfold {

/**
 * Decision logic of a gateway, the process that routes callers' requests directly to endpoints, without agents: a state
 * machine that turns an event and the time into actions. Owned by one duty.
 */
class Gateway {
public:
    Gateway(const GatewayLimits& limits, const GatewayIdentity& identity, Randomness& randomness);

    /** Handles one event. @param now time of a clock that also advances while the machine is suspended. */
    GatewayActions handle(const GatewayEvent& event, Instant now);
    /** Handles deadlines and expiry, dispatches waiting requests and sends gossip. Called several times a second. */
    GatewayActions tick(Instant now);

    /** @return true if the gateway accepts new callers. */
    bool isReady(Instant now) const { return this->admission.isReady(now); }
    /** @return true if a stop was requested and no request is in progress. */
    bool isDrained() const { return this->state.stop && this->state.requests.empty(); }
    /**
     * @return true if the drain delay after a stop request is over and no request is in progress, or if the stop limit
     * is reached. From then on, every new request is refused.
     */
    bool isStopComplete() const { return this->state.stop && this->state.stop->isComplete; }
    /** @return the time of the stop request, if any. */
    std::optional<Instant> stopRequestedAt() const
    {
        return this->state.stop ? std::optional(this->state.stop->requestedAt) : std::nullopt;
    }
    /** @return true if new requests may be sent to the endpoint. */
    bool acceptsRequests(const EndpointId& endpoint) const { return this->state.endpoints.acceptsRequests(endpoint); }
    /** @return the limits in force. */
    const GatewayLimits& limits() const { return this->state.limits; }
    /** @return the current configuration, or null before the first one. */
    const GatewayConfiguration* configuration() const;

private:
    /** Table of the event handlers below, indexed by event type. */
    struct Handlers;

    void requestArrived(const RequestArrived& event, Instant now, GatewayActions& actions);
    void requestAbandoned(const RequestAbandoned& event, Instant now, GatewayActions& actions);
    void responseLost(const ResponseLost& event, Instant now, GatewayActions& actions);
    void requestUnreadable(const RequestUnreadable& event, Instant now, GatewayActions& actions);
    void callerShed(const CallerShed& event, Instant now, GatewayActions& actions);
    void responseShed(const ResponseShed& event, Instant now, GatewayActions& actions);
    void responseReceived(const ResponseReceived& event, Instant now, GatewayActions& actions);
    void exchangeEnded(const ExchangeEnded& event, Instant now, GatewayActions& actions);
    void eventsRelayed(const EventsRelayed& event, Instant now, GatewayActions& actions);
    void migrationResponseReceived(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    void configurationRead(const ConfigurationRead& event, Instant now, GatewayActions& actions);
    void endpointsListed(const EndpointsListed& event, Instant now, GatewayActions& actions);
    void endpointsChanged(const EndpointsChanged& event, Instant now, GatewayActions& actions);
    void outOfServiceZonesRead(const OutOfServiceZonesRead& event, Instant now, GatewayActions& actions);
    void storeRestored(const StoreRestored& event, Instant now, GatewayActions& actions);
    void storeReadSucceeded(const StoreReadSucceeded& event, Instant now, GatewayActions& actions);
    void storeReadFailed(const StoreReadFailed& event, Instant now, GatewayActions& actions);
    void membersListed(const MembersListed& event, Instant now, GatewayActions& actions);
    void gossipReceived(const GossipReceived& event, Instant now, GatewayActions& actions);
    void storeReadingReceived(const StoreReadingReceived& event, Instant now, GatewayActions& actions);
    void limitsChanged(const LimitsChanged& event, Instant now, GatewayActions& actions);
    /** Sends this gateway's load to the other gateways if a message is due. */
    /** Tells the other gateways, or those that use the same engines, of prompts that were just sent. */
    void tellPrompts(Instant now, GatewayActions& actions);
    void sendGossip(Instant now, GatewayActions& actions);
    /** Logs which parts of prompts were quarantined since the last call. */
    void logQuarantinedParts(GatewayActions& actions);
    void stopRequested(const GatewayStopRequested& event, Instant now, GatewayActions& actions);
    void rolloutOrdersRead(const RolloutOrdersRead& event, Instant now, GatewayActions& actions);
    void rolloutsRead(const RolloutsRead& event, Instant now, GatewayActions& actions);
    void rolloutStored(const RolloutStored& event, Instant now, GatewayActions& actions);
    void rolloutStoreFailed(const RolloutStoreFailed& event, Instant now, GatewayActions& actions);
    void endpointProbed(const EndpointProbed& event, Instant now, GatewayActions& actions);
    /** Takes roll-outs further, and moves the streams of endpoints that are about to be stopped. */
    void advanceRollouts(Instant now, GatewayActions& actions);
    void applyEndpointChanges(const EndpointsChanged& changes, Instant now, GatewayActions& actions);
    /** Takes note of the time for which the process did not run before this event or tick. */
    void noticeSuspension(Instant now, GatewayActions& actions);
    /** Completes a requested stop once nothing is in progress, or at its limit, where it ends the requests in progress.
     */
    void advanceStop(Instant now, GatewayActions& actions);
    /** Starts to migrate the streams of endpoints that drain or were removed. */
    void drainEndpoints(const std::vector<EndpointId>& draining, Instant now, GatewayActions& actions);

    GatewayState state;
    GatewayAdmission admission;
    StreamMigrator migrator;
    RequestCompletion completion;
    CrashAttribution crashes;
    ExchangeDispatcher exchanges;
    LoadSpread loadSpread { this->state };
    GossipComposer gossip;
    StoreSynchronizer store;
    /** Time of the last event or tick; unset before the first. */
    std::optional<Instant> lastActiveAt;
};

}
