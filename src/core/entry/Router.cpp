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
        &Router::onCallerGone,
        &Router::onCallerConsumed,
        &Router::onLinkUp,
        &Router::onLinkDown,
        &Router::onAgent,
        &Router::onFleet,
        &Router::onOrders,
        &Router::onInstances,
        &Router::onQuerySuspects,
        &Router::onReleaseSuspect,
        &Router::onStop,
        &Router::onTick,
    };

    static constexpr HandlerTable<Router, void, AgentMessage, const EndpointId&, Instant> agent {
        &Router::agentHello,
        &Router::agentReport,
        &Router::agentAccepted,
        &Router::agentRefused,
        &Router::agentStarted,
        &Router::agentTokens,
        &Router::agentFinished,
        &Router::agentFailed,
        &Router::agentUnknown,
        &Router::agentAnswered,
        &Router::agentCallFailed,
        &Router::agentFleet,
        &Router::agentNote,
        &Router::agentOrders,
        &Router::agentSuspects,
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

void Router::onCallerGone(const CallerDisconnected& event, Instant now) { this->forwarder.callerGone(event, now); }

void Router::onCallerConsumed(const CallerConsumed& event, Instant) { this->forwarder.consumed(event); }

void Router::onLinkUp(const LinkUp& event, Instant now) { this->links.linkUp(event.endpoint, now); }

void Router::onLinkDown(const LinkDown& event, Instant now) { this->links.linkDown(event.endpoint, now); }

void Router::onAgent(const FromAgent& event, Instant now)
{
    this->links.recordContact(event.endpoint, now);
    RouterHandlers::agent.dispatch(*this, event.message, event.endpoint, now);
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
    for (auto& [id, view] : this->state->endpoints.all())
        view.listedLeaving = false;
    for (const InstanceState& instance : event.list.instances)
        if (EndpointState* view = this->state->endpoints.find(EndpointId(instance.name)))
            view->listedLeaving = instance.leaving;
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

void Router::agentHello(const AgentHello& message, const EndpointId& endpoint, Instant now)
{
    this->links.hello(endpoint, message, now);
}

void Router::agentReport(const LoadReport& message, const EndpointId& endpoint, Instant now)
{
    this->links.reported(endpoint, message, now);
    if (!message.leaving)
        this->dispatcher.clearExclusion(endpoint);
}

void Router::agentAccepted(const GenerationAccepted& message, const EndpointId& endpoint, Instant)
{
    this->forwarder.accepted(endpoint, message);
}

void Router::agentRefused(const GenerationRefused& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.refused(endpoint, message, now);
}

void Router::agentStarted(const GenerationStarted& message, const EndpointId& endpoint, Instant)
{
    this->forwarder.started(endpoint, message);
}

void Router::agentTokens(const GenerationTokens& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.tokens(endpoint, message, now);
}

void Router::agentFinished(const GenerationFinished& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.finished(endpoint, message, now);
}

void Router::agentFailed(const GenerationFailed& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.failed(endpoint, message, now);
}

void Router::agentUnknown(const GenerationUnknown& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.unknown(endpoint, message, now);
}

void Router::agentAnswered(const CallAnswered& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.answered(endpoint, message, now);
}

void Router::agentCallFailed(const CallFailed& message, const EndpointId& endpoint, Instant now)
{
    this->forwarder.callFailed(endpoint, message, now);
}

void Router::agentFleet(const FleetCopy& message, const EndpointId& endpoint, Instant)
{
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::agentNote(const NoteDelivery& message, const EndpointId& endpoint, Instant)
{
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::agentOrders(const OrdersDelivery& message, const EndpointId& endpoint, Instant now)
{
    this->onOrders(OrdersChanged { message.orders }, now);
    this->state->actions.emplace_back(ToControl { endpoint, message });
}

void Router::agentSuspects(const QuarantineDelivery& message, const EndpointId& endpoint, Instant now)
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
    internalCheck(this->randomness != nullptr, "RouterBuilder needs a source of randomness");
    auto state = std::make_unique<RouterState>(this->self, this->zone, *this->randomness, this->limits);
    state->endpoints.seed(this->seeds);
    return std::make_unique<Router>(std::move(state));
}

}
