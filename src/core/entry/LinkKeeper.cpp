#include "core/entry/LinkKeeper.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

void LinkKeeper::linkUp(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    view->link = LinkState::Up;
    view->lastHeard = now;
    this->state.endpoints.forgetReport(endpoint);
    for (const GenerationId generation : std::exchange(this->abandoned[endpoint], {}))
        this->state.toAgent(endpoint, CancelGeneration { generation });
    this->abandoned.erase(endpoint);
    for (const RequestId id : this->state.requests.at(endpoint))
        this->flow.resume(*this->state.requests.find(id));
    const QuarantineDelivery suspects = this->state.quarantine.delivery(now);
    if (!suspects.suspects.empty())
        this->state.toAgent(endpoint, suspects);
}

void LinkKeeper::linkDown(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    view->wentDown = view->wentDown || view->link == LinkState::Up;
    view->link = LinkState::Closed;
    view->openedAt = now;
    if (!view->contactLostAt)
        view->contactLostAt = now;
    this->state.endpoints.forgetReport(endpoint);
    this->loseCalls(endpoint, now);
    this->state.log("link_down", { { "endpoint", endpoint.get() } });
}

void LinkKeeper::heard(const EndpointId& endpoint, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view || view->link != LinkState::Up)
        return;
    view->lastHeard = now;
    view->contactLostAt.reset();
    view->wentDown = false;
}

void LinkKeeper::hello(const EndpointId& endpoint, const AgentHello& message, Instant now)
{
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view)
        return;
    const bool restarted = view->incarnation != Incarnation() && view->incarnation != message.incarnation;
    view->incarnation = message.incarnation;
    if (!restarted)
        return;
    view->unconfirmed = 0;
    this->state.log("agent_restarted", { { "endpoint", endpoint.get() } });
    this->loseAll(endpoint, true, now);
}

void LinkKeeper::reported(const EndpointId& endpoint, const LoadReport& report, Instant now)
{
    this->state.actions.emplace_back(ToControl { endpoint, report });
    EndpointState* view = this->state.endpoints.find(endpoint);
    if (!view || view->link != LinkState::Up)
        return;
    this->state.endpoints.reported(endpoint, report);
    if (report.ordersDigest != this->state.orders.digest())
        this->state.toAgent(endpoint, OrdersDelivery { this->state.orders.all() });
    this->bringUp(endpoint, *view, now);
    this->askForFleet(endpoint, report.release, now);
}

void LinkKeeper::deliverFleet(Instant now)
{
    for (auto& [id, view] : this->state.endpoints.all())
        if (view.link == LinkState::Up && view.report)
            this->bringUp(id, view, now);
}

void LinkKeeper::bringUp(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    const bool onItsWay = now - view.deliveredAt < this->state.limits.deliveryWait;
    const ReleaseVersion reported = view.report->release;
    const ReleaseVersion known = onItsWay ? std::max(reported, view.delivered) : reported;
    if (known >= this->state.fleet.version)
        return;
    const std::vector<NoteDelivery> notes = this->state.notes.after(known);
    if (notes.empty())
        this->state.toAgent(endpoint, FleetCopy { this->state.fleet });
    for (const NoteDelivery& note : notes)
        this->state.toAgent(endpoint, note);
    view.delivered = this->state.fleet.version;
    view.deliveredAt = now;
}

void LinkKeeper::askForFleet(const EndpointId& endpoint, ReleaseVersion version, Instant now)
{
    // An entry that knows a configuration is told the notes it lacks in answer to its heartbeat.
    const bool knowsOne = this->state.fleet.version != ReleaseVersion();
    const bool asked
        = version <= this->state.requestedVersion && now - this->state.requestedAt < this->state.limits.deliveryWait;
    if (knowsOne || asked || version == ReleaseVersion())
        return;
    this->state.requestedVersion = version;
    this->state.requestedAt = now;
    this->state.toAgent(endpoint, FleetRequest {});
}

void LinkKeeper::maintain(Instant now)
{
    std::vector<EndpointId> gone;
    for (auto& [id, view] : this->state.endpoints.all()) {
        this->maintainOne(id, view, now);
        if (!view.inFleet && view.link == LinkState::Closed && !this->state.requests.anyAt(id))
            gone.push_back(id);
    }
    for (const EndpointId& id : gone)
        this->state.endpoints.all().erase(id);
    this->heartbeat(now);
}

