#include "core/gateway/ExchangeDispatcher.h"

#include "core/common/Check.h"
#include "core/gateway/CopyPlacement.h"
#include "core/gateway/GatewayLog.h"
#include "core/gateway/ResumptionPlaces.h"
#include "core/gateway/StreamForecast.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Streams with fewer expected events get no replica, since they end before their engine exits. */
    constexpr std::uint64_t minReplicatedEvents = 20;
    /** KV cache utilization beyond which an engine gets no replica, since it would take space from running streams. */
    constexpr double maxReplicaUtilization = 0.5;
    /** Tries to resume a run that was stopped. A copy can be used once only, so another try runs nothing twice. */
    constexpr std::uint32_t maxResumptionTries = 6;
    /** The same if an engine refuses to run it. */
    constexpr std::uint32_t maxRefusedResumptionTries = 2;
    /** Tries that follow at once. Later ones wait for an engine, a link or a processor that is back after seconds. */
    constexpr std::uint32_t immediateResumptionTries = 2;
    /** Pause before the first try that does not follow at once. Each further pause is twice as long. */
    constexpr Milliseconds firstResumptionPause(200);
    constexpr std::uint16_t firstServerError = 500;
    constexpr std::uint16_t firstRedirection = 300;
    constexpr std::uint16_t firstSuccess = 200;

    bool isSuccess(const ResponseSummary& response)
    {
        return response.status >= firstSuccess && response.status < firstRedirection;
    }

}

ActiveRequest* ExchangeDispatcher::findRequest(RequestId request)
{
    const auto found = this->state.requests.find(request);
    return found == this->state.requests.end() ? nullptr : &found->second;
}

GatewayEndpoint* ExchangeDispatcher::pickEndpoint(
    const ActiveRequest& active, const std::set<EndpointId>& excluded, Instant now) const
{
    auto candidates = this->state.endpoints.candidates(*active.service, this->state.peers.gatewayCount(), now);
    std::erase_if(candidates, [&](const auto* endpoint) { return excluded.contains(endpoint->record.id); });
    this->state.rolloutTraffic.filter(active, candidates);
    const PickContext context { this->state.zone, now, active.tokens, active.request.promptTokens, active.events,
        this->state.streamObjectives(*active.route, active.service->name),
        this->state.endpoints.slowdownShares(active.service->name), this->state.limits, this->state.peers,
        this->state.randomness };
    return pickerFor(*active.service).pick(candidates, *active.service, context);
}

void ExchangeDispatcher::dispatch(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (this->order.hasToQueue(active)) {
        this->order.wait(active, now);
        return this->dispatchGroup(DispatchOrder::groupOf(active), now, actions);
    }
    // The key was valid on arrival, but the configuration may have become too old to prove that it still is.
    if (active.team
        && !this->state.freshness.isFresh(StoreSection::Configuration, this->state.limits.maxKeyStaleness, now)) {
        const Milliseconds retryAfter = this->state.limits.retryAfter;
        return this->completion.fail(active,
            { ErrorCode::StoreUnavailable, "keys cannot be checked now", executedStateOf(active), retryAfter }, now,
            actions);
    }
    // Since its admission, the request may have become a suspect of further crashes.
    if (const auto verdict = this->crashes.quarantineOf(active, now))
        return this->completion.refuseQuarantined(active, *verdict, now, actions);
    if (!mayStartInStop(this->state, active, now))
        return this->completion.refuseForStop(active, now, actions);
    if (!canEndInTime(this->state, active, now))
        return this->completion.refuseUnserved(active, "too little time left", now, actions);
    if (GatewayEndpoint* endpoint = this->pickEndpoint(active, active.triedEndpoints, now)) {
        this->state.waiting.start(active.request.id);
        return this->startExchange(active, *endpoint, std::nullopt, now, actions);
    }
    const auto next = this->state.endpoints.nextReturn(active.service->name, now);
    if (next && next->isRateLimited) {
        Internal::observe(actions, active, Metric::RateLimited);
        return this->completion.refuseUnserved(active, "every endpoint is at its rate limit", now, actions);
    }
    const bool isBackInTime
        = next && next->time > Milliseconds(0) && now + next->time - active.arrivedAt < this->order.waitLimit(active);
    if (next && !isBackInTime)
        return this->completion.refuseUnserved(active, "every endpoint leaves or rests", now, actions);
    this->order.wait(active, now);
}

