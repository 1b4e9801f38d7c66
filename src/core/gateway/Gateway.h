#pragma once

#include "core/gateway/ExchangeKeeper.h"
#include "core/gateway/NewsComposer.h"
#include "core/gateway/RequestGate.h"

#include <memory>

namespace teaselfold {

/**
 * All decisions of a gateway, the process that routes callers' requests to endpoints without an agent.
 * An event and the time go in, actions come out. Owned by one duty.
 */
class Gateway {
public:
    Gateway(const GatewayLimits& limits, const GatewayPlace& place, Randomness& randomness);

    /** Handles one event. @param now on a clock that also counts time for which the machine was suspended. */
    GatewayActions handle(const GatewayEvent& event, Instant now);
    /** Ends what is late. Called several times a second. */
    GatewayActions tick(Instant now);

    /** @return true when new callers are welcome. */
    bool isReady(Instant now) const { return this->gate.isReady(now); }
    /** @return true when a stop was asked for and nothing is in progress. */
    bool isDrained() const { return this->state.stopRequestedAt && this->state.requests.empty(); }
    /** @return when the order to stop came. */
    std::optional<Instant> stopRequestedAt() const { return this->state.stopRequestedAt; }
    /** @return the configuration in force, or null. */
    const GatewayConfiguration* configuration() const;

private:
    struct Handlers;

    void arrived(const RequestArrived& event, Instant now, GatewayActions& actions);
    void abandoned(const RequestAbandoned& event, Instant now, GatewayActions& actions);
    void answered(const ResponseReceived& event, Instant now, GatewayActions& actions);
    void ended(const ExchangeEnded& event, Instant now, GatewayActions& actions);
    void relayed(const EventsRelayed& event, Instant now, GatewayActions& actions);
    void moveAnswered(const MigrationResponseReceived& event, Instant now, GatewayActions& actions);
    void configurationRead(const ConfigurationRead& event, Instant now, GatewayActions& actions);
    void endpointsListed(const EndpointsListed& event, Instant now, GatewayActions& actions);
    void endpointsChanged(const EndpointsChanged& event, Instant now, GatewayActions& actions);
    void zonesOutRead(const OutOfServiceZonesRead& event, Instant now, GatewayActions& actions);
    void storeAnswered(const StoreReadSucceeded& event, Instant now, GatewayActions& actions);
    void storeFailed(const StoreReadFailed& event, Instant now, GatewayActions& actions);
    void membersListed(const MembersListed& event, Instant now, GatewayActions& actions);
    void peerHeard(const GossipReceived& event, Instant now, GatewayActions& actions);
    void limitsChanged(const LimitsChanged& event, Instant now, GatewayActions& actions);
    void tellPeers(Instant now, GatewayActions& actions);
    void stopRequested(const GatewayStopRequested& event, Instant now, GatewayActions& actions);
    void endpointsLeave(const std::vector<EndpointId>& leaving, Instant now, GatewayActions& actions);

    GatewayState state;
    RequestGate gate;
    MoveKeeper moves;
    ExchangeKeeper exchanges;
    NewsComposer gossip;
};

}