void LinkKeeper::recoverFromPause(Instant now)
{
    this->state.log("pause_detected", { { "entry", this->state.self.get() } });
    for (auto& [id, view] : this->state.endpoints.all()) {
        this->state.endpoints.forgetReport(id);
        view.contactLostAt.reset();
        if (view.link != LinkState::Closed)
            this->open(id, view, now);
    }
}

void LinkKeeper::maintainOne(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    if (!this->isWanted(endpoint, view)) {
        this->close(endpoint, view);
        return;
    }
    if (this->isOverdue(view, now))
        this->open(endpoint, view, now);
    if (view.contactLostAt && now - *view.contactLostAt >= this->state.limits.lossTimeout)
        this->loseAll(endpoint, view.wentDown, now);
}

bool LinkKeeper::isOverdue(const EndpointState& view, Instant now) const
{
    if (view.link == LinkState::Up)
        return now - view.lastHeard.value_or(now) > this->state.limits.silenceLimit;
    return now - view.openedAt >= this->state.limits.connectTimeout;
}

void LinkKeeper::open(const EndpointId& endpoint, EndpointState& view, Instant now)
{
    const bool replaced = view.link == LinkState::Up;
    view.link = LinkState::Opening;
    view.openedAt = now;
    if (!view.contactLostAt)
        view.contactLostAt = now;
    this->state.endpoints.forgetReport(endpoint);
    this->state.actions.emplace_back(OpenLink { endpoint, view.endpoint.agent });
    if (!replaced)
        return;
    this->loseCalls(endpoint, now);
    this->state.log("link_replaced", { { "endpoint", endpoint.get() } });
}

void LinkKeeper::close(const EndpointId& endpoint, EndpointState& view)
{
    if (view.link == LinkState::Closed)
        return;
    view.link = LinkState::Closed;
    this->state.endpoints.forgetReport(endpoint);
    this->state.actions.emplace_back(CloseLink { endpoint });
}

bool LinkKeeper::isWanted(const EndpointId& endpoint, const EndpointState& view) const
{
    return (view.chosen && view.inFleet) || this->state.requests.anyAt(endpoint);
}

void LinkKeeper::loseCalls(const EndpointId& endpoint, Instant now)
{
    for (const RequestId id : this->state.requests.at(endpoint)) {
        LiveRequest& request = *this->state.requests.find(id);
        if (std::holds_alternative<ServiceCallRequest>(request.origin))
            this->loseOne(request, now);
    }
}

void LinkKeeper::loseAll(const EndpointId& endpoint, bool died, Instant now)
{
    std::vector<RequestId> lost = this->state.requests.at(endpoint);
    if (died) {
        for (const RequestId id : lost) {
            const LiveRequest& request = *this->state.requests.find(id);
            if (request.started && request.fingerprint != Fingerprint())
                this->state.quarantine.recordDeath(request.fingerprint, endpoint, now);
        }
        if (!lost.empty())
            this->state.toAllAgents(this->state.quarantine.delivery(now));
    }
    for (const RequestId id : lost)
        this->loseOne(*this->state.requests.find(id), now);
}

void LinkKeeper::loseOne(LiveRequest& request, Instant now)
{
    const bool call = std::holds_alternative<ServiceCallRequest>(request.origin);
    const EndpointState* view = std::as_const(this->state.endpoints).find(request.endpoint);
    const bool reachable = view && view->link == LinkState::Up;
    if (!reachable && !call)
        this->abandoned[request.endpoint].push_back(request.generation);
    const Executed run = request.started ? Executed::Yes : Executed::Unknown;
    this->dispatcher.attemptLost(request, { ErrorCode::EndpointLost, "contact with the endpoint was lost", run }, now);
}

void LinkKeeper::heartbeat(Instant now)
{
    if (this->heartbeatAt && now - *this->heartbeatAt < this->state.limits.heartbeatPeriod)
        return;
    this->heartbeatAt = now;
    this->state.toAllAgents(EntryHeartbeat { this->state.fleet.version, this->state.orders.digest() });
}

}