std::optional<Address> ExchangeDispatcher::placeReplica(
    ActiveRequest& active, const GatewayEndpoint& endpoint, Instant now)
{
    active.replicaEngine.reset();
    const auto& engine = active.service->engine;
    if (!engine || !engine->canReplicate || !isStream(active) || active.events < minReplicatedEvents)
        return std::nullopt;
    const GatewayEndpoint* chosen = chooseCopyTarget(
        this->state, active, { endpoint.record.zone, { endpoint.record.id }, maxReplicaUtilization }, now);
    if (!chosen)
        return std::nullopt;
    active.replicaEngine = chosen->record.id;
    return chosen->record.address;
}

void ExchangeDispatcher::startExchange(ActiveRequest& active, GatewayEndpoint& endpoint,
    std::optional<ResumePoint> resume, Instant now, GatewayActions& actions)
{
    const ExchangeId id(++this->state.lastExchangeId);
    ExchangeParameters parameters;
    parameters.exchange = id;
    parameters.request = active.request.id;
    parameters.endpoint = endpoint.record.id;
    parameters.address = endpoint.record.address;
    parameters.timeLeft = timeLeft(active, now);
    parameters.team = active.team;
    if (active.service->engine)
        parameters.enginePriority = DispatchOrder::enginePriority(active);
    parameters.replicaAddress = this->placeReplica(active, endpoint, now);
    parameters.resume = std::move(resume);

    if (!parameters.resume) {
        ++active.attempts;
        active.triedEndpoints.insert(endpoint.record.id);
    }
    active.exchange = id;
    const std::uint64_t promptTokens = parameters.resume ? 0 : active.request.promptTokens;
    this->state.endpoints.addPendingPrompt(endpoint.record.id, promptTokens);
    this->state.exchanges[id] = { active.request.id, endpoint.record.id, endpoint.record.address, endpoint.record.zone,
        active.tokens, promptTokens, active.replicaEngine, active.lastEventId, std::nullopt, now, std::nullopt };
    this->state.exchanges[id].endpointStartedAt = endpoint.record.startedAt;
    this->state.rolloutTraffic.sent(active, this->state.exchanges[id], parameters.resume.has_value());
    if (active.replicaEngine)
        this->state.endpoints.addCopy(*active.replicaEngine, active.tokens);
    auto line = Internal::requestLogEvent(parameters.resume ? "resumed" : "sent", active, now);
    line.fields.push_back({ "endpoint", endpoint.record.id.get() });
    line.fields.push_back({ "attempt", std::to_string(active.attempts) });
    line.fields.push_back({ "in_flight", std::to_string(endpoint.inFlight) });
    line.fields.push_back({ "slowdown_percent", std::to_string(std::llround(endpoint.pace.slowdown(now) * 100)) });
    line.fields.push_back({ "foreign",
        std::to_string(std::llround(endpoint.externalLoad.requests(this->state.limits.maxLoadReportAge, now))) });
    if (isStream(active))
        line.fields.push_back({ "expected_events", std::to_string(active.events) });
    if (!active.request.sharedPromptParts.empty())
        line.fields.push_back({ "prompt_parts", Internal::promptPartsText(active.request.sharedPromptParts) });
    this->state.endpoints.beginExchange(endpoint.record.id, active.tokens, now);
    this->state.returnTurns.recordStart(active.service->name, now);
    actions.emplace_back(StartExchange { std::move(parameters) });
    actions.emplace_back(std::move(line));
}

