#include "core/entry/Router.h"

#include "core/common/Check.h"
#include "core/common/HandlerTable.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

/** Tables of the member functions that handle each event and each agent message, in the order of the variants. */
struct RouterHandlers {
    static constexpr HandlerTable<Router, void, RouterEvent, Instant> events {
        &Router::onCompletion,
        &Router::onStreamResume,
        &Router::onServiceCall,
        &Router::onCallerDisconnected,
        &Router::onCallerConsumed,
        &Router::onLinkUp,
        &Router::onLinkDown,
        &Router::onAgentMessage,
        &Router::onFleet,
        &Router::onOrders,
        &Router::onInstances,
        &Router::onQuerySuspects,
        &Router::onReleaseSuspect,
        &Router::onStop,
        &Router::onTick,
    };

    static constexpr HandlerTable<Router, void, AgentMessage, const EndpointId&, Instant> agentMessages {
        &Router::onAgentHello,
        &Router::onAgentReport,
        &Router::onAgentAccepted,
        &Router::onAgentRefused,
        &Router::onAgentStarted,
        &Router::onAgentTokens,
        &Router::onAgentFinished,
        &Router::onAgentFailed,
        &Router::onAgentUnknown,
        &Router::onAgentAnswered,
        &Router::onAgentCallFailed,
        &Router::onAgentFleet,
        &Router::onAgentNote,
        &Router::onAgentOrders,
        &Router::onAgentSuspects,
    };
};

Router::Router(std::unique_ptr<RouterState> initial)
    : state(std::move(initial))
    , dispatcher(*this->state)
    , forwarder(*this->state, this->dispatcher)
    , links(*this->state, this->dispatcher, this->forwarder)
    , admission(*this->state, this->dispatcher)
{
}

std::vector<RouterAction> Router::handle(const RouterEvent& event, Instant now)
{
    this->state->actions.clear();
    this->detectPause(now);
    RouterHandlers::events.dispatch(*this, event, now);
    this->reportDrained();
    return std::exchange(this->state->actions, {});
}

bool Router::ready() const { return !this->state->stopping && this->state->fleet.version != ReleaseVersion(); }

std::size_t Router::inProgress() const { return this->state->requests.size(); }

void Router::onCompletion(const CompletionRequest& event, Instant now) { this->admission.admitCompletion(event, now); }

void Router::onStreamResume(const StreamResumeRequest& event, Instant now)
{
    this->admission.admitResume(event, now);
    this->links.maintain(now);
}

void Router::onServiceCall(const ServiceCallRequest& event, Instant now) { this->admission.admitCall(event, now); }

void Router::onCallerDisconnected(const CallerDisconnected& event, Instant now)
{
    this->forwarder.onCallerDisconnected(event, now);
}

void Router::onCallerConsumed(const CallerConsumed& event, Instant) { this->forwarder.onCallerConsumed(event); }

void Router::onLinkUp(const LinkUp& event, Instant now) { this->links.onLinkUp(event.endpoint, now); }

void Router::onLinkDown(const LinkDown& event, Instant now) { this->links.onLinkDown(event.endpoint, now); }

void Router::onAgentMessage(const FromAgent& event, Instant now)
{
    this->links.recordContact(event.endpoint, now);
    RouterHandlers::agentMessages.dispatch(*this, event.message, event.endpoint, now);
}

void Router::onFleet(const FleetChanged& event, Instant now)
{
    if (event.fleet.version <= this->state->fleet.version)
        return;
    if (event.note)
        this->state->notes.add(*event.note);
    else
        this->state->notes.clear();
    this->state->fleet = event.fleet;
    this->state->endpoints.update(this->state->fleet, this->state->self, this->state->limits.linksPerService);
    this->links.deliverFleet(now);
    this->links.maintain(now);
}

void Router::onOrders(const OrdersChanged& event, Instant)
{
    bool changed = false;
    for (const ServiceOrder& order : event.orders)
        changed = this->state->orders.merge(order) || changed;
    if (changed)
        this->state->sendToAllAgents(OrdersDelivery { this->state->orders.all() });
}

void Router::onInstances(const InstancesListed& event, Instant)
{
    for (auto& [id, endpointState] : this->state->endpoints.all())
        endpointState.listedLeaving = false;
    for (const InstanceState& instance : event.list.instances)
        if (EndpointState* endpointState = this->state->endpoints.find(EndpointId(instance.name)))
            endpointState->listedLeaving = instance.leaving;
}

void Router::onQuerySuspects(const QuerySuspects& event, Instant now)
{
    SuspectsListed answer { event.admin, {} };
    for (const auto& suspect : this->state->quarantine.delivery(now).suspects) {
        const bool refused = suspect.deaths >= this->state->limits.deathLimit;
        answer.suspects.push_back({ suspect.fingerprint, suspect.deaths, suspect.remaining, refused });
    }
    this->state->actions.emplace_back(std::move(answer));
}

