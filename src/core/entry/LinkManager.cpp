#include "core/entry/LinkManager.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

void LinkManager::onLinkUp(const EndpointId& endpoint, Instant now)
{
    EndpointState* endpointState = this->state.endpoints.find(endpoint);
    if (!endpointState)
        return;
    endpointState->link = LinkState::Up;
    endpointState->lastContactAt = now;
    this->state.endpoints.resetConnectionState(endpoint);
    for (const GenerationId generation : std::exchange(this->pendingCancellations[endpoint], {}))
        this->state.sendToAgent(endpoint, CancelGeneration { generation });
    this->pendingCancellations.erase(endpoint);
    for (const RequestId id : this->state.requests.requestsAt(endpoint))
        this->forwarder.resume(*this->state.requests.find(id));
    const QuarantineDelivery suspects = this->state.quarantine.delivery(now);
    if (!suspects.suspects.empty())
        this->state.sendToAgent(endpoint, suspects);
}

void LinkManager::onLinkDown(const EndpointId& endpoint, Instant now)
{
    EndpointState* endpointState = this->state.endpoints.find(endpoint);
    if (!endpointState)
        return;
    endpointState->closedByPeer = endpointState->closedByPeer || endpointState->link == LinkState::Up;
    endpointState->link = LinkState::Closed;
    endpointState->reconnectTimerStart = now;
    if (!endpointState->contactLostAt)
        endpointState->contactLostAt = now;
    this->state.endpoints.resetConnectionState(endpoint);
    this->handleLostCalls(endpoint, now);
    this->state.log("link_down", { { "endpoint", endpoint.get() } });
}

void LinkManager::recordContact(const EndpointId& endpoint, Instant now)
{
    EndpointState* endpointState = this->state.endpoints.find(endpoint);
    if (!endpointState || endpointState->link != LinkState::Up)
        return;
    endpointState->lastContactAt = now;
    endpointState->contactLostAt.reset();
    endpointState->closedByPeer = false;
}

void LinkManager::onHello(const EndpointId& endpoint, const AgentHello& message, Instant now)
{
    EndpointState* endpointState = this->state.endpoints.find(endpoint);
    if (!endpointState)
        return;
    const bool restarted
        = endpointState->incarnation != Incarnation() && endpointState->incarnation != message.incarnation;
    endpointState->incarnation = message.incarnation;
    if (!restarted)
        return;
    endpointState->pendingSubmissions = 0;
    this->state.log("agent_restarted", { { "endpoint", endpoint.get() } });
    this->handleLostAttempts(endpoint, true, now);
}

void LinkManager::onLoadReport(const EndpointId& endpoint, const LoadReport& report, Instant now)
{
    this->state.actions.emplace_back(ToControl { endpoint, report });
    EndpointState* endpointState = this->state.endpoints.find(endpoint);
    if (!endpointState || endpointState->link != LinkState::Up)
        return;
    this->state.endpoints.applyReport(endpoint, report);
    if (report.ordersDigest != this->state.orders.digest())
        this->state.sendToAgent(endpoint, OrdersDelivery { this->state.orders.all() });
    this->deliverFleetTo(endpoint, *endpointState, now);
    this->requestFleet(endpoint, report.release, now);
}

void LinkManager::deliverFleet(Instant now)
{
    for (auto& [id, endpointState] : this->state.endpoints.all())
        if (endpointState.link == LinkState::Up && endpointState.report)
            this->deliverFleetTo(id, endpointState, now);
}

void LinkManager::deliverFleetTo(const EndpointId& endpoint, EndpointState& endpointState, Instant now)
{
    const bool inTransit = now - endpointState.deliveredAt < this->state.limits.fleetResendInterval;
    const ReleaseVersion reported = endpointState.report->release;
    const ReleaseVersion known = inTransit ? std::max(reported, endpointState.deliveredVersion) : reported;
    if (known >= this->state.fleet.version)
        return;
    const std::vector<NoteDelivery> notes = this->state.notes.notesAfter(known);
    if (notes.empty())
        this->state.sendToAgent(endpoint, FleetCopy { this->state.fleet });
    for (const NoteDelivery& note : notes)
        this->state.sendToAgent(endpoint, note);
    endpointState.deliveredVersion = this->state.fleet.version;
    endpointState.deliveredAt = now;
}

void LinkManager::requestFleet(const EndpointId& endpoint, ReleaseVersion version, Instant now)
{
    // An entry that has a configuration requests none: agents answer its heartbeat with the notes that it lacks.
    const bool hasConfiguration = this->state.fleet.version != ReleaseVersion();
    const bool requested = version <= this->state.requestedFleetVersion
        && now - this->state.fleetRequestedAt < this->state.limits.fleetResendInterval;
    if (hasConfiguration || requested || version == ReleaseVersion())
        return;
    this->state.requestedFleetVersion = version;
    this->state.fleetRequestedAt = now;
    this->state.sendToAgent(endpoint, FleetRequest {});
}

