#include "core/gateway/Gateway.h"

#include "core/common/HandlerTable.h"
#include "core/gateway/GatewayLog.h"

namespace teaselfold {

namespace {

    /** Time between two events or ticks after which the process must have been suspended. */
    constexpr Milliseconds suspensionThreshold(1000);
    /** Keeps the datagrams within one Ethernet frame. */
    constexpr std::size_t maxSentSuspects = 16;

    RouterLimits sharedLimitsOf(const GatewayLimits& limits)
    {
        RouterLimits shared;
        shared.retryBudgetRatio = limits.retryBudgetRatio;
        shared.retryWindow = limits.retryWindow;
        return shared;
    }

    void logKeptEndpoints(const std::vector<EndpointId>& kept, Duration grace, GatewayActions& actions)
    {
        for (const EndpointId& endpoint : kept)
            actions.emplace_back(LogEvent { "endpoint_kept",
                { { "endpoint", endpoint.get() }, { "grace_ms", Internal::millisecondsText(grace) } } });
    }

}

struct Gateway::Handlers {
    static const HandlerTable<Gateway, void, GatewayEvent, Instant, GatewayActions&>& events()
    {
        static const HandlerTable<Gateway, void, GatewayEvent, Instant, GatewayActions&> table(&Gateway::requestArrived,
            &Gateway::requestAbandoned, &Gateway::responseLost, &Gateway::requestUnreadable, &Gateway::callerShed,
            &Gateway::responseShed, &Gateway::responseReceived, &Gateway::exchangeEnded, &Gateway::eventsRelayed,
            &Gateway::migrationResponseReceived, &Gateway::configurationRead, &Gateway::endpointsListed,
            &Gateway::endpointsChanged, &Gateway::outOfServiceZonesRead, &Gateway::storeRestored,
            &Gateway::storeReadSucceeded, &Gateway::storeReadFailed, &Gateway::membersListed, &Gateway::gossipReceived,
            &Gateway::storeReadingReceived, &Gateway::limitsChanged, &Gateway::stopRequested,
            &Gateway::rolloutOrdersRead, &Gateway::rolloutsRead, &Gateway::rolloutStored, &Gateway::rolloutStoreFailed,
            &Gateway::endpointProbed);
        return table;
    }
};

Gateway::Gateway(const GatewayLimits& limits, const GatewayIdentity& identity, Randomness& randomness)
    : state(limits, sharedLimitsOf(limits), identity, randomness)
    , admission(this->state)
    , migrator(this->state)
    , completion(this->state, this->migrator)
    , crashes(this->state)
    , exchanges(this->state, this->migrator, this->completion)
    , gossip(this->state.limits, identity.instance, Incarnation(randomness.next()))
    , store(identity, this->state.peers, this->state.freshness)
{
}

GatewayActions Gateway::handle(const GatewayEvent& event, Instant now)
{
    GatewayActions actions;
    this->noticeSuspension(now, actions);
    Handlers::events().dispatch(*this, event, now, actions);
    // Other gateways choose engines at the same moment, so a prompt is told before the next tick.
    if (this->state.endpoints.takePromptNews())
        this->tellPrompts(now, actions);
    return actions;
}

GatewayActions Gateway::tick(Instant now)
{
    GatewayActions actions;
    this->noticeSuspension(now, actions);
    this->drainEndpoints(this->state.endpoints.expire(now), now, actions);
    if (const auto zones = this->state.restoration.expireZones(now))
        this->state.endpoints.setZonesOutOfService(*zones);
    if (auto records = this->state.restoration.expireRecords(now); !records.empty())
        this->applyEndpointChanges({ std::move(records), {} }, now, actions);
    this->state.quarantine.expire(now);
    this->state.promptParts.expire(now);
    this->state.returnTurns.expire(now);
    this->state.endpoints.rateLimits().tick(now);
    this->logQuarantinedParts(actions);
    this->migrator.expire(now);
    this->advanceRollouts(now, actions);
    this->exchanges.tick(now, actions);
    this->state.peers.expire(now);
    this->sendGossip(now, actions);
    this->loadSpread.tick(now, actions);
    this->store.tick(now, actions);
    this->advanceStop(now, actions);
    return actions;
}

void Gateway::noticeSuspension(Instant now, GatewayActions& actions)
{
    const Instant lastActive = std::exchange(this->lastActiveAt, now).value_or(now);
    if (now - lastActive < suspensionThreshold)
        return;
    this->state.freshness.recordSuspension(lastActive, now);
    this->state.endpoints.rateLimits().recordSuspension(now);
    this->state.rollouts.recordSuspension(now);
    actions.emplace_back(LogEvent { "suspended", { { "time_ms", Internal::millisecondsText(now - lastActive) } } });
}

void Gateway::advanceStop(Instant now, GatewayActions& actions)
{
    auto& stop = this->state.stop;
    if (!stop || stop->isComplete || now - stop->requestedAt < this->state.limits.drainDelay)
        return;
    const bool limitReached = now - stop->requestedAt >= this->state.limits.stopLimit;
    if (!limitReached && !this->isDrained())
        return;
    this->completion.cutAll(now, actions);
    stop->isComplete = true;
    actions.emplace_back(Internal::stopLogEvent(*stop, now));
}

const GatewayConfiguration* Gateway::configuration() const
{
    return this->state.routes ? this->state.routes->configuration().get() : nullptr;
}

void Gateway::requestArrived(const RequestArrived& event, Instant now, GatewayActions& actions)
{
    auto admitted = this->admission.admit(event.request, now);
    if (auto* failure = std::get_if<Failure>(&admitted)) {
        actions.emplace_back(LogEvent { "denied",
            { { "request", event.request.callerRequestId }, { "code", std::string(errorCodeName(failure->code)) },
                { "reason", failure->message } } });
        actions.emplace_back(Observation {
            Metric::Refusal, TeamId(), PriorityClass::Standard, 1, std::string(errorCodeName(failure->code)) });
        actions.emplace_back(RefuseRequest { event.request.id, std::move(*failure) });
        this->state.countInStop(&PlannedStop::refused);
        return;
    }
    ActiveRequest& active = this->state.requests[event.request.id] = std::move(*std::get_if<ActiveRequest>(&admitted));
    this->state.retryBudgetOf(active.service->name).deposit();
    this->state.endpoints.rateLimits().recordDemand(active.service->name, now);
    active.triesNewVersion = this->state.rolloutTraffic.drawProbe(active.service->name);
    this->exchanges.dispatch(active, now, actions);
}

void Gateway::requestAbandoned(const RequestAbandoned& event, Instant now, GatewayActions& actions)
{
    this->completion.abandon(event.request, event.reason, now, actions);
}

void Gateway::responseLost(const ResponseLost& event, Instant, GatewayActions& actions)
{
    actions.emplace_back(LogEvent { "response_lost",
        { { "request", event.callerRequestId }, { "reason", event.reason },
            { "unsent_bytes", std::to_string(event.unsentBytes) } } });
}

void Gateway::requestUnreadable(const RequestUnreadable& event, Instant, GatewayActions& actions)
{
    actions.emplace_back(LogEvent { "unreadable",
        { { "request", event.callerRequestId }, { "status", std::to_string(event.status) },
            { "reason", event.reason } } });
}

void Gateway::callerShed(const CallerShed& event, Instant, GatewayActions& actions)
{
    actions.emplace_back(LogEvent { "caller_shed",
        { { "reason", event.reason }, { "held_bytes", std::to_string(event.heldBytes) },
            { "unsent_bytes", std::to_string(event.unsentBytes) } } });
    actions.emplace_back(Observation { Metric::CallerShed, {}, PriorityClass::Standard, 1, event.reason });
}

void Gateway::responseShed(const ResponseShed& event, Instant, GatewayActions& actions)
{
    actions.emplace_back(LogEvent {
        "response_shed", { { "endpoint", event.endpoint.get() }, { "held_bytes", std::to_string(event.heldBytes) } } });
    actions.emplace_back(Observation { Metric::ResponseShed, {}, PriorityClass::Standard, 1, {} });
}

void Gateway::responseReceived(const ResponseReceived& event, Instant now, GatewayActions& actions)
{
    this->exchanges.responseReceived(event, now, actions);
}

void Gateway::exchangeEnded(const ExchangeEnded& event, Instant now, GatewayActions& actions)
{
    this->exchanges.exchangeEnded(event, now, actions);
}

void Gateway::eventsRelayed(const EventsRelayed& event, Instant now, GatewayActions& actions)
{
    this->exchanges.eventsRelayed(event, now, actions);
}

void Gateway::migrationResponseReceived(const MigrationResponseReceived& event, Instant now, GatewayActions& actions)
{
    this->exchanges.migrationResponseReceived(event, now, actions);
}

void Gateway::configurationRead(const ConfigurationRead& event, Instant, GatewayActions& actions)
{
    const GatewayConfiguration* current = this->configuration();
    if (current && event.configuration->version <= current->version)
        return;
    const std::string previousVersion = std::to_string(current ? current->version : 0);
    this->state.routes.emplace(event.configuration);
    this->store.contentChanged(StoreSection::Configuration);
    actions.emplace_back(LogEvent { "configuration_in_force",
        { { "version", std::to_string(event.configuration->version) }, { "before", previousVersion },
            { "routes", std::to_string(event.configuration->routes.size()) } } });
}

void Gateway::drainEndpoints(const std::vector<EndpointId>& draining, Instant now, GatewayActions& actions)
{
    for (const EndpointId& endpoint : draining) {
        actions.emplace_back(LogEvent { "endpoint_leaves", { { "endpoint", endpoint.get() } } });
        this->migrator.drainEndpoint(endpoint, now, actions);
    }
}

void Gateway::endpointsListed(const EndpointsListed& event, Instant now, GatewayActions& actions)
{
    auto graceUntil = this->state.freshness.reregistrationGraceEnd(StoreSection::Endpoints, now);
    this->store.contentChanged(StoreSection::Endpoints);
    std::vector<EndpointRecord> records = event.endpoints;
    if (this->state.restoration.isBeingRead(StoreSection::Endpoints)) {
        graceUntil = graceUntil.value_or(now + this->state.limits.reregistrationGrace);
        this->state.restoration.hold(this->state.endpoints.takeUnconfirmed(records), *graceUntil);
    }
    const DirectoryChange change = this->state.endpoints.replaceAll(records, graceUntil, now);
    this->drainEndpoints(change.leaving, now, actions);
    logKeptEndpoints(change.kept, graceUntil.value_or(now) - now, actions);
}

void Gateway::endpointsChanged(const EndpointsChanged& event, Instant now, GatewayActions& actions)
{
    EndpointsChanged differences = this->state.endpoints.differences(event, now);
    // A gateway that is told of this change may hold the record back as well.
    for (const EndpointId& id : event.removed) {
        if (this->state.restoration.holds(id))
            differences.removed.push_back(id);
    }
    this->store.endpointsChanged(std::move(differences));
    this->applyEndpointChanges(event, now, actions);
}

void Gateway::applyEndpointChanges(const EndpointsChanged& changes, Instant now, GatewayActions& actions)
{
    this->state.restoration.written(changes);
    const auto graceUntil = this->state.freshness.reregistrationGraceEnd(StoreSection::Endpoints, now);
    const DirectoryChange change = this->state.endpoints.applyChanges(changes, graceUntil, now);
    this->drainEndpoints(change.leaving, now, actions);
    logKeptEndpoints(change.kept, graceUntil.value_or(now) - now, actions);
}

void Gateway::outOfServiceZonesRead(const OutOfServiceZonesRead& event, Instant now, GatewayActions& actions)
{
    LogEvent line { "zones_out", {} };
    for (const ZoneId& zone : event.zones)
        line.fields.push_back({ "zone", zone.get() });
    this->state.endpoints.setZonesOutOfService(
        this->state.restoration.zonesRead(event.zones, now + this->state.limits.reregistrationGrace));
    this->store.contentChanged(StoreSection::Configuration);
    actions.emplace_back(std::move(line));
}

void Gateway::storeRestored(const StoreRestored& event, Instant, GatewayActions& actions)
{
    this->state.restoration.begin(event.section);
    actions.emplace_back(LogEvent { "store_restored",
        { { "part", std::string(Internal::sectionName(event.section)) }, { "era", std::to_string(event.version.era) },
            { "version", std::to_string(event.version.number) }, { "era_before", std::to_string(event.before.era) },
            { "version_before", std::to_string(event.before.number) } } });
}

void Gateway::storeReadSucceeded(const StoreReadSucceeded& event, Instant now, GatewayActions& actions)
{
    this->state.restoration.end(event.section);
    this->store.readSucceeded(event, now, actions);
}

void Gateway::storeReadFailed(const StoreReadFailed& event, Instant now, GatewayActions& actions)
{
    this->state.restoration.end(event.section);
    this->store.readFailed(event, now, actions);
    const auto age = this->state.freshness.age(event.section, now);
    actions.emplace_back(LogEvent { "store_failed",
        { { "part", std::string(Internal::sectionName(event.section)) }, { "reason", event.reason },
            { "known_since_ms", age ? Internal::millisecondsText(*age) : std::string("never") } } });
}

void Gateway::membersListed(const MembersListed& event, Instant, GatewayActions& actions)
{
    this->state.peers.setMembers(event.members);
    this->store.contentChanged(StoreSection::Members);
    actions.emplace_back(LogEvent { "members_listed",
        { { "count", std::to_string(event.members.size()) },
            { "sharing", std::to_string(this->state.peers.gatewayCount()) } } });
}

void Gateway::gossipReceived(const GossipReceived& event, Instant now, GatewayActions& actions)
{
    this->state.promptParts.merge(event.gossip.promptParts, now);
    // First, so that a crash that both gateways noticed counts once.
    this->crashes.merge(event.gossip.refusedConnections, now, actions);
    this->state.quarantine.merge(EndpointId(), event.gossip.suspects, now);
    const auto sender = this->state.peers.receive(event.gossip, now);
    this->state.rollouts.merge(event.gossip.incarnation, sender, event.gossip.rollouts, now, actions);
    if (!sender)
        return;
    this->state.endpoints.mergeConditions(event.gossip.conditions, now);
    EndpointRateLimits& limits = this->state.endpoints.rateLimits();
    for (const EndpointId& endpoint : limits.merge(*sender, event.gossip.rateLimits, now))
        actions.emplace_back(Internal::rateLimitLogEvent(endpoint, limits.rateOf(endpoint), "gateway"));
}

void Gateway::storeReadingReceived(const StoreReadingReceived& event, Instant now, GatewayActions& actions)
{
    if (const auto changes = this->store.readingReceived(event.reading, now, actions))
        this->applyEndpointChanges(*changes, now, actions);
}

void Gateway::limitsChanged(const LimitsChanged& event, Instant, GatewayActions& actions)
{
    const bool changed = event.limits != this->state.limits;
    this->state.limits = event.limits;
    actions.emplace_back(LogEvent { "reload", { { "outcome", changed ? "applied" : "unchanged" } } });
}

void Gateway::tellPrompts(Instant now, GatewayActions& actions)
{
    if (!this->state.peers.dividesEngines())
        return this->sendGossip(now, actions);
    const auto prompts = this->gossip.newPrompts(this->state.endpoints.usages());
    if (prompts.empty())
        return;
    const std::size_t engines = this->state.endpoints.usableEndpointsBeside(prompts.front().endpoint);
    auto receivers = this->state.peers.addressesPreferring(prompts, engines);
    GossipContent content { {}, {}, this->state.stop.has_value(), receivers.size() };
    content.conditions = this->state.endpoints.conditions(now);
    if (auto message = this->gossip.composePrompts(content, prompts, now))
        actions.emplace_back(SendGossip { std::move(*message), std::move(receivers) });
}

void Gateway::sendGossip(Instant now, GatewayActions& actions)
{
    const GossipContent content { this->state.endpoints.usages(),
        this->state.quarantine.recentDelivery(now, maxSentSuspects), this->state.stop.has_value(),
        this->state.peers.receiverCount(), this->state.promptParts.recentEvidence(now),
        this->state.promptParts.allEvidence(now), this->state.crashDetector.refusedConnections(now),
        this->state.endpoints.rateLimits().reports(now), this->state.rollouts.reports(now),
        this->state.endpoints.conditions(now) };
    auto message = this->gossip.compose(content, now);
    if (!message)
        return;
    this->state.endpoints.rateLimits().recordReported(message->rateLimits, now);
    actions.emplace_back(SendGossip { std::move(*message), this->state.peers.receiverAddresses() });
}

void Gateway::rolloutOrdersRead(const RolloutOrdersRead& event, Instant now, GatewayActions& actions)
{
    this->store.contentChanged(StoreSection::Configuration);
    this->state.rollouts.ordersRead(event, now, actions);
}

void Gateway::rolloutsRead(const RolloutsRead& event, Instant now, GatewayActions& actions)
{
    this->state.rollouts.rolloutsRead(event, now, actions);
}

void Gateway::rolloutStored(const RolloutStored& event, Instant now, GatewayActions& actions)
{
    this->state.rollouts.stored(event, now, actions);
}

void Gateway::rolloutStoreFailed(const RolloutStoreFailed& event, Instant now, GatewayActions& actions)
{
    this->state.rollouts.storeFailed(event, now, actions);
}

void Gateway::advanceRollouts(Instant now, GatewayActions& actions)
{
    this->state.rolloutTraffic.tick(this->state.requests, this->state.exchanges, now);
    this->state.rollouts.tick(now, actions);
    const RolloutMoves moves = this->state.rollouts.takeMoves();
    this->drainEndpoints(moves.leaving, now, actions);
    for (const EndpointId& endpoint : moves.staying)
        this->migrator.keepEndpoint(endpoint);
}

void Gateway::logQuarantinedParts(GatewayActions& actions)
{
    for (const auto& parts : this->state.promptParts.takeQuarantined())
        actions.emplace_back(
            LogEvent { "prompt_parts_quarantined", { { "prompt_parts", Internal::promptPartsText(parts) } } });
}

void Gateway::endpointProbed(const EndpointProbed& event, Instant now, GatewayActions& actions)
{
    this->crashes.endpointProbed(event, now, actions);
}

void Gateway::stopRequested(const GatewayStopRequested& event, Instant now, GatewayActions& actions)
{
    if (this->state.stop)
        return;
    this->state.stop.emplace().requestedAt = std::min(event.signalledAt, now);
    actions.emplace_back(LogEvent { "stopping",
        { { "in_progress", std::to_string(this->state.requests.size()) },
            { "heard_after_ms", Internal::millisecondsText(now - event.signalledAt) } } });
}

}
