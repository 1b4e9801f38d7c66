#include "core/gateway/ExchangeKeeper.h"

#include "core/common/Check.h"
#include "core/gateway/CopyPlacement.h"
#include "core/gateway/GatewayLog.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Expected events from which a stream gets a replica; shorter ones end before their engine leaves. */
    constexpr std::uint64_t replicatedEvents = 20;
    /** Share of an engine's memory beyond which a replica would take room that running streams need. */
    constexpr double replicaMostUsed = 0.5;
    constexpr std::uint16_t firstServerError = 500;
    constexpr std::uint16_t firstRedirection = 300;
    constexpr std::uint16_t firstSuccess = 200;

    bool isSuccess(const ResponseSummary& response)
    {
        return response.status >= firstSuccess && response.status < firstRedirection;
    }

    Milliseconds timeLeft(const ActiveRequest& active, Instant now)
    {
        return std::chrono::duration_cast<Milliseconds>(active.answerBy - now);
    }

    /** @return what can be promised of a request whose exchanges have all ended. */
    Executed runOf(const ActiveRequest& active) { return active.mayHaveRun ? Executed::Unknown : Executed::No; }

    bool isRepeatable(const ActiveRequest& active) { return active.route->kind == RequestKind::Idempotent; }

    bool isStream(const ActiveRequest& active) { return active.route->kind == RequestKind::Stream; }

    /** Urgency at the engines: the configured priorities start at 0 and leave room for others below. */
    std::uint32_t enginePriority(const ActiveRequest& active)
    {
        constexpr std::uint32_t least = 9;
        return std::min(active.priority, least);
    }

}

ActiveRequest* ExchangeKeeper::find(RequestId request)
{
    const auto found = this->state.requests.find(request);
    return found == this->state.requests.end() ? nullptr : &found->second;
}

GatewayEndpoint* ExchangeKeeper::pick(
    const ActiveRequest& active, const std::set<EndpointId>& excluded, Instant now) const
{
    auto candidates = this->state.endpoints.candidates(*active.service, this->state.peers.instances(), now);
    std::erase_if(candidates, [&](const auto* endpoint) { return excluded.contains(endpoint->record.id); });
    const PickContext context { this->state.zone, now, active.tokens, active.request.promptTokens, active.events,
        this->state.limits, this->state.peers, this->state.randomness };
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

void ExchangeKeeper::dispatch(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    // The key was good when the request came in; while it waited, the proof of that may have grown too old.
    if (active.team
        && !this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now)) {
        const Milliseconds retryAfter = this->state.limits.retryAfter;
        return this->refuse(active,
            { ErrorCode::StoreUnavailable, "keys cannot be checked now", runOf(active), retryAfter }, now, actions);
    }
    if (GatewayEndpoint* endpoint = this->pick(active, active.tried, now)) {
        this->state.waiting.erase(active.request.id);
        return this->start(active, *endpoint, std::nullopt, now, actions);
    }
    this->state.waiting.insert(active.request.id);
}

std::optional<Address> ExchangeKeeper::placeReplica(ActiveRequest& active, const GatewayEndpoint& endpoint, Instant now)
{
    active.replicaAt.reset();
    const auto& engine = active.service->engine;
    if (!engine || !engine->canReplicate || !isStream(active) || active.events < replicatedEvents)
        return std::nullopt;
    const GatewayEndpoint* chosen
        = placeCopy(this->state, active, { endpoint.record.zone, { endpoint.record.id }, replicaMostUsed }, now);
    if (!chosen)
        return std::nullopt;
    active.replicaAt = chosen->record.id;
    return chosen->record.address;
}

