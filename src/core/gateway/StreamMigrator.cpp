#include "core/gateway/StreamMigrator.h"

#include "core/gateway/CopyPlacement.h"
#include "core/gateway/GatewayLog.h"
#include "core/gateway/StreamForecast.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    /**
     * A copy that takes longer has queued behind other transfers. The run is stopped only after a faster copy, since
     * the stream pauses for as long as the last copy takes.
     */
    constexpr Milliseconds fastCopyThreshold(25);
    /** After this many calls the links are too slow to stop the run; the copy is used if the stream breaks. */
    constexpr std::uint32_t maxCopyCalls = 12;
    /**
     * Time after the call that stops a run in which the target gets the stream even if it has begun to leave. Shorter
     * than the time for which leaving endpoints and zones still take requests.
     */
    constexpr Milliseconds preparedTargetTime(500);
    /** Attempts to migrate a run that may fail in a row. */
    constexpr std::uint32_t maxFailedMigrations = 12;
    /** Time after which failed attempts and targets no longer count: room and connections return within moments. */
    constexpr Milliseconds migrationRetryDelay(300);

    /** @return true if the run has a migration that may not be replaced by another one. */
    bool isMigrating(const ActiveRequest& active)
    {
        const auto& migration = active.migration;
        return migration
            && (migration->phase != MigrationPhase::Done || migration->mayBeStopped || migration->streamEnd
                || migration->callCount >= maxCopyCalls);
    }

    /** Keeps the copy of a migration that is over or given up. */
    void keepCopy(ActiveRequest& active)
    {
        const auto& migration = active.migration;
        if (migration && migration->phase == MigrationPhase::Done && migration->copy)
            active.keptCopies.add(
                { migration->target, migration->sourceAddress, *migration->copy, migration->copiedAtEvent });
    }

    std::string_view outcomeName(MigrationOutcome outcome)
    {
        constexpr std::array<std::string_view, 6> names { "copied", "no_such_run", "in_progress", "no_room", "failed",
            "unreachable" };
        return names[static_cast<std::size_t>(outcome)];
    }

    LogEvent migrationLogEvent(std::string name, const ActiveRequest& active, Instant now)
    {
        auto line = Internal::requestLogEvent(std::move(name), active, now);
        line.fields.push_back({ "source", active.migration->source.get() });
        line.fields.push_back({ "target", active.migration->target.get() });
        line.fields.push_back({ "last_event", std::to_string(active.lastEventId) });
        return line;
    }

}

bool StreamMigrator::isWorthMigrating(const ActiveRequest& active, Instant now) const
{
    if (!active.service->engine || !active.service->engine->canMigrate || isMigrating(active))
        return false;
    if (active.replicaEngine && this->state.endpoints.acceptsRequests(*active.replicaEngine))
        return false;
    // Until an engine has accepted a stopped run, another stop would end its only way back.
    const bool hasBegun = active.lastEventId > 0 && !active.stoppedRun;
    const bool mayTry
        = active.failedMigrations < maxFailedMigrations || now - active.migrationFailedAt >= migrationRetryDelay;
    return hasBegun && mayTry && this->crashes.mayResume(active, now) && endsBeforeStop(this->state, active, now);
}

MovableRun StreamMigrator::movableRun(const ActiveRequest& active) const
{
    const bool hasCopy = !active.keptCopies.isEmpty() || (active.migration && active.migration->copy);
    return { heldTokens(active), expectedRemainingTokens(active), expectedRemainingTime(this->state, active), hasCopy };
}

Duration StreamMigrator::timeLeft(const EndpointId& source, const ServiceId& service, Instant now) const
{
    const Duration left = this->draining.at(source).since + this->state.departureTimes.shortest(service) - now;
    return std::max(left, Duration(0));
}

void StreamMigrator::exchangeBroke(const Exchange& exchange, const ServiceId& service, Instant now)
{
    const auto source = this->draining.find(exchange.endpoint);
    if (source == this->draining.end() || std::exchange(source->second.hasEnded, true))
        return;
    this->state.departureTimes.record(service, now - source->second.since);
}

void StreamMigrator::drainEndpoint(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    this->draining.try_emplace(endpoint, Draining { now, std::nullopt, false });
    this->startNextMigration(endpoint, now, actions);
}

void StreamMigrator::keepEndpoint(const EndpointId& endpoint) { this->draining.erase(endpoint); }

void StreamMigrator::streamAdvanced(const EndpointId& endpoint, Instant now, GatewayActions& actions)
{
    this->startNextMigration(endpoint, now, actions);
}

