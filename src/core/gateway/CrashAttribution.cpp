#include "core/gateway/CrashAttribution.h"

#include "core/gateway/EndpointHash.h"
#include "core/gateway/GatewayLog.h"

namespace teaselfold {

namespace {

    /** Time after its first event during which a run's prompt may still crash its engine. */
    constexpr Milliseconds startPeriod(1000);
    /** A run that broke at the start at this many engines is not resumed at another one. */
    constexpr std::uint32_t maxBrokenStarts = 2;

    void logCrash(const EndpointId& endpoint, std::size_t suspects, GatewayActions& actions)
    {
        if (suspects > 0)
            actions.emplace_back(LogEvent {
                "endpoint_crashed", { { "endpoint", endpoint.get() }, { "suspects", std::to_string(suspects) } } });
    }

}

void CrashAttribution::runBroke(ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions)
{
    actions.emplace_back(Internal::brokenExchangeLogEvent(active, exchange, now));
    // The run went well for a while, so it is not what crashed the endpoint.
    if (active.isPastStart)
        return;
    ++active.brokenStarts;
    this->state.promptParts.recordBrokenStart(
        this->state.randomness.next(), endpointHashOf(exchange.endpoint), active.request.sharedPromptParts, now);
    logCrash(exchange.endpoint,
        this->state.crashDetector.recordBrokenConnection(exchange.endpoint, active.request.fingerprint, now), actions);
}

void CrashAttribution::streamClosed(
    ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions)
{
    if (active.isPastStart)
        return this->runSucceeded(active, now);
    active.isEndUncertain = true;
    const GatewayEndpoint* endpoint = this->state.endpoints.find(exchange.endpoint);
    // One that leaves refuses connections afterwards without a crash.
    if (!endpoint || !this->state.endpoints.acceptsRequests(exchange.endpoint))
        return;
    const Fingerprint fingerprint = active.request.fingerprint;
    this->state.unframedEnds.add(
        { exchange.endpoint, endpoint->record.startedAt, fingerprint, active.request.sharedPromptParts, now, false });
    logCrash(exchange.endpoint, this->state.crashDetector.recordBrokenConnection(exchange.endpoint, fingerprint, now),
        actions);
}

SeenSince CrashAttribution::seenSince(const UnframedEnd& end)
{
    if (this->state.crashDetector.hasRefusedSince(end.endpoint, end.at))
        return SeenSince::Crash;
    const GatewayEndpoint* endpoint = this->state.endpoints.find(end.endpoint);
    if (!endpoint)
        return SeenSince::Nothing;
    return endpoint->record.startedAt == end.startedAt ? SeenSince::SameIncarnation : SeenSince::Crash;
}

void CrashAttribution::weighUnframedEnds(Instant now, GatewayActions& actions)
{
    const auto verdicts
        = this->state.unframedEnds.weigh([&](const UnframedEnd& end) { return this->seenSince(end); }, now);
    for (const UnframedEnd& end : verdicts.crashed) {
        actions.emplace_back(LogEvent { "unframed_stream_cut", { { "endpoint", end.endpoint.get() } } });
        this->state.promptParts.recordBrokenStart(
            this->state.randomness.next(), endpointHashOf(end.endpoint), end.promptParts, end.at);
    }
    for (const UnframedEnd& end : verdicts.survived) {
        this->state.quarantine.recordSurvival(end.fingerprint, now);
        this->state.promptParts.recordSurvival(end.promptParts, end.at);
    }
}

void CrashAttribution::connectionRefused(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    logCrash(endpoint, this->state.crashDetector.recordRefusedConnection(endpoint, now), actions);
}

void CrashAttribution::runAdvanced(ActiveRequest& active, Exchange& exchange, Instant now)
{
    exchange.firstEventAt = exchange.firstEventAt.value_or(now);
    if (exchange.isPastStart || now - *exchange.firstEventAt < startPeriod)
        return;
    exchange.isPastStart = true;
    active.isPastStart = true;
    this->state.quarantine.recordSurvival(active.request.fingerprint, now);
    this->runSucceeded(active, now);
}

void CrashAttribution::requestCompleted(const ActiveRequest& active, Instant now)
{
    if (active.isEndUncertain)
        return;
    this->state.quarantine.recordSurvival(active.request.fingerprint, now);
}

void CrashAttribution::runSucceeded(const ActiveRequest& active, Instant now)
{
    this->state.promptParts.recordSurvival(active.request.sharedPromptParts, now);
}

std::optional<QuarantineVerdict> CrashAttribution::quarantineOf(const ActiveRequest& active, Instant now) const
{
    const Milliseconds part = this->state.promptParts.remainingQuarantine(active.request.sharedPromptParts, now);
    if (part > Milliseconds(0))
        return QuarantineVerdict { "prompt part quarantined", part };
    const Milliseconds request = this->state.quarantine.remainingQuarantine(active.request.fingerprint, now);
    if (request > Milliseconds(0))
        return QuarantineVerdict { "request quarantined", request };
    return std::nullopt;
}

bool CrashAttribution::mayResume(const ActiveRequest& active, Instant now) const
{
    if (active.isPastStart)
        return true;
    return active.brokenStarts < maxBrokenStarts && !this->state.promptParts.isSuspect(active.request.sharedPromptParts)
        && this->state.quarantine.remainingQuarantine(active.request.fingerprint, now) == Milliseconds(0);
}

}
