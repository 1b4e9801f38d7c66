#include "core/gateway/RolloutTraffic.h"

#include "core/entry/Rendezvous.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    /** Time after its start in which an endpoint is slow, whatever its version. */
    constexpr Milliseconds warmUpTime(3000);
    /** Events of a stream from which its pace is known. */
    constexpr std::uint64_t minPaceEvents = 8;
    constexpr std::uint16_t firstServerError = 500;

    bool isWatchedPhase(RolloutPhase phase)
    {
        return phase == RolloutPhase::Observing || phase == RolloutPhase::Shifting;
    }

    bool isFailure(const ResponseSummary& response)
    {
        return response.status >= firstServerError || !response.isSigned;
    }

}

Rollout* RolloutTraffic::watched(const ActiveRequest& active)
{
    Rollout* rollout = this->rollouts.find(active.service->name);
    return rollout && isWatchedPhase(rollout->phase) ? rollout : nullptr;
}

bool RolloutTraffic::drawProbe(const ServiceId& service)
{
    Rollout* rollout = this->rollouts.find(service);
    if (!rollout || rollout->phase != RolloutPhase::Observing)
        return false;
    rollout->probeCredit += rollout->probeShare;
    if (rollout->probeCredit < 1)
        return false;
    rollout->probeCredit -= 1;
    return true;
}

void RolloutTraffic::filter(const ActiveRequest& active, std::vector<GatewayEndpoint*>& candidates)
{
    const Rollout* rollout = this->rollouts.find(active.service->name);
    if (!rollout || rollout->phase != RolloutPhase::Observing)
        return;
    const auto isProbe = [&](const GatewayEndpoint* endpoint) { return rollout->probes.contains(endpoint->record.id); };
    const bool mayProbe = active.triesNewVersion && active.attempts == 0;
    if (mayProbe && std::any_of(candidates.begin(), candidates.end(), isProbe))
        std::erase_if(candidates, [&](const GatewayEndpoint* endpoint) { return !isProbe(endpoint); });
    else
        std::erase_if(candidates, [&](const GatewayEndpoint* endpoint) { return isTarget(*rollout, *endpoint); });
}

void RolloutTraffic::filterCopyTargets(const ServiceId& service, std::vector<GatewayEndpoint*>& candidates)
{
    const Rollout* rollout = this->rollouts.find(service);
    if (rollout && rollout->phase == RolloutPhase::Observing)
        std::erase_if(candidates, [&](const GatewayEndpoint* endpoint) { return isTarget(*rollout, *endpoint); });
}

std::uint32_t RolloutTraffic::routeHashOf(const ActiveRequest& active, Measure measure)
{
    static const std::array<std::string, 2> suffixes { "", "\npace" };
    return static_cast<std::uint32_t>(hashOf(active.route->name + suffixes[static_cast<std::size_t>(measure)]));
}

void RolloutTraffic::sent(const ActiveRequest& active, Exchange& exchange, bool isResumed)
{
    Rollout* rollout = this->watched(active);
    const GatewayEndpoint* endpoint = this->endpoints.find(exchange.endpoint);
    // A resumed run has its first event much earlier than a new one.
    exchange.isJudged = !rollout || isResumed;
    if (!rollout || !endpoint)
        return;
    rollout->hasStreams = active.service->engine.has_value();
    rollout->evidence.recordSent(active.attempts <= 1 && !isResumed, isTarget(*rollout, *endpoint));
}

void RolloutTraffic::record(Rollout& rollout, const ActiveRequest& active, const Exchange& exchange, Measure measure,
    std::optional<Duration> time, Instant now)
{
    const GatewayEndpoint* endpoint = this->endpoints.find(exchange.endpoint);
    if (!endpoint)
        return;
    const bool isNew = isTarget(rollout, *endpoint);
    const bool isWarm = endpoint->coldUntil <= now && now - endpoint->knownSince >= warmUpTime;
    if (isNew && time && !isWarm)
        time = Duration(0);
    rollout.evidence.record({ isNew ? endpoint->idHash : 0, routeHashOf(active, measure), time });
}

void RolloutTraffic::answered(
    const ActiveRequest& active, Exchange& exchange, const ResponseSummary& response, Instant now)
{
    Rollout* rollout = this->watched(active);
    // What was not run says nothing of the version; another endpoint may have the address, or this one is full.
    const bool isRunResult = !response.notExecuted && !response.isMisdirected && !promisesNotExecuted(response.status);
    if (!rollout || exchange.isJudged || !isRunResult)
        return;
    const bool isFailed = isFailure(response);
    if (response.isStream && !isFailed)
        return;
    exchange.isJudged = true;
    const auto time = isFailed ? std::nullopt : std::optional<Duration>(now - exchange.startedAt);
    this->record(*rollout, active, exchange, Measure::Response, time, now);
}

void RolloutTraffic::streamBegan(const ActiveRequest& active, Exchange& exchange, Instant now)
{
    Rollout* rollout = this->watched(active);
    if (!rollout || exchange.isJudged)
        return;
    exchange.isJudged = true;
    this->record(*rollout, active, exchange, Measure::Response, now - exchange.startedAt, now);
}

void RolloutTraffic::streamEnded(const ActiveRequest& active, const Exchange& exchange, Instant now)
{
    Rollout* rollout = this->watched(active);
    if (!rollout || !exchange.firstEventAt || exchange.lastEventId < minPaceEvents)
        return;
    const auto events = static_cast<Duration::rep>(exchange.lastEventId);
    this->record(*rollout, active, exchange, Measure::Pace, (now - *exchange.firstEventAt) / events, now);
}

void RolloutTraffic::broke(const ActiveRequest& active, const Exchange& exchange)
{
    if (Rollout* rollout = this->watched(active))
        this->record(*rollout, active, exchange, Measure::Response, std::nullopt, exchange.startedAt);
}

void RolloutTraffic::tick(
    const std::map<RequestId, ActiveRequest>& requests, std::map<ExchangeId, Exchange>& exchanges, Instant now)
{
    if (this->rollouts.empty())
        return;
    std::map<std::uint32_t, std::optional<Duration>> thresholds;
    for (auto& [id, exchange] : exchanges) {
        if (exchange.isJudged)
            continue;
        const ActiveRequest& active = requests.at(exchange.request);
        Rollout* rollout = this->watched(active);
        if (!rollout)
            continue;
        const std::uint32_t route = routeHashOf(active, Measure::Response);
        const auto [threshold, isNew] = thresholds.try_emplace(route);
        if (isNew)
            threshold->second = rollout->evidence.slowThreshold(route);
        if (!threshold->second || now - exchange.startedAt <= *threshold->second)
            continue;
        exchange.isJudged = true;
        this->record(*rollout, active, exchange, Measure::Response, now - exchange.startedAt, now);
    }
}

}
