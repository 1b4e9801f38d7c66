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
    /**
     * A copy that takes longer waited for other transfers on the links. The run is stopped only after a short one,
     * since its caller waits as long as the last copy takes.
     */
    constexpr Milliseconds shortCopy(25);
    /** Calls after which the links stay too slow to stop the run: its copy is kept for when its engine is gone. */
    constexpr std::uint32_t mostCalls = 12;
    /** An engine's notice is not long enough for more. */
    constexpr std::uint32_t mostFailedMoves = 4;

    std::uint64_t expectedRemainder(const ActiveRequest& active)
    {
        const std::uint64_t expected = active.tokens - std::min(active.tokens, active.request.promptTokens);
        const std::uint64_t made = active.lastEventId * active.service->engine->tokensPerEvent;
        // A run past its expected length goes on for an unknown time; half of what it made is a usual guess.
        return expected > made ? expected - made : made / 2;
    }

    std::string_view outcomeName(MigrationOutcome outcome)
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
    if (!active.service->engine || !active.service->engine->canMigrate || active.move)
        return false;
    if (active.replicaAt && this->state.endpoints.mayWork(*active.replicaAt))
        return false;
    const bool hasBegun = active.lastEventId > 0;
    return hasBegun && active.failedMoves < mostFailedMoves && expectedRemainder(active) >= shortestRemainder;
}

void MoveKeeper::endpointLeaves(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    this->leaving.try_emplace(endpoint);
    this->startNext(endpoint, now, actions);
}

void MoveKeeper::streamAdvanced(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    this->startNext(endpoint, now, actions);
}

ActiveRequest* MoveKeeper::nextToMove(const EndpointId& source)
{
    ActiveRequest* next = nullptr;
    for (const auto& [id, exchange] : this->state.exchanges) {
        if (exchange.endpoint != source)
            continue;
        ActiveRequest& active = this->state.requests.at(exchange.request);
        if (this->isWorthMoving(active) && (!next || expectedRemainder(active) > expectedRemainder(*next)))
            next = &active;
    }
    return next;
}

void MoveKeeper::startNext(const EndpointId& source, Instant now, GatewayActions& actions)
{
    const auto entry = this->leaving.find(source);
    if (entry == this->leaving.end() || entry->second)
        return;
    ActiveRequest* next = this->nextToMove(source);
    if (next && this->start(*next, source, now, actions))
        entry->second = next->request.id;
}

bool MoveKeeper::start(ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions)
{
    const Exchange& exchange = this->state.exchanges.at(*active.exchange);
    std::set<EndpointId> excluded = active.fullTargets;
    excluded.insert(source);
    const GatewayEndpoint* target = placeCopy(this->state, active, { exchange.zone, std::move(excluded), {} }, now);
    if (!target)
        return false;
    active.move = RunMove { MovePhase::Copying, *active.exchange, source, exchange.address, target->record.id,
        target->record.address, now, 0, active.tokens, std::nullopt, false };
    this->state.endpoints.addCopy(target->record.id, active.tokens);
    this->byExchange[*active.exchange] = active.request.id;
    this->order(active, now, actions);
    actions.emplace_back(moveLine("move_started", active, now));
    return true;
}

void MoveKeeper::order(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    RunMove& move = *active.move;
    move.orderedAt = now;
    ++move.calls;
    const bool stopsSource = move.phase == MovePhase::Finishing;
    actions.emplace_back(StartMigration {
        move.exchange, move.sourceAddress, active.request.callerRequestId, move.targetAddress, stopsSource });
}

std::optional<RequestId> MoveKeeper::answered(
    const MigrationResponseReceived& event, Instant now, GatewayActions& actions)
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
    const bool copied = event.outcome == MigrationOutcome::Copied;
    if (copied)
        move.copy = event.handle;
    if (move.phase == MovePhase::Copying && copied && !move.streamEnded && move.calls < mostCalls) {
        if (now - move.orderedAt < shortCopy)
            move.phase = MovePhase::Finishing;
        this->order(active, now, actions);
        return std::nullopt;
    }
    const EndpointId source = move.source;
    const bool streamEnded = move.streamEnded;
    if (!copied) {
        ++active.failedMoves;
        active.fullTargets.insert(move.target);
    }
    this->settle(move);
    move.phase = MovePhase::Done;
    if (!move.copy)
        active.move.reset();
    this->startNext(source, now, actions);
    return streamEnded ? std::optional(id) : std::nullopt;
}

void MoveKeeper::settle(const RunMove& move)
{
    if (this->byExchange.erase(move.exchange) == 0)
        return;
    this->state.endpoints.removeCopy(move.target, move.tokens);
    const auto source = this->leaving.find(move.source);
    if (source != this->leaving.end())
        source->second.reset();
}

void MoveKeeper::expire()
{
    std::erase_if(this->leaving, [&](const auto& entry) {
        return std::none_of(this->state.exchanges.begin(), this->state.exchanges.end(),
            [&](const auto& exchange) { return exchange.second.endpoint == entry.first; });
    });
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
    active.failedMoves = 0;
    active.fullTargets.clear();
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
    this->settle(*active.move);
    this->startNext(active.move->source, now, actions);
}

}