bool ExchangeDispatcher::reserveRetry(const ActiveRequest& active, Instant now)
{
    if (active.attempts >= active.route->maxAttempts || (active.mayHaveRun && !isIdempotent(active)))
        return false;
    if (!canEndInTime(this->state, active, now))
        return false;
    if (!this->pickEndpoint(active, active.triedEndpoints, now))
        return false;
    return this->state.retryBudgetOf(active.service->name).withdraw(now);
}

void ExchangeDispatcher::retryOrFail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions)
{
    if (this->reserveRetry(active, now)) {
        auto line = Internal::requestLogEvent("retried", active, now);
        line.fields.push_back({ "reason", failure.message });
        actions.emplace_back(std::move(line));
        Internal::observe(actions, active, Metric::Retry);
        return this->dispatch(active, now, actions);
    }
    auto line = Internal::requestLogEvent("failed", active, now);
    line.fields.push_back({ "reason", failure.message });
    line.fields.push_back({ "run", std::string(executedName(failure.run)) });
    actions.emplace_back(std::move(line));
    if (failure.code == ErrorCode::NoCapacity)
        failure.retryAfter = this->completion.retryAfterOf(active, now);
    this->completion.fail(active, std::move(failure), now, actions);
}

void ExchangeDispatcher::responseReceived(const ResponseReceived& event, Instant now, GatewayActions& actions)
{
    const auto found = this->state.exchanges.find(event.exchange);
    if (found == this->state.exchanges.end())
        return;
    const Exchange exchange = found->second;
    ActiveRequest* active = this->findRequest(exchange.request);
    internalCheck(active, "an exchange belongs to an active request");
    const ResponseSummary& response = event.response;
    if (response.load)
        this->state.endpoints.recordLoad(exchange.endpoint, *response.load, now);
    // What answers with 421 is another endpoint, and what is neither signed nor a refusal may be no endpoint at all.
    const bool isOwnStatement = (response.isSigned || response.notExecuted) && !response.isMisdirected;
    this->notices.received(exchange.endpoint,
        { response.isLeaving, response.restTime, isOwnStatement ? response.rateLimit : std::nullopt }, now, actions);
    if (isOwnStatement)
        this->crashes.endpointAnswered(exchange, now, actions);
    this->state.rolloutTraffic.answered(*active, found->second, response, now);
    active->mayHaveRun = active->mayHaveRun || !response.notExecuted;
    // A response that has started can only be continued by a stream.
    const bool fitsResponse = !active->responseStarted || (isSuccess(response) && response.isStream);
    const bool isRunResult
        = response.isSigned && !response.notExecuted && !promisesNotExecuted(response.status) && fitsResponse;
    if (isRunResult && (response.status < firstServerError || !this->reserveRetry(*active, now))) {
        if (isSuccess(response)) {
            this->state.endpoints.recordSuccess(exchange.endpoint);
            if (!response.isStream)
                this->crashes.runSucceeded(*active, now);
        }
        active->responseStarted = true;
        active->stoppedRun.reset();
        active->keptCopies.clear();
        actions.emplace_back(RelayResponse { event.exchange });
        return;
    }
    this->completion.removeExchange(event.exchange);
    actions.emplace_back(CancelExchange { event.exchange });
    active->exchange.reset();
    if (!isRunResult)
        return this->handleRejection(*active, exchange, response, now, actions);
    // reserveRetry above withdrew this retry from the budget.
    auto line = Internal::requestLogEvent("retried", *active, now);
    line.fields.push_back({ "reason", "status " + std::to_string(response.status) });
    actions.emplace_back(std::move(line));
    Internal::observe(actions, *active, Metric::Retry);
    this->dispatch(*active, now, actions);
}

