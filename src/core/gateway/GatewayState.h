#pragma once

#include "core/entry/Quarantine.h"
#include "core/entry/RetryBudget.h"
#include "core/gateway/ActiveRequest.h"
#include "core/gateway/CopyRefusals.h"
#include "core/gateway/CrashDetector.h"
#include "core/gateway/DepartureTimes.h"
#include "core/gateway/EndpointDirectory.h"
#include "core/gateway/PeerLoadTable.h"
#include "core/gateway/PlannedStop.h"
#include "core/gateway/PromptPartQuarantine.h"
#include "core/gateway/ReaderRank.h"
#include "core/gateway/ReturnTurns.h"
#include "core/gateway/RolloutTraffic.h"
#include "core/gateway/RouteTable.h"
#include "core/gateway/StoreFreshness.h"
#include "core/gateway/StoreRestoration.h"
#include "core/gateway/StreamObjectives.h"
#include "core/gateway/WaitingRequests.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>

namespace teaselfold {

/** State shared by the parts of a gateway's decision logic. */
struct GatewayState {
    GatewayState(const GatewayLimits& gatewayLimits, const RouterLimits& sharedLimits, const GatewayIdentity& identity,
        Randomness& random)
        : limits(gatewayLimits)
        , zone(identity.zone)
        , randomness(random)
        , freshness(this->limits)
        , endpoints(this->limits, identity.instance)
        , peers(this->limits, identity.instance)
        , rollouts(this->limits, this->endpoints, this->peers, this->freshness, identity.instance)
        , rolloutTraffic(this->rollouts, this->endpoints)
        , quarantine(sharedLimits)
        , promptParts(sharedLimits)
        , sharedLimits(sharedLimits)
    {
    }

    GatewayState(const GatewayState&) = delete;
    GatewayState& operator=(const GatewayState&) = delete;

    /** @return the retry budget of a service, with its minimum set to this gateway's part of the shared headroom. */
    RetryBudget& retryBudgetOf(const ServiceId& service)
    {
        RetryBudget& budget = this->retryBudgets.try_emplace(service, this->sharedLimits).first->second;
        // A budget may be spent in full at the end of one window and again in the next one.
        constexpr double adjacentWindows = 2;
        budget.setMinRetries(this->limits.retryHeadroom * this->limits.sharedQuotaFraction / adjacentWindows
            / static_cast<double>(this->peers.gatewayCount()));
        return budget;
    }

    /** @return the objectives of a request of the route and of the streams that run beside it at the service. */
    StreamObjectives streamObjectives(const GatewayRoute& route, const ServiceId& service) const
    {
        return { route.latencyObjective,
            this->routes ? this->routes->eventIntervalObjective(service) : route.eventIntervalObjective };
    }

    /** @return false if a stopping gateway may exit before the given time. */
    bool endsBeforeStop(Instant time) const
    {
        return !this->stop || time < this->stop->requestedAt + this->limits.stopLimit;
    }

    /** Counts a request's end in the planned stop, if there is one. @param counter the counter for the way it ended. */
    void countInStop(std::uint64_t PlannedStop::*counter)
    {
        if (this->stop)
            ++((*this->stop).*counter);
    }

    /** Referenced by members below, so a change of the settings assigns new values in place. */
    GatewayLimits limits;
    ZoneId zone;
    Randomness& randomness;
    StoreFreshness freshness;
    EndpointDirectory endpoints;
    PeerLoadTable peers;
    RolloutTracker rollouts;
    RolloutTraffic rolloutTraffic;
    Quarantine quarantine;
    CrashDetector crashDetector;
    PromptPartQuarantine promptParts;
    StoreRestoration restoration;
    CopyRefusals copyRefusals;
    DepartureTimes departureTimes;
    RouterLimits sharedLimits;
    std::map<ServiceId, RetryBudget> retryBudgets;
    ReturnTurns returnTurns;
    OutputLengths outputLengths;
    std::optional<RouteTable> routes;
    std::map<RequestId, ActiveRequest> requests;
    std::map<ExchangeId, Exchange> exchanges;
    WaitingRequests waiting;
    std::uint64_t lastExchangeId { 0 };
    std::optional<PlannedStop> stop;
};

}