ActiveRequest* StreamMigrator::nextToMigrate(const EndpointId& source, Instant now)
{
    ActiveRequest* next = nullptr;
    MovableRun first;
    for (const auto& [id, exchange] : this->state.exchanges) {
        if (exchange.endpoint != source)
            continue;
        ActiveRequest& active = this->state.requests.at(exchange.request);
        if (!this->isWorthMigrating(active, now))
            continue;
        const MovableRun run = this->movableRun(active);
        if (!needsMove(run, this->timeLeft(source, active.service->name, now)) || (next && !movesBefore(run, first)))
            continue;
        next = &active;
        first = run;
    }
    return next;
}

void StreamMigrator::startNextMigration(const EndpointId& source, Instant now, GatewayActions& actions)
{
    const auto entry = this->draining.find(source);
    if (entry == this->draining.end() || entry->second.migrating || !this->acceptsCopyCalls(source, now))
        return;
    ActiveRequest* next = this->nextToMigrate(source, now);
    if (next && this->startMigration(*next, source, now, actions))
        entry->second.migrating = next->request.id;
}

bool StreamMigrator::acceptsCopyCalls(const EndpointId& source, Instant now) const
{
    return !this->state.endpoints.isResting(source, now) && this->state.endpoints.rateLimits().allows(source, 0, now);
}

bool StreamMigrator::startMigration(
    ActiveRequest& active, const EndpointId& source, Instant now, GatewayActions& actions)
{
    const Exchange& exchange = this->state.exchanges.at(*active.exchange);
    if (now - active.migrationFailedAt >= migrationRetryDelay) {
        active.failedMigrations = 0;
        active.failedTargets.clear();
    }
    std::set<EndpointId> excluded = active.failedTargets;
    excluded.insert(source);
    const GatewayEndpoint* target
        = chooseCopyTarget(this->state, active, { exchange.zone, std::move(excluded), {} }, now);
    if (!target)
        return false;
    keepCopy(active);
    StreamMigration& migration = active.migration.emplace();
    migration.exchange = *active.exchange;
    migration.source = source;
    migration.sourceAddress = exchange.address;
    migration.target = target->record.id;
    migration.targetAddress = target->record.address;
    migration.tokens = active.tokens;
    this->state.endpoints.addCopy(target->record.id, active.tokens);
    this->requestByExchange[*active.exchange] = active.request.id;
    this->sendCopyCall(active, now, actions);
    actions.emplace_back(migrationLogEvent("move_started", active, now));
    return true;
}

void StreamMigrator::sendCopyCall(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    StreamMigration& migration = *active.migration;
    migration.lastCallAt = now;
    migration.calledAtEvent = active.lastEventId;
    ++migration.callCount;
    this->state.endpoints.rateLimits().recordSent(migration.source);
    const bool stopsSource = migration.phase == MigrationPhase::Finishing;
    migration.mayBeStopped = stopsSource;
    if (stopsSource)
        migration.stopCallAt = now;
    actions.emplace_back(StartMigration { migration.exchange, migration.sourceAddress, active.request.callerRequestId,
        migration.targetAddress, stopsSource });
}