void ExchangeDispatcher::handleRejection(ActiveRequest& active, const Exchange& exchange,
    const ResponseSummary& response, Instant now, GatewayActions& actions)
{
    // The rejected run never began, so there is no replica of its KV cache.
    active.replicaEngine.reset();
    if (active.responseStarted) {
        if (active.stoppedRun) {
            active.stoppedRun->wasRefused = true;
            if (!response.notExecuted)
                active.stoppedRun->mayRunAt = exchange.endpoint;
        }
        StreamMigrator::streamEnded(active, ExchangeEnd::Broken);
        return this->recoverOrFail(active, now, actions);
    }
    if (!response.notExecuted || response.isMisdirected)
        this->state.endpoints.recordFailure(exchange.endpoint, now);
    const bool canRedispatch
        = response.isMisdirected && !active.mayHaveRun && this->state.retryBudgetOf(active.service->name).withdraw(now);
    if (canRedispatch)
        return this->redispatch(active, now, actions);
    const Executed run = executedStateOf(active);
    this->retryOrFail(active,
        { run == Executed::No ? ErrorCode::NoCapacity : ErrorCode::EndpointLost,
            "endpoint answered " + std::to_string(response.status), run, this->state.limits.retryAfter },
        now, actions);
}

void ExchangeDispatcher::exchangeEnded(const ExchangeEnded& event, Instant now, GatewayActions& actions)
{
    const auto exchange = this->completion.removeExchange(event.exchange);
    if (!exchange)
        return;
    ActiveRequest* active = this->findRequest(exchange->request);
    internalCheck(active, "an exchange belongs to an active request");
    active->exchange.reset();
    if (exchange->firstEventAt && event.end == ExchangeEnd::Complete)
        this->crashes.runSucceeded(*active, now);
    if (event.end == ExchangeEnd::Complete || event.end == ExchangeEnd::Closed)
        this->state.rolloutTraffic.streamEnded(*active, *exchange, now);
    if (event.end == ExchangeEnd::Closed && !StreamMigrator::mayBeStopped(*active))
        this->crashes.streamClosed(*active, *exchange, now, actions);
    if (event.end == ExchangeEnd::Complete)
        return this->completion.complete(*active, now, actions);
    if (event.end == ExchangeEnd::Spoiled || event.end == ExchangeEnd::Broken)
        StreamMigrator::connectionLost(*active, event.exchange, *exchange, event.end);
    if (event.end == ExchangeEnd::Closed || StreamMigrator::mayBeStopped(*active))
        return this->streamClosed(*active, event.end, now, actions);
    if (event.end == ExchangeEnd::Refused)
        this->crashes.connectionRefused(exchange->endpoint, now, actions);
    if (!isUnsent(event.end)) {
        this->crashes.runBroke(*active, *exchange, now, actions);
        this->state.rolloutTraffic.broke(*active, *exchange);
    }
    this->migrator.exchangeBroke(*exchange, active->service->name, now);
    this->state.endpoints.recordFailure(exchange->endpoint, now);
    const bool mayResend = !active->mayHaveRun || isIdempotent(*active);
    if (isUnsent(event.end) && mayResend && !active->responseStarted)
        return this->redispatch(*active, now, actions);
    if (isUnsent(event.end))
        active->replicaEngine.reset();
    else
        active->mayHaveRun = true;
    if (active->stoppedRun) {
        active->stoppedRun->wasRefused = false;
        if (!isUnsent(event.end))
            active->stoppedRun->mayRunAt = exchange->endpoint;
    }
    StreamMigrator::streamEnded(*active, event.end);
    this->recoverOrFail(*active, now, actions);
}

void ExchangeDispatcher::streamClosed(ActiveRequest& active, ExchangeEnd end, Instant now, GatewayActions& actions)
{
    StreamMigrator::streamEnded(active, end);
    // An early end that was asked for is no evidence of a crash.
    if (StreamMigrator::mayBeStopped(active))
        return this->recoverOrFail(active, now, actions);
    actions.emplace_back(CompleteResponse { active.request.id });
    this->completion.complete(active, now, actions);
}

void ExchangeDispatcher::redispatch(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    active.replicaEngine.reset();
    active.attempts -= std::min<std::uint32_t>(active.attempts, 1);
    this->dispatch(active, now, actions);
}

void ExchangeDispatcher::recoverOrFail(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (isStream(active) && this->tryFailover(active, now, actions))
        return;
    this->retryOrFail(active,
        { ErrorCode::EndpointLost, "connection to the endpoint broke", executedStateOf(active),
            this->state.limits.retryAfter },
        now, actions);
}

