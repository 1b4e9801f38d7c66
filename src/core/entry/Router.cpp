#include "core/entry/Router.h"

#include "core/common/Check.h"
#include "core/common/HandlerTable.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

/** The router's tables of member pointers. */
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
    , flow(*this->state, this->dispatcher)
    , links(*this->state, this->dispatcher, this->flow)
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

void Router::onCompletion(const CompletionRequest& event, Instant now) { this->admission.complete(event, now); }

void Router::onStreamResume(const StreamResumeRequest& event, Instant now)
{
    this->admission.resume(event, now);
    this->links.maintain(now);
}

void Router::onServiceCall(const ServiceCallRequest& event, Instant now) { this->admission.call(event, now); }

void Router::onCallerGone(const CallerDisconnected& event, Instant now) { this->flow.callerGone(event, now); }

void Router::onCallerConsumed(const CallerConsumed& event, Instant) { this->flow.consumed(event); }

void Router::onLinkUp(const LinkUp& event, Instant now) { this->links.linkUp(event.endpoint, now); }

void Router::onLinkDown(const LinkDown& event, Instant now) { this->links.linkDown(event.endpoint, now); }

void Router::onAgent(const FromAgent& event, Instant now)
{
    this->links.heard(event.endpoint, now);
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
        this->state->toAllAgents(OrdersDelivery { this->state->orders.all() });
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
    SuspectsListed told { event.admin, {} };
    for (const auto& suspect : this->state->quarantine.delivery(now).suspects) {
        const bool refused = suspect.deaths >= this->state->limits.deathLimit;
        told.suspects.push_back({ suspect.fingerprint, suspect.deaths, suspect.remaining, refused });
    }
    this->state->actions.emplace_back(std::move(told));
}

void Router::onReleaseSuspect(const ReleaseSuspect& event, Instant)
{
    const bool known = this->state->quarantine.clear(event.fingerprint);
    if (known)
        this->state->toAllAgents(QuarantineDelivery { { { event.fingerprint, 0, Milliseconds(0) } } });
    this->state->actions.emplace_back(SuspectReleased { event.admin, event.auditRecord, known });
}

void Router::onStop(const RouterStopRequested&, Instant) { this->state->stopping = true; }

void Router::onTick(const RouterTick&, Instant now)
{
    this->endOverdue(now);
    this->links.maintain(now);
    this->dispatcher.tryWaiting(now);
    this->state->quarantine.expire(now);
    this->state->tails.expire(now);
}

void Router::agentHello(const AgentHello& message, const EndpointId& endpoint, Instant now)
{
    this->links.hello(endpoint, message, now);
}

void Router::agentReport(const LoadReport& message, const EndpointId& endpoint, Instant now)
{
    this->links.reported(endpoint, message, now);
    if (!message.leaving)
        this->dispatcher.takesWorkAgain(endpoint);
}

void Router::agentAccepted(const GenerationAccepted& message, const EndpointId& endpoint, Instant)
{
    this->flow.accepted(endpoint, message);
}

void Router::agentRefused(const GenerationRefused& message, const EndpointId& endpoint, Instant now)
{
    this->flow.refused(endpoint, message, now);
}

void Router::agentStarted(const GenerationStarted& message, const EndpointId& endpoint, Instant)
{
    this->flow.started(endpoint, message);
}

void Router::agentTokens(const GenerationTokens& message, const EndpointId& endpoint, Instant now)
{
    this->flow.tokens(endpoint, message, now);
}

void Router::agentFinished(const GenerationFinished& message, const EndpointId& endpoint, Instant now)
{
    this->flow.finished(endpoint, message, now);
}

void Router::agentFailed(const GenerationFailed& message, const EndpointId& endpoint, Instant now)
{
    this->flow.failed(endpoint, message, now);
}

void Router::agentUnknown(const GenerationUnknown& message, const EndpointId& endpoint, Instant now)
{
    this->flow.unknown(endpoint, message, now);
}

void Router::agentAnswered(const CallAnswered& message, const EndpointId& endpoint, Instant now)
{
    this->flow.answered(endpoint, message, now);
}

void Router::agentCallFailed(const CallFailed& message, const EndpointId& endpoint, Instant now)
{
    this->flow.callFailed(endpoint, message, now);
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
    const auto matters
        = [&](const auto& suspect) { return suspect.deaths == 0 || suspect.deaths >= this->state->limits.deathLimit; };
    if (changed && std::ranges::any_of(message.suspects, matters))
        this->state->toAllAgents(message);
}

void Router::detectPause(Instant now)
{
    const Instant last = this->lastEventAt.value_or(now);
    this->lastEventAt = now;
    if (now - last > this->state->limits.pauseGap)
        this->links.recoverFromPause(now);
}

void Router::endOverdue(Instant now)
{
    for (const RequestId id : this->state->requests.overdue(now)) {
        LiveRequest& request = *this->state->requests.find(id);
        this->dispatcher.cancelAttempt(request);
        const bool attempted = request.generation != GenerationId();
        const Executed run = request.started ? Executed::Yes : (attempted ? Executed::Unknown : Executed::No);
        this->dispatcher.fail(request, { ErrorCode::DeadlineExceeded, "the deadline passed", run }, now);
    }
}

void Router::reportDrained()
{
    const bool idle = this->state->requests.empty() && this->state->tails.empty();
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
