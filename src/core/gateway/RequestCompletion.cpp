#include "core/gateway/RequestCompletion.h"

#include "core/gateway/GatewayLog.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Callers follow a Retry-After of up to this part of the time that they have left. */
    constexpr Milliseconds::rep returnTimeDivisor = 3;

    /** @return the tokens of a stream's events; zero at a service without engines. */
    std::uint64_t outputTokensOf(const ActiveRequest& active)
    {
        return active.service->engine ? active.lastEventId * active.service->engine->tokensPerEvent : 0;
    }

}

void RequestCompletion::refuseUnserved(
    ActiveRequest& active, const std::string& reason, Instant now, GatewayActions& actions)
{
    auto line = Internal::requestLogEvent("refused", active, now);
    line.fields.push_back({ "reason", reason });
    actions.emplace_back(std::move(line));
    this->fail(active, { ErrorCode::NoCapacity, reason, executedStateOf(active), this->retryAfterOf(active, now) }, now,
        actions);
}

void RequestCompletion::refuseForStop(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    auto line = Internal::requestLogEvent("refused", active, now);
    line.fields.push_back({ "reason", "stopping" });
    actions.emplace_back(std::move(line));
    this->failForStop(active, now, actions);
}

void RequestCompletion::failForStop(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    this->fail(active,
        { ErrorCode::Stopping, "this instance is being stopped", executedStateOf(active),
            this->state.limits.retryAfter },
        now, actions);
}

Milliseconds RequestCompletion::retryAfterOf(const ActiveRequest& active, Instant now)
{
    const Milliseconds shortest = this->state.limits.retryAfter;
    const ServiceId& service = active.service->name;
    const auto next = this->state.endpoints.nextReturn(service, now);
    if (next && next->isRateLimited) {
        const Duration interval = this->state.endpoints.rateLimits().intervalOf(service, now).value_or(Duration(0));
        return this->state.returnTurns.turnAway(
            service, active.request.fingerprint, { next->time, Milliseconds::max(), interval }, now);
    }
    const Milliseconds earliest = std::max(shortest, next ? next->time : shortest);
    if (const auto interval = this->state.returnTurns.measuredInterval(service, now)) {
        const Milliseconds longest = timeLeft(active, now) / returnTimeDivisor;
        return this->state.returnTurns.turnAway(
            service, active.request.fingerprint, { earliest, longest, *interval }, now);
    }
    if (earliest == shortest)
        return shortest;
    // Spread, so that callers do not all come back in the instant in which the endpoint does.
    const auto spread = static_cast<std::uint64_t>(shortest.count());
    return earliest + Milliseconds(static_cast<Milliseconds::rep>(this->state.randomness.next() % spread));
}

void RequestCompletion::refuseQuarantined(
    ActiveRequest& active, const QuarantineVerdict& verdict, Instant now, GatewayActions& actions)
{
    auto line = Internal::requestLogEvent("refused", active, now);
    line.fields.push_back({ "reason", verdict.reason });
    line.fields.push_back({ "prompt_parts", Internal::promptPartsText(active.request.sharedPromptParts) });
    actions.emplace_back(std::move(line));
    this->fail(active,
        { ErrorCode::Quarantined, "endpoints crashed: " + verdict.reason, executedStateOf(active), verdict.remaining },
        now, actions);
}

std::optional<Exchange> RequestCompletion::removeExchange(ExchangeId id)
{
    const auto found = this->state.exchanges.find(id);
    if (found == this->state.exchanges.end())
        return std::nullopt;
    Exchange exchange = found->second;
    this->state.exchanges.erase(found);
    this->state.endpoints.endExchange(exchange.endpoint, exchange.tokens);
    this->state.endpoints.removePendingPrompt(exchange.endpoint, exchange.promptTokens);
    if (exchange.replicaEngine)
        this->state.endpoints.removeCopy(*exchange.replicaEngine, exchange.tokens);
    return exchange;
}

void RequestCompletion::remove(const ActiveRequest& active, Instant now, GatewayActions& actions)
{
    const RequestId request = active.request.id;
    this->migrator.discard(active, now, actions);
    this->state.waiting.remove(request);
    this->state.requests.erase(request);
}

void RequestCompletion::fail(ActiveRequest& active, Failure failure, Instant now, GatewayActions& actions)
{
    this->recordCutOutput(active);
    const Metric metric = failure.run == Executed::No ? Metric::Refusal : Metric::Failed;
    Internal::observe(actions, active, metric, 1, std::string(errorCodeName(failure.code)));
    this->state.countInStop(failure.run == Executed::No ? &PlannedStop::refused : &PlannedStop::failed);
    if (active.responseStarted)
        actions.emplace_back(AbortResponse { active.request.id });
    else
        actions.emplace_back(RefuseRequest { active.request.id, std::move(failure) });
    this->remove(active, now, actions);
}

void RequestCompletion::complete(const ActiveRequest& active, Instant now, GatewayActions& actions)
{
    this->crashes.requestCompleted(active, now);
    if (const std::uint64_t tokens = outputTokensOf(active); tokens > 0)
        this->state.outputLengths.recordEnd(outputRequestOf(active), tokens);
    actions.emplace_back(Internal::completedLogEvent(active, now));
    Internal::observeCompleted(actions, active, now);
    this->state.countInStop(&PlannedStop::completed);
    this->remove(active, now, actions);
}

void RequestCompletion::recordCutOutput(const ActiveRequest& active)
{
    if (const std::uint64_t tokens = outputTokensOf(active); tokens > 0)
        this->state.outputLengths.recordCut(outputRequestOf(active), tokens);
}

void RequestCompletion::abandon(RequestId request, const std::string& reason, Instant now, GatewayActions& actions)
{
    const auto found = this->state.requests.find(request);
    if (found == this->state.requests.end())
        return;
    ActiveRequest& active = found->second;
    auto line = Internal::endedLogEvent("abandoned", this->state, active, now);
    line.fields.push_back({ "reason", reason });
    actions.emplace_back(std::move(line));
    this->cancelExchange(active, actions);
    this->recordCutOutput(active);
    Internal::observe(actions, active, Metric::Cancelled);
    this->remove(active, now, actions);
}

void RequestCompletion::cancelExchange(ActiveRequest& active, GatewayActions& actions)
{
    if (!active.exchange)
        return;
    active.mayHaveRun = true;
    this->removeExchange(*active.exchange);
    actions.emplace_back(CancelExchange { *active.exchange });
    active.exchange.reset();
}

void RequestCompletion::cutAll(Instant now, GatewayActions& actions)
{
    std::vector<RequestId> cut;
    for (const auto& [id, active] : this->state.requests) {
        cut.push_back(id);
        actions.emplace_back(Internal::endedLogEvent("cut", this->state, active, now));
        this->state.countInStop(&PlannedStop::cut);
    }
    for (const RequestId id : cut) {
        ActiveRequest& active = this->state.requests.at(id);
        this->cancelExchange(active, actions);
        this->failForStop(active, now, actions);
    }
}

void RequestCompletion::expire(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    actions.emplace_back(Internal::endedLogEvent("timed_out", this->state, active, now));
    this->cancelExchange(active, actions);
    if (active.mayHaveRun)
        return this->fail(
            active, { ErrorCode::DeadlineExceeded, "no answer in time", Executed::Unknown, {} }, now, actions);
    this->fail(active,
        { ErrorCode::NoCapacity, "no endpoint had room in time", Executed::No, this->state.limits.retryAfter }, now,
        actions);
}

}
