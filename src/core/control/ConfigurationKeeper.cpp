#include "core/control/ConfigurationKeeper.h"

#include "core/common/Check.h"
#include "core/common/HandlerTable.h"
#include "core/control/ReleaseKeys.h"

namespace teaselfold {

namespace {

    Failure unexplainedAct()
    {
        return { ErrorCode::BadRequest, "an operator's act needs an author and a reason", Executed::No,
            Milliseconds(0) };
    }

}

struct ConfigurationKeeper::EventTable {
    static constexpr HandlerTable<ConfigurationKeeper, void, ControlEvent, ControlContext&> table {
        &ConfigurationKeeper::onPublish, &ConfigurationKeeper::onOrder, &ConfigurationKeeper::onQueryConfiguration,
        &ConfigurationKeeper::onQueryHistory, &ConfigurationKeeper::onQueryQuarantine, &ConfigurationKeeper::onRelease,
        &ConfigurationKeeper::onQueryActs, &ConfigurationKeeper::onSuspectsTold,
        &ConfigurationKeeper::onSuspectReleased, &ConfigurationKeeper::onPeer, &ConfigurationKeeper::onReply,
        &ConfigurationKeeper::onTick
    };
};

struct ConfigurationKeeper::ReplyTable {
    static constexpr HandlerTable<ConfigurationKeeper, void, OperationPurpose, const PlatformResult&, ControlContext&>
        table { &ConfigurationKeeper::onSnapshotRowLookup, &ConfigurationKeeper::onSnapshotLoad,
            &ConfigurationKeeper::onNoteScan, &ConfigurationKeeper::onOrderScan, &ConfigurationKeeper::onInstanceScan,
            &ConfigurationKeeper::onNoteInsert, &ConfigurationKeeper::onNoteReadBack,
            &ConfigurationKeeper::onHistoryScan, &ConfigurationKeeper::onSnapshotCheck,
            &ConfigurationKeeper::onSnapshotObject, &ConfigurationKeeper::onSnapshotRow,
            &ConfigurationKeeper::onOrderWrite, &ConfigurationKeeper::onActWrite, &ConfigurationKeeper::onActScan };
};

ConfigurationKeeper::ConfigurationKeeper(EntryId entry, const DocumentCodec& codec, Randomness& randomness,
    const ControlLimits& limits, StrategyNames strategies)
    : entry(std::move(entry))
    , codec(&codec)
    , randomness(&randomness)
    , limits(limits)
    , publisher(std::move(strategies))
{
}

std::vector<ControlAction> ConfigurationKeeper::handle(const ControlEvent& event, Instant now)
{
    std::vector<ControlAction> actions;
    ControlContext context { this->entry, *this->codec, *this->randomness, this->limits, this->operations, this->acts,
        actions, now };
    EventTable::table.dispatch(*this, event, context);
    return actions;
}

void ConfigurationKeeper::onPublish(const PublishNote& event, ControlContext& context)
{
    this->publisher.publish(event, this->fleets, context);
}

void ConfigurationKeeper::onOrder(const IssueOrder& event, ControlContext& context)
{
    constexpr Milliseconds retryAfter(1000);
    if (event.author.empty() || event.reason.empty())
        return context.answer(event.admin, unexplainedAct());
    if (!this->fleets.isReady())
        return context.answer(event.admin,
            Failure { ErrorCode::NotReady, "no configuration is in force here", Executed::No, retryAfter });
    if (!this->knowsSubject(event.subject))
        return context.answer(event.admin,
            Failure {
                ErrorCode::NotFound, "the fleet has no " + subjectText(event.subject), Executed::No, Milliseconds(0) });
    this->orders.give(event, context);
}

bool ConfigurationKeeper::knowsSubject(const OrderSubject& subject) const
{
    const Fleet& fleet = this->fleets.fleet();
    if (const auto* zone = std::get_if<ZoneId>(&subject))
        return fleet.zones.contains(*zone);
    return fleet.endpoints.contains(std::get<EndpointId>(subject));
}

void ConfigurationKeeper::onQueryConfiguration(const QueryConfiguration& event, ControlContext& context)
{
    ConfigurationView view;
    view.fleet = this->fleets.fleet();
    view.orders = this->orders.orders().all();
    view.tableReachable = this->tableReachable;
    for (const auto& [endpoint, known] : this->reports) {
        const auto age = std::chrono::duration_cast<Milliseconds>(context.now - known.arrived);
        view.endpoints.push_back({ endpoint, known.report, age });
    }
    for (const InstanceState& instance : this->instances.instances) {
        if (instance.leaving)
            view.leavingInstances.push_back(instance.name);
    }
    context.answer(event.admin, std::move(view));
}

void ConfigurationKeeper::onQueryHistory(const QueryHistory& event, ControlContext& context)
{
    context.ask(TableScan { releasePrefix, releaseKey(event.after), event.limit }, HistoryScan { event.admin });
}

void ConfigurationKeeper::onQueryQuarantine(const QueryQuarantine& event, ControlContext& context)
{
    context.actions.emplace_back(ToRouter { QuerySuspects { event.admin } });
}

void ConfigurationKeeper::onRelease(const ReleaseQuarantined& event, ControlContext& context)
{
    if (event.author.empty() || event.reason.empty())
        return context.answer(event.admin, unexplainedAct());
    const AuditRecord auditRecord { context.drawId(), AuditedAction::RequestReleased,
        fingerprintText(event.fingerprint), event.author, event.reason, event.at };
    context.actions.emplace_back(ToRouter { ReleaseSuspect { event.admin, event.fingerprint, auditRecord } });
}

void ConfigurationKeeper::onQueryActs(const QueryAuditLog& event, ControlContext& context)
{
    this->acts.query(event, context);
}

void ConfigurationKeeper::onSuspectsTold(const SuspectsListed& event, ControlContext& context)
{
    context.answer(event.admin, QuarantineView { event.suspects });
}

void ConfigurationKeeper::onSuspectReleased(const SuspectReleased& event, ControlContext& context)
{
    if (!event.known)
        return context.answer(event.admin,
            Failure { ErrorCode::NotFound, "this entry holds no such request", Executed::No, Milliseconds(0) });
    this->acts.record(event.auditRecord, context);
    context.answer(event.admin, QuarantineReleased { event.auditRecord });
}

void ConfigurationKeeper::onPeer(const PeerUpdate& event, ControlContext& context)
{
    if (const auto* copy = std::get_if<FleetCopy>(&event.message))
        this->fleets.takePeerCopy(copy->fleet, context);
    if (const auto* delivery = std::get_if<NoteDelivery>(&event.message))
        this->fleets.takePeerNote(*delivery, context);
    if (const auto* delivery = std::get_if<OrdersDelivery>(&event.message))
        this->orders.takePeerOrders(delivery->orders, context);
    if (const auto* report = std::get_if<LoadReport>(&event.message))
        this->reports.insert_or_assign(event.endpoint, KnownReport { *report, context.now });
}

void ConfigurationKeeper::onReply(const ControlPlatformReply& event, ControlContext& context)
{
    const std::optional<OperationPurpose> purpose = this->operations.finish(event.reply.operation);
    if (purpose)
        this->takeResult(*purpose, event.reply.result, context);
}

void ConfigurationKeeper::takeResult(
    const OperationPurpose& purpose, const PlatformResult& result, ControlContext& context)
{
    const bool reachable = !isUnavailable(result);
    if (reachable != this->tableReachable)
        context.log("table_reachable", { { "value", reachable ? "true" : "false" } });
    this->tableReachable = reachable;
    ReplyTable::table.dispatch(*this, purpose, result, context);
}

void ConfigurationKeeper::onTick(const ControlTick&, ControlContext& context)
{
    for (const OperationPurpose& purpose : this->operations.expire(context.now, this->limits.operationTimeout))
        this->takeResult(purpose, PlatformUnavailable { true }, context);
    const bool paused = this->wasPaused(context.now);
    this->lastTick = context.now;
    if (paused)
        context.log("pause_noticed", {});
    if (paused || context.now >= this->nextPoll)
        this->poll(paused, context);
    this->publisher.tick(this->fleets, context);
    this->orders.tick(context);
    this->acts.tick(context);
}

bool ConfigurationKeeper::wasPaused(Instant now) const
{
    return this->lastTick && now - *this->lastTick > this->limits.pauseGap;
}

void ConfigurationKeeper::poll(bool paused, ControlContext& context)
{
    this->nextPoll = context.now + this->limits.pollInterval;
    if (paused) {
        this->fleets.refresh(context);
        this->orders.refresh(context);
    } else {
        this->fleets.poll(context);
        this->orders.poll(context);
    }
    if (!this->listingInstances)
        context.ask(InstanceListRead {}, InstanceScan {});
    this->listingInstances = true;
    if (this->fleets.isConfirmed())
        this->snapshots.consider(this->fleets.fleet(), false, context);
    std::erase_if(
        this->reports, [&](const auto& known) { return !this->fleets.fleet().endpoints.contains(known.first); });
}

ConfigurationKeeperBuilder& ConfigurationKeeperBuilder::withEntry(EntryId id)
{
    this->entry = std::move(id);
    return *this;
}

ConfigurationKeeperBuilder& ConfigurationKeeperBuilder::withCodec(const DocumentCodec& documents)
{
    this->codec = &documents;
    return *this;
}

ConfigurationKeeperBuilder& ConfigurationKeeperBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

ConfigurationKeeperBuilder& ConfigurationKeeperBuilder::withLimits(const ControlLimits& values)
{
    this->limits = values;
    return *this;
}

ConfigurationKeeperBuilder& ConfigurationKeeperBuilder::withStrategies(StrategyNames names)
{
    this->strategies = std::move(names);
    return *this;
}

ConfigurationKeeper ConfigurationKeeperBuilder::build() const
{
    internalCheck(this->codec != nullptr && this->randomness != nullptr, "a keeper has a codec and randomness");
    return { this->entry, *this->codec, *this->randomness, this->limits, this->strategies };
}

}