std::optional<RequestId> StreamMigrator::migrationResponseReceived(
    const MigrationResponseReceived& event, Instant now, GatewayActions& actions)
{
    const auto entry = this->requestByExchange.find(event.exchange);
    if (entry == this->requestByExchange.end())
        return std::nullopt;
    const RequestId id = entry->second;
    ActiveRequest& active = this->state.requests.at(id);
    StreamMigration& migration = *active.migration;
    auto line = migrationLogEvent("move_answered", active, now);
    line.fields.push_back({ "phase", migration.phase == MigrationPhase::Copying ? "copying" : "finishing" });
    line.fields.push_back({ "outcome", std::string(outcomeName(event.outcome)) });
    actions.emplace_back(std::move(line));
    const bool copied = event.outcome == MigrationOutcome::Copied;
    if (migration.phase == MigrationPhase::Finishing)
        migration.isStopped = copied || (event.outcome == MigrationOutcome::NoRoom && !event.handle.get().empty());
    if (active.unstoppedRun && (migration.isStopped || hasEnded(active, event.outcome)))
        active.unstoppedRun.reset();
    if (copied) {
        migration.copy = event.handle;
        migration.copiedAtEvent = migration.calledAtEvent;
    }
    if (event.outcome == MigrationOutcome::NoRoom)
        this->state.copyRefusals.record(migration.target, heldTokens(active), now);
    if (migration.phase == MigrationPhase::Finishing && !event.handle.get().empty())
        migration.keptAtSource = event.handle;
    if (event.outcome == MigrationOutcome::NoSuchRun || event.outcome == MigrationOutcome::InProgress)
        migration.mayBeStopped = false;
    const bool isRunning = migration.phase == MigrationPhase::Copying && !migration.streamEnd;
    if (isRunning && !this->canResumeAtTarget(active, now)) {
        this->abandonTarget(active, now, actions);
        return std::nullopt;
    }
    if (isRunning && copied && migration.callCount < maxCopyCalls && this->acceptsCopyCalls(migration.source, now)) {
        if (now - migration.lastCallAt < fastCopyThreshold)
            migration.phase = MigrationPhase::Finishing;
        this->sendCopyCall(active, now, actions);
        return std::nullopt;
    }
    const EndpointId source = migration.source;
    const bool streamEnded = migration.streamEnd.has_value();
    if (!copied) {
        ++active.failedMigrations;
        active.migrationFailedAt = now;
        active.failedTargets.insert(migration.target);
    }
    this->endMigration(migration);
    migration.phase = MigrationPhase::Done;
    if (!migration.copy)
        active.migration.reset();
    this->startNextMigration(source, now, actions);
    return streamEnded ? std::optional(id) : std::nullopt;
}

bool StreamMigrator::canResumeAtTarget(const ActiveRequest& active, Instant now) const
{
    return this->state.endpoints.acceptsResumption(active.migration->target, now)
        && this->crashes.mayResume(active, now) && endsBeforeStop(this->state, active, now);
}

void StreamMigrator::abandonTarget(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    const EndpointId source = active.migration->source;
    actions.emplace_back(migrationLogEvent("move_abandoned", active, now));
    active.migrationFailedAt = now;
    active.failedTargets.insert(active.migration->target);
    this->endMigration(*active.migration);
    active.migration->phase = MigrationPhase::Done;
    if (!active.migration->copy)
        active.migration.reset();
    this->startNextMigration(source, now, actions);
}

void StreamMigrator::endMigration(const StreamMigration& migration)
{
    if (this->requestByExchange.erase(migration.exchange) == 0)
        return;
    this->state.endpoints.removeCopy(migration.target, migration.tokens);
    const auto source = this->draining.find(migration.source);
    if (source != this->draining.end())
        source->second.migrating.reset();
}

void StreamMigrator::expire(Instant now)
{
    this->state.copyRefusals.expire(now);
    std::erase_if(this->draining, [&](const auto& entry) {
        return std::none_of(this->state.exchanges.begin(), this->state.exchanges.end(),
            [&](const auto& exchange) { return exchange.second.endpoint == entry.first; });
    });
}

bool StreamMigrator::isTargetPrepared(std::optional<Instant> stopCallAt, Instant now)
{
    return stopCallAt && now - *stopCallAt < preparedTargetTime;
}

bool StreamMigrator::isAwaitingAnswer(const ActiveRequest& active)
{
    return active.migration && active.migration->phase != MigrationPhase::Done && active.migration->streamEnd;
}

bool StreamMigrator::mayBeStopped(const ActiveRequest& active)
{
    return active.migration && active.migration->mayBeStopped;
}

void StreamMigrator::streamEnded(ActiveRequest& active, ExchangeEnd end)
{
    if (active.migration)
        active.migration->streamEnd = end;
}

void StreamMigrator::connectionLost(ActiveRequest& active, ExchangeId id, const Exchange& exchange, ExchangeEnd end)
{
    // A stopped run goes on from its copy, which can be used once, and nowhere else once an engine may have used it.
    if (!active.stoppedRun && !(active.migration && active.migration->isStopped))
        active.unstoppedRun = UnstoppedRun { id, exchange.endpoint, exchange.address, exchange.zone,
            exchange.lastEventAt.has_value(), end, false };
}

bool StreamMigrator::hasEnded(const ActiveRequest& active, MigrationOutcome outcome)
{
    if (outcome == MigrationOutcome::Unreachable)
        return true;
    // An engine knows no run that waits for its first event, and may begin it later.
    return outcome == MigrationOutcome::NoSuchRun && active.unstoppedRun->hasBegun
        && active.service->engine->canMigrate;
}