bool ExchangeDispatcher::tryFailover(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (active.unstoppedRun) {
        if (StreamMigrator::isAwaitingAnswer(active) || this->migrator.stopRun(active, now, actions))
            return true;
        const EndpointId holder = active.replicaEngine.value_or(active.unstoppedRun->endpoint);
        actions.emplace_back(
            Internal::notResumedLogEvent(this->state, active, holder, "its run may not have ended", now));
        return false;
    }
    if (auto run = StreamMigrator::takeStoppedRun(active)) {
        active.stoppedRun = std::move(run);
        return this->resumeStoppedRun(active, now, actions);
    }
    if (StreamMigrator::isAwaitingAnswer(active))
        return true;
    this->migrator.keepCopies(active);
    const auto& stopped = active.stoppedRun;
    // Unlike the copy of a stopped run, a replica may be used twice, so that a second run might begin.
    if (stopped && stopped->isBroken && stopped->mayRunAt)
        return false;
    const bool hasOtherCopy = !active.keptCopies.isEmpty() && !(stopped && stopped->mayRunAt);
    const bool isCopyUseless = stopped && stopped->isBroken && stopped->wasRefused;
    if (stopped && !(hasOtherCopy && isCopyUseless) && this->resumeStoppedRun(active, now, actions))
        return true;
    return hasOtherCopy && this->resumeFromKeptCopy(active, now, actions);
}

bool ExchangeDispatcher::resumeStoppedRun(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    StoppedRun& run = *active.stoppedRun;
    // The caller's stream was whole until the gateway stopped its run, so it goes on even if the exit may cut it again.
    const ResumptionPlace* place = placeOfStoppedRun(this->state, run, now);
    std::string refusal = place ? "" : "endpoint takes no requests";
    if (run.tries >= (run.wasRefused ? maxRefusedResumptionTries : maxResumptionTries))
        refusal = "no tries left";
    const bool mayWait
        = run.tries >= immediateResumptionTries && !run.nextTryAt && this->crashes.mayResume(active, now);
    if (refusal.empty() && mayWait) {
        run.nextTryAt = now + firstResumptionPause * (1U << (run.tries - immediateResumptionTries));
        actions.emplace_back(Internal::requestLogEvent("resumption_waits", active, now));
        return true;
    }
    run.nextTryAt.reset();
    if (run.tries > 0 && refusal.empty() && !this->state.retryBudgetOf(active.service->name).withdraw(now))
        refusal = "retry budget used up";
    ++run.tries;
    const ResumptionPlace chosen = place ? *place : run.target;
    run.triedAt = chosen.endpoint;
    if (!this->resume(active, chosen.endpoint, chosen.point, refusal, now, actions))
        return false;
    if (run.source && chosen.endpoint == run.source->endpoint)
        this->migrator.runReturned(active, now);
    return true;
}

bool ExchangeDispatcher::resumeFromKeptCopy(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    while (const auto copy = active.keptCopies.takeNewest()) {
        std::string refusal;
        if (!this->state.endpoints.acceptsResumption(copy->endpoint, now))
            refusal = "endpoint takes no requests";
        else if (!hasTimeForEventsBeforeStop(this->state, copy->endpoint, now))
            refusal = "the exit is too near";
        active.stoppedRun = StoppedRun::fromCopy(*copy, active.lastEventId);
        if (this->resume(active, copy->endpoint, active.stoppedRun->target.point, refusal, now, actions))
            return true;
        active.stoppedRun.reset();
    }
    return false;
}

bool ExchangeDispatcher::resume(ActiveRequest& active, const EndpointId& endpoint, const ResumePoint& point,
    const std::string& refusal, Instant now, GatewayActions& actions)
{
    const bool isSuspect = !this->crashes.mayResume(active, now);
    if (!refusal.empty() || isSuspect) {
        actions.emplace_back(Internal::notResumedLogEvent(
            this->state, active, endpoint, refusal.empty() ? "suspected of crashes" : refusal, now));
        return false;
    }
    this->startExchange(active, *this->state.endpoints.find(endpoint), point, now, actions);
    this->state.countInStop(&PlannedStop::resumed);
    return true;
}

