#include "core/gateway/MoveKeeper.h"

#include "core/gateway/CopyPlacement.h"
#include "core/gateway/GatewayLog.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    /** A run with fewer tokens left is done before its engine is gone. */
    constexpr std::uint64_t shortestRemainder = 100;

    std::uint64_t expectedRemainder(const ActiveRequest& active)
    {
        const std::uint64_t expected = active.tokens - std::min(active.tokens, active.request.promptTokens);
        const std::uint64_t made = active.lastEventId * active.service->engine->tokensPerEvent;
        // A run past its expected length goes on for an unknown time; half of what it made is a usual guess.
        return expected > made ? expected - made : made / 2;
    }

    std::string_view outcomeName(MoveOutcome outcome)
    {
        constexpr std::array<std::string_view, 5> names { "copied", "no_such_run", "in_progress", "no_room", "failed" };
        return names[static_cast<std::size_t>(outcome)];
    }

    LogEvent moveLine(std::string name, const ActiveRequest& active, Instant now)
    {
        auto line = Internal::requestLine(std::move(name), active, now);
        line.fields.push_back({ "source", active.move->source.get() });
        line.fields.push_back({ "target", active.move->target.get() });
        line.fields.push_back({ "last_event", std::to_string(active.lastEventId) });
        return line;
    }

}

bool MoveKeeper::isWorthMoving(const ActiveRequest& active) const
{
    if (!active.service->engine || !active.service->engine->canMove || active.move)
        return false;
    if (active.replicaAt && this->state.endpoints.mayWork(*active.replicaAt))
        return false;
    return active.isAnswering && expectedRemainder(active) >= shortestRemainder;
}

void MoveKeeper::endpointLeaves(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    std::vector<const ActiveRequest*> moving;
    for (const auto& [id, exchange] : this->state.exchanges) {
        if (exchange.endpoint != endpoint)
            continue;
        const ActiveRequest& active = this->state.requests.at(exchange.request);
        if (this->isWorthMoving(active))
            moving.push_back(&active);
    }
    std::sort(moving.begin(), moving.end(),
        [](const auto* left, const auto* right) { return expectedRemainder(*left) > expectedRemainder(*right); });
    for (const ActiveRequest* active : moving)
        this->queues[endpoint].push_back(active->request.id);
    this->startNext(endpoint, now, actions);
}

void MoveKeeper::startNext(const EndpointId& source, Instant now, GatewayActions& actions)
{
    const auto queue = this->queues.find(source);
    while (queue != this->queues.end() && !queue->second.empty() && !this->underWay.contains(source)) {
        const RequestId id = queue->second.front();
        queue->second.pop_front();
        const auto found = this->state.requests.find(id);
        if (found == this->state.requests.end() || !this->isWorthMoving(found->second))
            continue;
        if (this->start(found->second, source, now, actions))
            this->underWay[source] = id;
    }
    if (queue != this->queues.end() && queue->second.empty())
        this->queues.erase(queue);
}

bool MoveKeeper::start(ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions)
{
    const auto exchange = active.exchange ? this->state.exchanges.find(*active.exchange) : this->state.exchanges.end();
    if (exchange == this->state.exchanges.end() || exchange->second.endpoint != source)
        return false;
    const GatewayEndpoint* target = placeCopy(this->state, active, exchange->second.zone, { source }, now);
    if (!target)
        return false;
    active.move = RunMove { MovePhase::Copying, *active.exchange, source, exchange->second.address, target->record.id,
        target->record.address, std::nullopt, false };
    this->byExchange[*active.exchange] = active.request.id;
    this->order(active, false, actions);
    actions.emplace_back(moveLine("move_started", active, now));
    return true;
}

void MoveKeeper::order(const ActiveRequest& active, bool stopsRun, GatewayActions& actions)
{
    const RunMove& move = *active.move;
    actions.emplace_back(
        StartMove { move.exchange, move.sourceAddress, active.request.callerId, move.targetAddress, stopsRun });
}

std::optional<RequestId> MoveKeeper::answered(const MoveAnswered& event, Instant now, GatewayActions& actions)
{
    const auto entry = this->byExchange.find(event.exchange);
    if (entry == this->byExchange.end())
        return std::nullopt;
    const RequestId id = entry->second;
    ActiveRequest& active = this->state.requests.at(id);
    RunMove& move = *active.move;
    auto line = moveLine("move_answered", active, now);
    line.fields.push_back({ "phase", move.phase == MovePhase::Copying ? "copying" : "finishing" });
    line.fields.push_back({ "outcome", std::string(outcomeName(event.outcome)) });
    actions.emplace_back(std::move(line));
    const bool copied = event.outcome == MoveOutcome::Copied;
    if (copied)
        move.copy = event.handle;
    if (move.phase == MovePhase::Copying && copied && !move.streamEnded) {
        move.phase = MovePhase::Finishing;
        this->order(active, true, actions);
        return std::nullopt;
    }
    const EndpointId source = move.source;
    const bool streamEnded = move.streamEnded;
    move.phase = MovePhase::Done;
    if (!move.copy)
        active.move.reset();
    this->byExchange.erase(entry);
    this->underWay.erase(source);
    this->startNext(source, now, actions);
    return streamEnded ? std::optional(id) : std::nullopt;
}

bool MoveKeeper::isWaiting(const ActiveRequest& active)
{
    return active.move && active.move->phase != MovePhase::Done && active.move->streamEnded;
}

std::optional<ResumePoint> MoveKeeper::takeResumePoint(ActiveRequest& active)
{
    if (!active.move || !active.move->copy)
        return std::nullopt;
    const ResumePoint point { active.move->targetAddress, *active.move->copy, active.lastEventId };
    active.move.reset();
    return point;
}

std::optional<ResumePoint> MoveKeeper::streamEnded(ActiveRequest& active)
{
    if (!active.move)
        return std::nullopt;
    active.move->streamEnded = true;
    // The answer to the move under way tells whether there is a copy.
    if (active.move->phase != MovePhase::Done)
        return std::nullopt;
    return takeResumePoint(active);
}

void MoveKeeper::forget(const ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (!active.move)
        return;
    this->byExchange.erase(active.move->exchange);
    const auto underWayHere = this->underWay.find(active.move->source);
    if (underWayHere == this->underWay.end() || underWayHere->second != active.request.id)
        return;
    this->underWay.erase(underWayHere);
    this->startNext(active.move->source, now, actions);
}

}