void LinkManager::maintain(Instant now)
{
    std::vector<EndpointId> unused;
    for (auto& [id, endpointState] : this->state.endpoints.all()) {
        this->maintainLink(id, endpointState, now);
        if (!endpointState.inFleet && endpointState.link == LinkState::Closed
            && !this->state.requests.hasRequestsAt(id))
            unused.push_back(id);
    }
    for (const EndpointId& id : unused)
        this->state.endpoints.all().erase(id);
    this->sendHeartbeat(now);
}

void LinkManager::recoverFromPause(Instant now)
{
    this->state.log("pause_detected", { { "entry", this->state.self.get() } });
    for (auto& [id, endpointState] : this->state.endpoints.all()) {
        this->state.endpoints.resetConnectionState(id);
        endpointState.contactLostAt.reset();
        if (endpointState.link != LinkState::Closed)
            this->open(id, endpointState, now);
    }
}

void LinkManager::maintainLink(const EndpointId& endpoint, EndpointState& endpointState, Instant now)
{
    if (!this->isLinkNeeded(endpoint, endpointState)) {
        this->close(endpoint, endpointState);
        return;
    }
    if (this->isReconnectDue(endpointState, now))
        this->open(endpoint, endpointState, now);
    if (endpointState.contactLostAt && now - *endpointState.contactLostAt >= this->state.limits.lossTimeout)
        this->handleLostAttempts(endpoint, endpointState.closedByPeer, now);
}

bool LinkManager::isReconnectDue(const EndpointState& endpointState, Instant now) const
{
    if (endpointState.link == LinkState::Up)
        return now - endpointState.lastContactAt.value_or(now) > this->state.limits.silenceLimit;
    return now - endpointState.reconnectTimerStart >= this->state.limits.connectTimeout;
}

void LinkManager::open(const EndpointId& endpoint, EndpointState& endpointState, Instant now)
{
    const bool replaced = endpointState.link == LinkState::Up;
    endpointState.link = LinkState::Opening;
    endpointState.reconnectTimerStart = now;
    if (!endpointState.contactLostAt)
        endpointState.contactLostAt = now;
    this->state.endpoints.resetConnectionState(endpoint);
    this->state.actions.emplace_back(OpenLink { endpoint, endpointState.endpoint.agent });
    if (!replaced)
        return;
    this->handleLostCalls(endpoint, now);
    this->state.log("link_replaced", { { "endpoint", endpoint.get() } });
}

void LinkManager::close(const EndpointId& endpoint, EndpointState& endpointState)
{
    if (endpointState.link == LinkState::Closed)
        return;
    endpointState.link = LinkState::Closed;
    this->state.endpoints.resetConnectionState(endpoint);
    this->state.actions.emplace_back(CloseLink { endpoint });
}

bool LinkManager::isLinkNeeded(const EndpointId& endpoint, const EndpointState& endpointState) const
{
    return (endpointState.inSubset && endpointState.inFleet) || this->state.requests.hasRequestsAt(endpoint);
}

void LinkManager::handleLostCalls(const EndpointId& endpoint, Instant now)
{
    for (const RequestId id : this->state.requests.requestsAt(endpoint)) {
        LiveRequest& request = *this->state.requests.find(id);
        if (std::holds_alternative<ServiceCallRequest>(request.origin))
            this->handleLostAttempt(request, now);
    }
}

void LinkManager::handleLostAttempts(const EndpointId& endpoint, bool died, Instant now)
{
    std::vector<RequestId> lost = this->state.requests.requestsAt(endpoint);
    if (died) {
        for (const RequestId id : lost) {
            const LiveRequest& request = *this->state.requests.find(id);
            if (request.started && request.fingerprint != Fingerprint())
                this->state.quarantine.recordDeath(request.fingerprint, endpoint, now);
        }
        if (!lost.empty())
            this->state.sendToAllAgents(this->state.quarantine.delivery(now));
    }
    for (const RequestId id : lost)
        this->handleLostAttempt(*this->state.requests.find(id), now);
}

void LinkManager::handleLostAttempt(LiveRequest& request, Instant now)
{
    const bool call = std::holds_alternative<ServiceCallRequest>(request.origin);
    const EndpointState* endpointState = std::as_const(this->state.endpoints).find(request.endpoint);
    const bool reachable = endpointState && endpointState->link == LinkState::Up;
    if (!reachable && !call)
        this->pendingCancellations[request.endpoint].push_back(request.generation);
    const Executed run = request.started ? Executed::Yes : Executed::Unknown;
    this->dispatcher.attemptLost(request, { ErrorCode::EndpointLost, "contact with the endpoint was lost", run }, now);
}

void LinkManager::sendHeartbeat(Instant now)
{
    if (this->lastHeartbeatAt && now - *this->lastHeartbeatAt < this->state.limits.heartbeatPeriod)
        return;
    this->lastHeartbeatAt = now;
    this->state.sendToAllAgents(EntryHeartbeat { this->state.fleet.version, this->state.orders.digest() });
}

}