void ExchangeKeeper::start(ActiveRequest& active, GatewayEndpoint& endpoint, std::optional<ResumePoint> resume,
    Instant now, GatewayActions& actions)
{
    const ExchangeId id(++this->state.lastExchange);
    ExchangeParameters parameters;
    parameters.exchange = id;
    parameters.request = active.request.id;
    parameters.endpoint = endpoint.record.id;
    parameters.address = endpoint.record.address;
    parameters.timeLeft = timeLeft(active, now);
    parameters.team = active.team;
    if (active.service->engine)
        parameters.enginePriority = enginePriority(active);
    parameters.replicaAt = this->placeReplica(active, endpoint, now);
    parameters.resume = std::move(resume);

    if (!parameters.resume) {
        ++active.attempts;
        active.tried.insert(endpoint.record.id);
    }
    active.exchange = id;
    const std::uint64_t promptTokens = parameters.resume ? 0 : active.request.promptTokens;
    this->state.endpoints.addPrompt(endpoint.record.id, promptTokens);
    this->state.exchanges[id] = { active.request.id, endpoint.record.id, endpoint.record.address, endpoint.record.zone,
        active.tokens, promptTokens, active.replicaAt, active.lastEventId, std::nullopt };
    if (active.replicaAt)
        this->state.endpoints.addCopy(*active.replicaAt, active.tokens);
    auto line = Internal::requestLine(parameters.resume ? "resumed" : "sent", active, now);
    line.fields.push_back({ "endpoint", endpoint.record.id.get() });
    line.fields.push_back({ "attempt", std::to_string(active.attempts) });
    line.fields.push_back({ "in_flight", std::to_string(endpoint.inFlight) });
    line.fields.push_back({ "foreign", std::to_string(endpoint.foreignWork) });
    this->state.endpoints.begin(endpoint.record.id, active.tokens, now);
    actions.emplace_back(StartExchange { std::move(parameters) });
    actions.emplace_back(std::move(line));
}

std::optional<Exchange> ExchangeKeeper::takeExchange(ExchangeId id)
{
    const auto found = this->state.exchanges.find(id);
    if (found == this->state.exchanges.end())
        return std::nullopt;
    Exchange exchange = found->second;
    this->state.exchanges.erase(found);
    this->state.endpoints.finish(exchange.endpoint, exchange.tokens);
    this->state.endpoints.removePrompt(exchange.endpoint, exchange.promptTokens);
    if (exchange.replicaAt)
        this->state.endpoints.removeCopy(*exchange.replicaAt, exchange.tokens);
    return exchange;
}

bool ExchangeKeeper::mayRepeat(const ActiveRequest& active, Instant now)
{
    if (active.attempts >= active.route->maxAttempts || (active.mayHaveRun && !isRepeatable(active)))
        return false;
    if (timeLeft(active, now) < this->state.limits.minDeadline)
        return false;
    if (!this->pick(active, active.tried, now))
        return false;
    return this->state.retriesOf(active.service->name).withdraw(now);
}

void ExchangeKeeper::finish(const ActiveRequest& active, Instant now, GatewayActions& actions)
{
    const RequestId request = active.request.id;
    this->moves.forget(active, now, actions);
    this->state.waiting.erase(request);
    this->state.requests.erase(request);
}

void ExchangeKeeper::refuse(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions)
{
    const Metric metric = failure.run == Executed::No ? Metric::Refusal : Metric::Failed;
    Internal::observe(actions, active, metric, 1, std::string(errorCodeName(failure.code)));
    if (active.isAnswering)
        actions.emplace_back(AbortResponse { active.request.id });
    else
        actions.emplace_back(RefuseRequest { active.request.id, std::move(failure) });
    this->finish(active, now, actions);
}

void ExchangeKeeper::retryOrFail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions)
{
    if (this->mayRepeat(active, now)) {
        auto line = Internal::requestLine("retried", active, now);
        line.fields.push_back({ "reason", failure.message });
        actions.emplace_back(std::move(line));
        Internal::observe(actions, active, Metric::Retry);
        return this->dispatch(active, now, actions);
    }
    auto line = Internal::requestLine("failed", active, now);
    line.fields.push_back({ "reason", failure.message });
    line.fields.push_back({ "run", std::string(executedName(failure.run)) });
    actions.emplace_back(std::move(line));
    this->refuse(active, std::move(failure), now, actions);
}

void ExchangeKeeper::answered(const ResponseReceived& event, Instant now, GatewayActions& actions)
{
    const auto found = this->state.exchanges.find(event.exchange);
    if (found == this->state.exchanges.end())
        return;
    const Exchange exchange = found->second;
    ActiveRequest* active = this->find(exchange.request);
    internalCheck(active, "an exchange belongs to an active request");
    const ResponseSummary& response = event.response;
    if (response.load)
        this->state.endpoints.report(exchange.endpoint, *response.load, now);
    active->mayHaveRun = active->mayHaveRun || !response.notExecuted;
    const bool isOwnAnswer = response.isSigned && !response.notExecuted && !promisesNotExecuted(response.status);
    if (isOwnAnswer && (response.status < firstServerError || !this->mayRepeat(*active, now))) {
        if (isSuccess(response))
            this->state.endpoints.succeed(exchange.endpoint);
        active->isAnswering = true;
        actions.emplace_back(RelayResponse { event.exchange });
        return;
    }
    this->takeExchange(event.exchange);
    actions.emplace_back(CancelExchange { event.exchange });
    active->exchange.reset();
    if (!isOwnAnswer)
        return this->turnedAway(*active, exchange, response, now, actions);
    // The retry was paid for by mayRepeat above.
    auto line = Internal::requestLine("retried", *active, now);
    line.fields.push_back({ "reason", "status " + std::to_string(response.status) });
    actions.emplace_back(std::move(line));
    Internal::observe(actions, *active, Metric::Retry);
    this->dispatch(*active, now, actions);
}

