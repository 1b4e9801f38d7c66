#pragma once

#include "core/common/RecentNotes.h"
#include "core/common/ServiceOrders.h"
#include "core/entry/EndpointTable.h"
#include "core/entry/OverflowMeter.h"
#include "core/entry/Quarantine.h"
#include "core/entry/RequestTable.h"
#include "core/entry/RetryBudget.h"
#include "core/entry/RouterLimits.h"
#include "core/entry/UnacknowledgedStreams.h"
#include "ports/EntryPorts.h"
#include "ports/Randomness.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** State shared by the parts of a router: its tables, and the actions collected while one event is handled. */
struct RouterState {
    RouterState(EntryId self, ZoneId zone, Randomness& randomness, const RouterLimits& limits)
        : self(std::move(self))
        , zone(std::move(zone))
        , randomness(&randomness)
        , limits(limits)
        , retryBudget(limits)
        , quarantine(limits)
    {
    }

    EntryId self;
    ZoneId zone;
    Randomness* randomness;
    RouterLimits limits;
    Fleet fleet;
    RecentNotes notes;
    /** The configuration version last requested from an agent, and when. */
    ReleaseVersion requestedFleetVersion;
    Instant fleetRequestedAt;
    ServiceOrders orders;
    EndpointTable endpoints;
    RequestTable requests;
    UnacknowledgedStreams unacknowledged;
    RetryBudget retryBudget;
    Quarantine quarantine;
    OverflowMeter overflow;
    /** The sequence number of each service's next routing decision. */
    std::map<ServiceId, std::uint64_t> nextSequence;
    bool stopping { false };
    std::vector<RouterAction> actions;

    void sendToAgent(const EndpointId& endpoint, EntryMessage message)
    {
        this->actions.emplace_back(ToAgent { endpoint, std::move(message) });
    }

    void sendToCaller(RequestId request, CallerMessage message)
    {
        this->actions.emplace_back(ToCaller { request, std::move(message) });
    }

    /** Sends a message on every link that is up. */
    void sendToAllAgents(const EntryMessage& message)
    {
        for (const auto& [id, endpointState] : this->endpoints.all())
            if (endpointState.link == LinkState::Up)
                this->sendToAgent(id, message);
    }

    void log(std::string name, std::vector<LogField> fields)
    {
        this->actions.emplace_back(LogEvent { std::move(name), std::move(fields) });
    }

    void observe(const LiveRequest& request, Metric metric, double value = 1, std::string label = {})
    {
        this->actions.emplace_back(Observation { metric, request.team, request.priority, value, std::move(label) });
    }
};

}
