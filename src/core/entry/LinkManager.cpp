#include "core/entry/LinkManager.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

void LinkManager::linkUp(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    view->link = LinkState::Up;
    view->lastContactAt = now;
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

void LinkManager::linkDown(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    view->closedByPeer = view->closedByPeer || view->link == LinkState::Up;
    view->link = LinkState::Closed;
    view->reconnectTimerStart = now;
    if (!view->contactLostAt)
        view->contactLostAt = now;
    this->state.endpoints.resetConnectionState(endpoint);
    this->markCallsLost(endpoint, now);
    this->state.log("link_down", { { "endpoint", endpoint.get() } });
}

void LinkManager::recordContact(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view || view->link != LinkState::Up)
        return;
    view->lastContactAt = now;
    view->contactLostAt.reset();
    view->closedByPeer = false;
}

void LinkManager::hello(const EndpointId& endpoint, const AgentHello& message, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    const bool restarted = view->incarnation != Incarnation() && view->incarnation != message.incarnation;
    view->incarnation = message.incarnation;
    if (!restarted)
        return;
    view->pendingSubmissions = 0;
    this->state.log("agent_restarted", { { "endpoint", endpoint.get() } });
    this->markAttemptsLost(endpoint, true, now);
}

void LinkManager::reported(const EndpointId& endpoint, const LoadReport& report, Instant now)
{
    this->state.actions.emplace_back(ToControl { endpoint, report });
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view || view->link != LinkState::Up)
        return;
    this->state.endpoints.reported(endpoint, report);
    if (report.ordersDigest != this->state.orders.digest())
        this->state.sendToAgent(endpoint, OrdersDelivery { this->state.orders.all() });
    this->deliverFleetTo(endpoint, *view, now);
    this->requestFleet(endpoint, report.release, now);
}

void LinkManager::deliverFleet(Instant now)
{
    for (auto& [id, view] : this->state.endpoints.all())
        if (view.link == LinkState::Up && view.report)
            this->deliverFleetTo(id, view, now);
}

void LinkManager::deliverFleetTo(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    const bool inTransit = now - view.deliveredAt < this->state.limits.fleetResendInterval;
    const ReleaseVersion reported = view.report->release;
    const ReleaseVersion known = inTransit ? std::max(reported, view.deliveredVersion) : reported;
    if (known >= this->state.fleet.version)
        return;
    const std::vector<NoteDelivery> notes = this->state.notes.notesAfter(known);
    if (notes.empty())
        this->state.sendToAgent(endpoint, FleetCopy { this->state.fleet });
    for (const NoteDelivery& note : notes)
        this->state.sendToAgent(endpoint, note);
    view.deliveredVersion = this->state.fleet.version;
    view.deliveredAt = now;
}

void LinkManager::requestFleet(const EndpointId& endpoint, ReleaseVersion version, Instant now)
{
    // An agent answers the heartbeat of an entry that has a configuration with the notes the entry lacks.
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
    for (auto& [id, view] : this->state.endpoints.all()) {
        this->maintainLink(id, view, now);
        if (!view.inFleet && view.link == LinkState::Closed && !this->state.requests.hasRequestsAt(id))
            unused.push_back(id);
    }
    for (const EndpointId& id : unused)
        this->state.endpoints.all().erase(id);
    this->sendHeartbeat(now);
}

void LinkManager::recoverFromPause(Instant now)
{
    this->state.log("pause_detected", { { "entry", this->state.self.get() } });
    for (auto& [id, view] : this->state.endpoints.all()) {
        this->state.endpoints.resetConnectionState(id);
        view.contactLostAt.reset();
        if (view.link != LinkState::Closed)
            this->open(id, view, now);
    }
}

void LinkManager::maintainLink(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    if (!this->isLinkNeeded(endpoint, view)) {
        this->close(endpoint, view);
        return;
    }
    if (this->isReconnectDue(view, now))
        this->open(endpoint, view, now);
    if (view.contactLostAt && now - *view.contactLostAt >= this->state.limits.lossTimeout)
        this->markAttemptsLost(endpoint, view.closedByPeer, now);
}

bool LinkManager::isReconnectDue(const EndpointState& view, Instant now) const
{
    if (view.link == LinkState::Up)
        return now - view.lastContactAt.value_or(now) > this->state.limits.silenceLimit;
    return now - view.reconnectTimerStart >= this->state.limits.connectTimeout;
}

void LinkManager::open(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    const bool replaced = view.link == LinkState::Up;
    view.link = LinkState::Opening;
    view.reconnectTimerStart = now;
    if (!view.contactLostAt)
        view.contactLostAt = now;
    this->state.endpoints.resetConnectionState(endpoint);
    this->state.actions.emplace_back(OpenLink { endpoint, view.endpoint.agent });
    if (!replaced)
        return;
    this->markCallsLost(endpoint, now);
    this->state.log("link_replaced", { { "endpoint", endpoint.get() } });
}

void LinkManager::close(const EndpointId& endpoint, EndpointState& view)
{
    if (view.link == LinkState::Closed)
        return;
    view.link = LinkState::Closed;
    this->state.endpoints.resetConnectionState(endpoint);
    this->state.actions.emplace_back(CloseLink { endpoint });
}

bool LinkManager::isLinkNeeded(const EndpointId& endpoint, const EndpointState& view) const
{
    return (view.inSubset && view.inFleet) || this->state.requests.hasRequestsAt(endpoint);
}

void LinkManager::markCallsLost(const EndpointId& endpoint, Instant now)
{
    for (const RequestId id : this->state.requests.requestsAt(endpoint)) {
        LiveRequest& request = *this->state.requests.find(id);
        if (std::holds_alternative<ServiceCallRequest>(request.origin))
            this->markLost(request, now);
    }
}

void LinkManager::markAttemptsLost(const EndpointId& endpoint, bool died, Instant now)
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
        this->markLost(*this->state.requests.find(id), now);
}

void LinkManager::markLost(LiveRequest& request, Instant now)
{
    const bool call = std::holds_alternative<ServiceCallRequest>(request.origin);
    const EndpointState* view = std::as_const(this->state.endpoints).find(request.endpoint);
    const bool reachable = view && view->link == LinkState::Up;
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