void ExchangeKeeper::turnedAway(ActiveRequest& active, const Exchange& exchange, const ResponseSummary& response,
    Instant now, GatewayActions& actions)
{
    // The run that the copy was to be made of never began, so there is none.
    active.replicaAt.reset();
    if (active.isAnswering)
        return this->breakOff(active, now, actions);
    if (!response.notExecuted || response.isMisdirected)
        this->state.endpoints.fail(exchange.endpoint, now);
    const bool goesElsewhere
        = response.isMisdirected && !active.mayHaveRun && this->state.retriesOf(active.service->name).withdraw(now);
    if (goesElsewhere)
        return this->sendElsewhere(active, now, actions);
    const Executed run = runOf(active);
    this->retryOrFail(active,
        { run == Executed::No ? ErrorCode::NoCapacity : ErrorCode::EndpointLost,
            "endpoint answered " + std::to_string(response.status), run, this->state.limits.retryAfter },
        now, actions);
}

void ExchangeKeeper::ended(const ExchangeEnded& event, Instant now, GatewayActions& actions)
{
    const auto exchange = this->takeExchange(event.exchange);
    if (!exchange)
        return;
    ActiveRequest* active = this->find(exchange->request);
    internalCheck(active, "an exchange belongs to an active request");
    active->exchange.reset();
    if (event.end == ExchangeEnd::Complete) {
        this->state.quarantine.clear(active->request.fingerprint);
        actions.emplace_back(Internal::completedLine(*active, now));
        Internal::observeCompleted(actions, *active, now);
        return this->finish(*active, now, actions);
    }
    this->watchCrash(*active, *exchange, event.end, now, actions);
    this->state.endpoints.fail(exchange->endpoint, now);
    const bool mayBeSentAgain = !active->mayHaveRun || isRepeatable(*active);
    if (event.end == ExchangeEnd::NotConnected && mayBeSentAgain && !active->isAnswering)
        return this->sendElsewhere(*active, now, actions);
    if (event.end == ExchangeEnd::NotConnected)
        active->replicaAt.reset();
    else
        active->mayHaveRun = true;
    this->breakOff(*active, now, actions);
}

void ExchangeKeeper::watchCrash(
    const ActiveRequest& active, const Exchange& exchange, ExchangeEnd end, Instant now, GatewayActions& actions)
{
    if (end == ExchangeEnd::Broken)
        return this->state.crashes.connectionBroke(exchange.endpoint, active.request.fingerprint, now);
    const std::size_t suspects = this->state.crashes.connectionRefused(exchange.endpoint, now);
    if (suspects > 0) {
        actions.emplace_back(LogEvent { "endpoint_crashed",
            { { "endpoint", exchange.endpoint.get() }, { "suspects", std::to_string(suspects) } } });
    }
}

void ExchangeKeeper::sendElsewhere(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    active.replicaAt.reset();
    active.attempts -= std::min<std::uint32_t>(active.attempts, 1);
    this->dispatch(active, now, actions);
}

void ExchangeKeeper::breakOff(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (isStream(active) && this->continueElsewhere(active, now, actions))
        return;
    this->retryOrFail(active,
        { ErrorCode::EndpointLost, "connection to the endpoint broke", runOf(active), this->state.limits.retryAfter },
        now, actions);
}

bool ExchangeKeeper::continueElsewhere(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    const EndpointId target = active.move ? active.move->target : EndpointId();
    if (const auto point = this->moves.streamEnded(active))
        return this->resume(active, target, *point, now, actions);
    if (MoveKeeper::isWaiting(active))
        return true;
    if (!active.replicaAt)
        return false;
    const EndpointId holder = *active.replicaAt;
    active.replicaAt.reset();
    const GatewayEndpoint* endpoint = this->state.endpoints.find(holder);
    if (!endpoint)
        return false;
    const ResumePoint point { endpoint->record.address, KvCacheHandle(active.request.callerRequestId),
        active.lastEventId };
    return this->resume(active, holder, point, now, actions);
}