void Router::onReleaseSuspect(const ReleaseSuspect& event, Instant)
{
    const bool known = this->state->quarantine.clear(event.fingerprint);
    if (known)
        this->state->sendToAllAgents(QuarantineDelivery { { { event.fingerprint, 0, Milliseconds(0) } } });
    this->state->actions.emplace_back(SuspectReleased { event.admin, event.auditRecord, known });
}

void Router::onStop(const RouterStopRequested&, Instant) { this->state->stopping = true; }

void Router::onTick(const RouterTick&, Instant now)
{
    this->failPastDeadline(now);
    this->links.maintain(now);
    this->dispatcher.dispatchWaiting(now);
    this->state->quarantine.expire(now);
    this->state->unacknowledged.expire(now);
}

void Router::onAgentHello(const AgentHello& message, const EndpointId& endpoint, Instant now)
{
    this->links.onHello(endpoint, message, now);
}

void Router::onAgentReport(const LoadReport& message, const EndpointId& endpoint, Instant now)
{
    this->links.onLoadReport(endpoint, message, now);
    if (!message.leaving)
        this->dispatcher.clearExclusion(endpoint);
}

void Router::onAgentAccepted(const GenerationAccepted& message, const EndpointId& endpoint, Instant)
{
    this->forwarder.onAccepted(endpoint, message);
}

void Router::onAgentRefused(const GenerationRefused& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onRefused(endpoint, message, now);
}

void Router::onAgentStarted(const GenerationStarted& message, const EndpointId& endpoint, Instant)
{
    this->forwarder.onStarted(endpoint, message);
}

void Router::onAgentTokens(const GenerationTokens& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onTokens(endpoint, message, now);
}

void Router::onAgentFinished(const GenerationFinished& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onFinished(endpoint, message, now);
}

void Router::onAgentFailed(const GenerationFailed& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onFailed(endpoint, message, now);
}

void Router::onAgentUnknown(const GenerationUnknown& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onUnknown(endpoint, message, now);
}

void Router::onAgentAnswered(const CallAnswered& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onCallAnswered(endpoint, message, now);
}

void Router::onAgentCallFailed(const CallFailed& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.onCallFailed(endpoint, message, now);
}

void Router::onAgentFleet(const FleetCopy& message, const EndpointId& endpoint, Instant)
{
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::onAgentNote(const NoteDelivery& message, const EndpointId& endpoint, Instant)
{
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::onAgentOrders(const OrdersDelivery& message, const EndpointId& endpoint, Instant now)
{
    this->onOrders(OrdersChanged { message.orders }, now);
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::onAgentSuspects(const QuarantineDelivery& message, const EndpointId& endpoint, Instant now)
{
    const bool changed = this->state->quarantine.merge(endpoint, message, now);
    const auto changesAdmission
        = [&](const auto& suspect) { return suspect.deaths == 0 || suspect.deaths >= this->state->limits.deathLimit; };
    if (changed && std::ranges::any_of(message.suspects, changesAdmission))
        this->state->sendToAllAgents(message);
}

void Router::detectPause(Instant now)
{
    const Instant last = this->lastEventAt.value_or(now);
    this->lastEventAt = now;
    if (now - last > this->state->limits.pauseGap)
        this->links.recoverFromPause(now);
}

void Router::failPastDeadline(Instant now)
{
    for (const RequestId id : this->state->requests.pastDeadline(now)) {
        LiveRequest& request = *this->state->requests.find(id);
        this->dispatcher.cancelAttempt(request);
        const bool attempted = request.generation != GenerationId();
        const Executed run = request.started ? Executed::Yes : (attempted ? Executed::Unknown : Executed::No);
        this->dispatcher.fail(request, { ErrorCode::DeadlineExceeded, "the deadline passed", run }, now);
    }
}

void Router::reportDrained()
{
    const bool idle = this->state->requests.empty() && this->state->unacknowledged.empty();
    if (!this->state->stopping || this->drainedReported || !idle)
        return;
    this->drainedReported = true;
    this->state->actions.emplace_back(RouterDrained {});
}

RouterBuilder& RouterBuilder::withSelf(EntryId id)
{
    this->self = std::move(id);
    return *this;
}

RouterBuilder& RouterBuilder::withZone(ZoneId id)
{
    this->zone = std::move(id);
    return *this;
}

RouterBuilder& RouterBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

RouterBuilder& RouterBuilder::withLimits(RouterLimits values)
{
    this->limits = values;
    return *this;
}

RouterBuilder& RouterBuilder::withSeedAgents(std::vector<SeedAgent> agents)
{
    this->seeds = std::move(agents);
    return *this;
}

std::unique_ptr<Router> RouterBuilder::build()
{
    internalCheck(this->randomness != nullptr, "a router has a source of randomness");
    auto state = std::make_unique<RouterState>(this->self, this->zone, *this->randomness, this->limits);
    state->endpoints.seed(this->seeds);
    return std::make_unique<Router>(std::move(state));
}

}