void ExchangeDispatcher::migrationResponseReceived(
    const MigrationResponseReceived& event, Instant now, GatewayActions& actions)
{
    const auto exchange = this->state.exchanges.find(event.exchange);
    if (exchange != this->state.exchanges.end())
        this->notices.received(
            exchange->second.endpoint, { event.isLeaving, event.restTime, event.rateLimit }, now, actions);
    const auto resumable = this->migrator.migrationResponseReceived(event, now, actions);
    if (!resumable)
        return;
    ActiveRequest& active = *this->findRequest(*resumable);
    if (StreamMigrator::isOver(active))
        return this->streamClosed(active, ExchangeEnd::Closed, now, actions);
    this->recoverOrFail(active, now, actions);
}

void ExchangeDispatcher::eventsRelayed(const EventsRelayed& event, Instant now, GatewayActions& actions)
{
    const auto exchange = this->state.exchanges.find(event.exchange);
    if (exchange == this->state.exchanges.end())
        return;
    Exchange& running = exchange->second;
    ActiveRequest* active = this->findRequest(running.request);
    internalCheck(active, "an exchange belongs to an active request");
    if (running.lastEventAt && event.lastEventId > running.lastEventId) {
        const auto events = static_cast<Duration::rep>(event.lastEventId - running.lastEventId);
        this->state.endpoints.recordEventInterval(running.endpoint, (now - *running.lastEventAt) / events);
    }
    this->state.rolloutTraffic.streamBegan(*active, running, now);
    if (!active->firstEventAt)
        this->state.endpoints.recordFirstEvent(running.endpoint, now - running.startedAt);
    this->state.endpoints.removePendingPrompt(running.endpoint, std::exchange(running.promptTokens, 0));
    running.lastEventId = event.lastEventId;
    running.lastEventAt = now;
    this->crashes.runAdvanced(*active, running, now);
    if (active->lastEventAt)
        active->longestPause = std::max(active->longestPause, now - *active->lastEventAt);
    active->lastEventAt = now;
    active->firstEventAt = active->firstEventAt.value_or(now);
    active->lastEventId = event.lastEventId;
    this->migrator.streamAdvanced(running.endpoint, now, actions);
}

void ExchangeDispatcher::dispatchGroup(const WaitingGroup& group, Instant now, GatewayActions& actions)
{
    while (const auto id = this->state.waiting.next(group, now)) {
        this->dispatch(*this->findRequest(*id), now, actions);
        // No endpoint takes the first one, so none takes the others.
        if (this->state.waiting.contains(*id))
            return;
    }
}

void ExchangeDispatcher::dispatchWaiting(Instant now, GatewayActions& actions)
{
    for (const WaitingGroup& group : this->state.waiting.groups())
        this->dispatchGroup(group, now, actions);
    for (const RequestId id : this->state.waiting.expired(now))
        this->completion.refuseUnserved(*this->findRequest(id), "no endpoint has room", now, actions);
}

void ExchangeDispatcher::resumeWaitingRuns(Instant now, GatewayActions& actions)
{
    std::vector<RequestId> due;
    for (const auto& [id, active] : this->state.requests) {
        if (active.stoppedRun && active.stoppedRun->nextTryAt && *active.stoppedRun->nextTryAt <= now)
            due.push_back(id);
    }
    for (const RequestId id : due)
        this->recoverOrFail(*this->findRequest(id), now, actions);
}

void ExchangeDispatcher::tick(Instant now, GatewayActions& actions)
{
    std::vector<RequestId> expired;
    for (const auto& [id, active] : this->state.requests) {
        if (active.deadline <= now)
            expired.push_back(id);
    }
    for (const RequestId id : expired)
        this->completion.expire(*this->findRequest(id), now, actions);
    this->crashes.tick(now, actions);
    this->resumeWaitingRuns(now, actions);
    this->dispatchWaiting(now, actions);
}

}