bool ExchangeKeeper::resume(
    ActiveRequest& active, const EndpointId& endpoint, const ResumePoint& point, Instant now, GatewayActions& actions)
{
    if (!this->state.endpoints.mayWork(endpoint))
        return false;
    this->start(active, *this->state.endpoints.find(endpoint), point, now, actions);
    return true;
}

void ExchangeKeeper::moveAnswered(const MigrationResponseReceived& event, Instant now, GatewayActions& actions)
{
    const auto ready = this->moves.answered(event, now, actions);
    if (!ready)
        return;
    this->breakOff(*this->find(*ready), now, actions);
}

void ExchangeKeeper::relayed(const EventsRelayed& event, Instant now, GatewayActions& actions)
{
    const auto exchange = this->state.exchanges.find(event.exchange);
    if (exchange == this->state.exchanges.end())
        return;
    Exchange& running = exchange->second;
    if (running.lastEventAt && event.lastEventId > running.lastEventId) {
        const auto events = static_cast<Duration::rep>(event.lastEventId - running.lastEventId);
        this->state.endpoints.learnEventTime(running.endpoint, (now - *running.lastEventAt) / events);
    }
    this->state.endpoints.removePrompt(running.endpoint, std::exchange(running.promptTokens, 0));
    running.lastEventId = event.lastEventId;
    running.lastEventAt = now;
    ActiveRequest* active = this->find(running.request);
    internalCheck(active, "an exchange belongs to an active request");
    if (active->newestEventAt)
        active->longestPause = std::max(active->longestPause, now - *active->newestEventAt);
    active->newestEventAt = now;
    active->answeredAt = active->answeredAt.value_or(now);
    active->lastEventId = event.lastEventId;
    this->moves.streamAdvanced(running.endpoint, now, actions);
}

void ExchangeKeeper::abandon(RequestId request, Instant now, GatewayActions& actions)
{
    const ActiveRequest* active = this->find(request);
    if (!active)
        return;
    if (active->exchange) {
        this->takeExchange(*active->exchange);
        actions.emplace_back(CancelExchange { *active->exchange });
    }
    Internal::observe(actions, *active, Metric::Cancelled);
    actions.emplace_back(LogEvent { "abandoned", { { "request", active->request.callerRequestId } } });
    this->finish(*active, now, actions);
}

void ExchangeKeeper::expire(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (active.exchange) {
        active.mayHaveRun = true;
        this->takeExchange(*active.exchange);
        actions.emplace_back(CancelExchange { *active.exchange });
    }
    auto line = Internal::requestLine("timed_out", active, now);
    line.fields.push_back({ "run", std::string(executedName(runOf(active))) });
    actions.emplace_back(std::move(line));
    if (active.mayHaveRun)
        return this->refuse(
            active, { ErrorCode::DeadlineExceeded, "no answer in time", Executed::Unknown, {} }, now, actions);
    this->refuse(active,
        { ErrorCode::NoCapacity, "no endpoint had room in time", Executed::No, this->state.limits.retryAfter }, now,
        actions);
}

Duration ExchangeKeeper::waitLimit(const ActiveRequest& active) const
{
    return std::chrono::duration_cast<Duration>(active.route->latencyObjective * this->state.limits.queueWaitFraction);
}

void ExchangeKeeper::serveWaiting(Instant now, GatewayActions& actions)
{
    const std::vector<RequestId> waiting(this->state.waiting.begin(), this->state.waiting.end());
    for (const RequestId id : waiting) {
        ActiveRequest& active = *this->find(id);
        this->dispatch(active, now, actions);
        if (!this->state.waiting.contains(id) || now - active.arrivedAt < this->waitLimit(active))
            continue;
        auto line = Internal::requestLine("refused", active, now);
        line.fields.push_back({ "reason", "no endpoint" });
        actions.emplace_back(std::move(line));
        this->refuse(active,
            { ErrorCode::NoCapacity, "no endpoint has room", runOf(active), this->state.limits.retryAfter }, now,
            actions);
    }
}

void ExchangeKeeper::tick(Instant now, GatewayActions& actions)
{
    std::vector<RequestId> late;
    for (const auto& [id, active] : this->state.requests) {
        if (active.answerBy <= now)
            late.push_back(id);
    }
    for (const RequestId id : late)
        this->expire(*this->find(id), now, actions);
    this->serveWaiting(now, actions);
}

}
