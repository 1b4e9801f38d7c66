#include "core/gateway/CrashAttribution.h"

#include "core/gateway/EndpointHash.h"
#include "core/gateway/GatewayLog.h"

#include <array>
#include <map>
#include <string_view>

namespace teaselfold {

namespace {

    /** Time after its first event during which a run's prompt may still crash its engine. */
    constexpr Milliseconds startPeriod(1000);
    /** A run that broke at the start at this many engines is not resumed at another one. */
    constexpr std::uint32_t maxBrokenStarts = 2;

    std::string_view outcomeName(ProbeOutcome outcome)
    {
        constexpr std::array<std::string_view, 3> names { "accepted", "refused", "unreachable" };
        return names[static_cast<std::size_t>(outcome)];
    }

}

void CrashAttribution::runBroke(ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions)
{
    actions.emplace_back(Internal::brokenExchangeLogEvent(active, exchange, now));
    // The run went well for a while, so it is not what crashed the endpoint.
    if (active.isPastStart)
        return;
    ++active.brokenStarts;
    this->addEnd(active, exchange, false, now, actions);
}

void CrashAttribution::streamClosed(
    ActiveRequest& active, const Exchange& exchange, Instant now, GatewayActions& actions)
{
    if (active.isPastStart)
        return this->runSucceeded(active, now);
    active.isEndUncertain = true;
    this->addEnd(active, exchange, true, now, actions);
}

void CrashAttribution::addEnd(
    const ActiveRequest& active, const Exchange& exchange, bool mayBeComplete, Instant now, GatewayActions& actions)
{
    // One that leaves refuses connections afterwards without a crash.
    if (!this->state.endpoints.acceptsRequests(exchange.endpoint))
        return;
    this->state.crashDetector.add({ exchange.endpoint, exchange.address, exchange.endpointStartedAt,
        active.request.fingerprint, active.request.sharedPromptParts, now, mayBeComplete });
    this->weighEnds(now, actions);
}

bool CrashAttribution::isReplaced(const EarlyEnd& end)
{
    const GatewayEndpoint* endpoint = this->state.endpoints.find(end.endpoint);
    return endpoint && endpoint->record.startedAt != end.startedAt;
}

void CrashAttribution::weighEnds(Instant now, GatewayActions& actions)
{
    const auto verdicts
        = this->state.crashDetector.weigh([&](const EarlyEnd& end) { return this->isReplaced(end); }, now);
    std::map<EndpointId, std::size_t> suspects;
    for (const EarlyEnd& end : verdicts.crashed) {
        ++suspects[end.endpoint];
        this->state.quarantine.recordDeath(end.fingerprint, end.endpoint, end.at);
        if (end.mayBeComplete)
            actions.emplace_back(LogEvent { "unframed_stream_cut", { { "endpoint", end.endpoint.get() } } });
        this->state.promptParts.recordBrokenStart(
            this->state.randomness.next(), endpointHashOf(end.endpoint), end.promptParts, end.at);
    }
    for (const auto& [endpoint, count] : suspects)
        actions.emplace_back(
            LogEvent { "endpoint_crashed", { { "endpoint", endpoint.get() }, { "suspects", std::to_string(count) } } });
    for (const EarlyEnd& end : verdicts.survived) {
        if (!end.mayBeComplete)
            continue;
        this->state.quarantine.recordSurvival(end.fingerprint, now);
        this->state.promptParts.recordSurvival(end.promptParts, end.at);
    }
}

void CrashAttribution::tick(Instant now, GatewayActions& actions)
{
    this->weighEnds(now, actions);
    this->state.crashDetector.expire(now);
    for (const ProbeEndpoint& probe : this->state.crashDetector.takeDueProbes(now))
        actions.emplace_back(probe);
}

void CrashAttribution::endpointProbed(const EndpointProbed& event, Instant now, GatewayActions& actions)
{
    actions.emplace_back(LogEvent { "endpoint_probed",
        { { "endpoint", event.endpoint.get() }, { "outcome", std::string(outcomeName(event.outcome)) } } });
    this->state.crashDetector.recordProbe(event.endpoint, event.outcome, now);
    this->weighEnds(now, actions);
}

void CrashAttribution::endpointAnswered(const Exchange& exchange, Instant now, GatewayActions& actions)
{
    this->state.crashDetector.recordAnswer(exchange.endpoint, exchange.startedAt);
    this->weighEnds(now, actions);
}

void CrashAttribution::merge(
    const std::vector<RefusedConnection>& refusedConnections, Instant now, GatewayActions& actions)
{
    this->state.crashDetector.merge(refusedConnections, now);
    this->weighEnds(now, actions);
}

void CrashAttribution::connectionRefused(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    this->state.crashDetector.recordRefusedConnection(endpoint, now);
    this->weighEnds(now, actions);
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