const GatewayEndpoint* StreamMigrator::targetOfUnstoppedRun(const ActiveRequest& active, Instant now) const
{
    const UnstoppedRun& run = *active.unstoppedRun;
    if (active.replicaEngine && this->state.endpoints.acceptsRequests(*active.replicaEngine))
        return this->state.endpoints.find(*active.replicaEngine);
    return chooseCopyTarget(this->state, active, { run.zone, { run.endpoint }, {} }, now);
}

bool StreamMigrator::canStop(const ActiveRequest& active, Instant now) const
{
    const UnstoppedRun& run = *active.unstoppedRun;
    const auto& engine = active.service->engine;
    if (run.wasAsked || !engine || !this->crashes.mayResume(active, now)
        || !this->state.endpoints.rateLimits().allows(run.endpoint, 0, now))
        return false;
    if (run.end == ExchangeEnd::Spoiled)
        return engine->canMigrate && run.hasBegun;
    // An engine that moves no runs stops none, but a refused connection shows that it has ended.
    return engine->canMigrate || active.replicaEngine;
}

bool StreamMigrator::stopRun(ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (!this->canStop(active, now))
        return false;
    UnstoppedRun& run = *active.unstoppedRun;
    run.wasAsked = true;
    if (!active.migration) {
        const GatewayEndpoint* target = this->targetOfUnstoppedRun(active, now);
        if (!target)
            return false;
        active.migration.emplace();
        active.migration->target = target->record.id;
        active.migration->targetAddress = target->record.address;
        active.migration->tokens = active.tokens;
    }
    StreamMigration& migration = *active.migration;
    migration.phase = MigrationPhase::Finishing;
    migration.exchange = run.exchange;
    migration.source = run.endpoint;
    migration.sourceAddress = run.address;
    migration.streamEnd = run.end;
    this->state.endpoints.addCopy(migration.target, migration.tokens);
    this->requestByExchange[run.exchange] = active.request.id;
    this->sendCopyCall(active, now, actions);
    actions.emplace_back(migrationLogEvent("stop_started", active, now));
    return true;
}

bool StreamMigrator::isOver(const ActiveRequest& active)
{
    return active.migration && active.migration->streamEnd == ExchangeEnd::Closed && !mayBeStopped(active);
}

std::optional<StoppedRun> StreamMigrator::takeStoppedRun(ActiveRequest& active)
{
    if (!mayBeStopped(active))
        return std::nullopt;
    const StreamMigration migration = *active.migration;
    const auto point = takeResumePoint(active);
    if (!point)
        return std::nullopt;
    StoppedRun run;
    run.target = { migration.target, *point };
    run.stopCallAt = migration.stopCallAt;
    if (migration.keptAtSource)
        run.source = ResumptionPlace { migration.source,
            { migration.sourceAddress, *migration.keptAtSource, active.lastEventId } };
    return run;
}

void StreamMigrator::runReturned(ActiveRequest& active, Instant now)
{
    const StoppedRun& run = *active.stoppedRun;
    this->draining.try_emplace(run.source->endpoint, Draining { now, std::nullopt, false });
    active.migrationFailedAt = now;
    active.failedTargets.insert(run.target.endpoint);
}

void StreamMigrator::keepCopies(ActiveRequest& active)
{
    keepCopy(active);
    if (active.migration && active.migration->phase == MigrationPhase::Done) {
        active.migration.reset();
        active.failedMigrations = 0;
        active.failedTargets.clear();
    }
    const GatewayEndpoint* replica = active.replicaEngine ? this->state.endpoints.find(*active.replicaEngine) : nullptr;
    active.replicaEngine.reset();
    // A replica follows its run within moments.
    if (replica)
        active.keptCopies.add({ replica->record.id, replica->record.address,
            KvCacheHandle(active.request.callerRequestId), active.lastEventId });
}

std::optional<ResumePoint> StreamMigrator::takeResumePoint(ActiveRequest& active)
{
    // The response to the outstanding copy call shows whether there is a copy.
    if (!active.migration || active.migration->phase != MigrationPhase::Done || !active.migration->copy)
        return std::nullopt;
    const ResumePoint point { active.migration->sourceAddress, *active.migration->copy, active.lastEventId };
    active.migration.reset();
    active.failedMigrations = 0;
    active.failedTargets.clear();
    return point;
}

void StreamMigrator::discard(const ActiveRequest& active, Instant now, GatewayActions& actions)
{
    if (!active.migration)
        return;
    this->endMigration(*active.migration);
    this->startNextMigration(active.migration->source, now, actions);
}

}
