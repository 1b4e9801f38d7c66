#include "core/control/ConfigurationController.h"

#include "core/common/Check.h"
#include "core/common/HandlerTable.h"
#include "core/control/StorageKeys.h"

namespace teaselfold {

namespace {

    Failure missingAuthorOrReason()
    {
        return { ErrorCode::BadRequest, "an operator's act needs an author and a reason", Executed::No,
            Milliseconds(0) };
    }

}

struct ConfigurationController::EventTable {
    static constexpr HandlerTable<ConfigurationController, void, ControlEvent, ControlContext&> table {
        &ConfigurationController::onPublish, &ConfigurationController::onOrder,
        &ConfigurationController::onQueryConfiguration, &ConfigurationController::onQueryHistory,
        &ConfigurationController::onQueryQuarantine, &ConfigurationController::onReleaseQuarantined,
        &ConfigurationController::onQueryAuditLog, &ConfigurationController::onSuspectsListed,
        &ConfigurationController::onSuspectReleased, &ConfigurationController::onPeerUpdate,
        &ConfigurationController::onReply, &ConfigurationController::onTick
    };
};

struct ConfigurationController::ReplyTable {
    static constexpr HandlerTable<ConfigurationController, void, OperationPurpose, const PlatformResult&,
        ControlContext&>
        table { &ConfigurationController::onSnapshotRowLookup, &ConfigurationController::onSnapshotLoad,
            &ConfigurationController::onNoteScan, &ConfigurationController::onOrderScan,
            &ConfigurationController::onInstanceScan, &ConfigurationController::onNoteInsert,
            &ConfigurationController::onNoteReadBack, &ConfigurationController::onHistoryScan,
            &ConfigurationController::onSnapshotCheck, &ConfigurationController::onSnapshotObject,
            &ConfigurationController::onSnapshotRow, &ConfigurationController::onOrderWrite,
            &ConfigurationController::onAuditRecordWrite, &ConfigurationController::onAuditLogScan };
};

ConfigurationController::ConfigurationController(EntryId entry, const DocumentCodec& codec, Randomness& randomness,
    const ControlLimits& limits, StrategyNames strategies)
    : entry(std::move(entry))
    , codec(&codec)
    , randomness(&randomness)
    , limits(limits)
    , publisher(std::move(strategies))
{
}

std::vector<ControlAction> ConfigurationController::handle(const ControlEvent& event, Instant now)
{
    std::vector<ControlAction> actions;
    ControlContext context { this->entry, *this->codec, *this->randomness, this->limits, this->pendingOperations,
        this->auditLog, actions, now };
    EventTable::table.dispatch(*this, event, context);
    return actions;
}

void ConfigurationController::onPublish(const PublishNote& event, ControlContext& context)
{
    this->publisher.publish(event, this->fleetReplica, context);
}

void ConfigurationController::onOrder(const IssueOrder& event, ControlContext& context)
{
    constexpr Milliseconds retryAfter(1000);
    if (event.author.empty() || event.reason.empty())
        return context.answer(event.admin, missingAuthorOrReason());
    if (!this->fleetReplica.isReady())
        return context.answer(event.admin,
            Failure { ErrorCode::NotReady, "no configuration is in force here", Executed::No, retryAfter });
    if (!this->fleetContains(event.subject))
        return context.answer(event.admin,
            Failure {
                ErrorCode::NotFound, "the fleet has no " + subjectText(event.subject), Executed::No, Milliseconds(0) });
    this->orderRegistry.issue(event, context);
}

bool ConfigurationController::fleetContains(const OrderSubject& subject) const
{
    const Fleet& fleet = this->fleetReplica.fleet();
    if (const auto* zone = std::get_if<ZoneId>(&subject))
        return fleet.zones.contains(*zone);
    return fleet.endpoints.contains(std::get<EndpointId>(subject));
}

void ConfigurationController::onQueryConfiguration(const QueryConfiguration& event, ControlContext& context)
{
    ConfigurationView view;
    view.fleet = this->fleetReplica.fleet();
    view.orders = this->orderRegistry.orders().all();
    view.tableReachable = this->tableReachable;
    for (const auto& [endpoint, known] : this->loadReports) {
        const auto age = std::chrono::duration_cast<Milliseconds>(context.now - known.receivedAt);
        view.endpoints.push_back({ endpoint, known.report, age });
    }
    for (const InstanceState& instance : this->instances.instances) {
        if (instance.leaving)
            view.leavingInstances.push_back(instance.name);
    }
    context.answer(event.admin, std::move(view));
}

void ConfigurationController::onQueryHistory(const QueryHistory& event, ControlContext& context)
{
    context.submit(TableScan { releasePrefix, releaseKey(event.after), event.limit }, HistoryScan { event.admin });
}

void ConfigurationController::onQueryQuarantine(const QueryQuarantine& event, ControlContext& context)
{
    context.actions.emplace_back(ToRouter { QuerySuspects { event.admin } });
}

void ConfigurationController::onReleaseQuarantined(const ReleaseQuarantined& event, ControlContext& context)
{
    if (event.author.empty() || event.reason.empty())
        return context.answer(event.admin, missingAuthorOrReason());
    const AuditRecord auditRecord { context.generateId(), AuditedAction::RequestReleased,
        fingerprintText(event.fingerprint), event.author, event.reason, event.at };
    context.actions.emplace_back(ToRouter { ReleaseSuspect { event.admin, event.fingerprint, auditRecord } });
}

void ConfigurationController::onQueryAuditLog(const QueryAuditLog& event, ControlContext& context)
{
    this->auditLog.query(event, context);
}

void ConfigurationController::onSuspectsListed(const SuspectsListed& event, ControlContext& context)
{
    context.answer(event.admin, QuarantineView { event.suspects });
}

void ConfigurationController::onSuspectReleased(const SuspectReleased& event, ControlContext& context)
{
    if (!event.known)
        return context.answer(event.admin,
            Failure { ErrorCode::NotFound, "this entry holds no such request", Executed::No, Milliseconds(0) });
    this->auditLog.record(event.auditRecord, context);
    context.answer(event.admin, QuarantineReleased { event.auditRecord });
}

void ConfigurationController::onPeerUpdate(const PeerUpdate& event, ControlContext& context)
{
    if (const auto* copy = std::get_if<FleetCopy>(&event.message))
        this->fleetReplica.applyPeerFleet(copy->fleet, context);
    if (const auto* delivery = std::get_if<NoteDelivery>(&event.message))
        this->fleetReplica.applyPeerNote(*delivery, context);
    if (const auto* delivery = std::get_if<OrdersDelivery>(&event.message))
        this->orderRegistry.mergePeerOrders(delivery->orders, context);
    if (const auto* report = std::get_if<LoadReport>(&event.message))
        this->loadReports.insert_or_assign(event.endpoint, ReceivedReport { *report, context.now });
}

void ConfigurationController::onReply(const ControlPlatformReply& event, ControlContext& context)
{
    const std::optional<OperationPurpose> purpose = this->pendingOperations.finish(event.reply.operation);
    if (purpose)
        this->handleResult(*purpose, event.reply.result, context);
}

void ConfigurationController::handleResult(
    const OperationPurpose& purpose, const PlatformResult& result, ControlContext& context)
{
    const bool reachable = !isUnavailable(result);
    if (reachable != this->tableReachable)
        context.log("table_reachable", { { "value", reachable ? "true" : "false" } });
    this->tableReachable = reachable;
    ReplyTable::table.dispatch(*this, purpose, result, context);
}

void ConfigurationController::onTick(const ControlTick&, ControlContext& context)
{
    for (const OperationPurpose& purpose : this->pendingOperations.expire(context.now, this->limits.operationTimeout))
        this->handleResult(purpose, PlatformUnavailable { true }, context);
    const bool paused = this->wasPaused(context.now);
    this->lastTick = context.now;
    if (paused)
        context.log("pause_noticed", {});
    if (paused || context.now >= this->nextPoll)
        this->poll(paused, context);
    this->publisher.tick(this->fleetReplica, context);
    this->orderRegistry.tick(context);
    this->auditLog.tick(context);
}

bool ConfigurationController::wasPaused(Instant now) const
{
    return this->lastTick && now - *this->lastTick > this->limits.pauseGap;
}

void ConfigurationController::poll(bool paused, ControlContext& context)
{
    this->nextPoll = context.now + this->limits.pollInterval;
    if (paused) {
        this->fleetReplica.refresh(context);
        this->orderRegistry.refresh(context);
    } else {
        this->fleetReplica.poll(context);
        this->orderRegistry.poll(context);
    }
    if (!this->listingInstances)
        context.submit(InstanceListRead {}, InstanceScan {});
    this->listingInstances = true;
    if (this->fleetReplica.isConfirmed())
        this->snapshotWriter.startIfDue(this->fleetReplica.fleet(), false, context);
    std::erase_if(this->loadReports,
        [&](const auto& known) { return !this->fleetReplica.fleet().endpoints.contains(known.first); });
}

ConfigurationControllerBuilder& ConfigurationControllerBuilder::withEntry(EntryId id)
{
    this->entry = std::move(id);
    return *this;
}

ConfigurationControllerBuilder& ConfigurationControllerBuilder::withCodec(const DocumentCodec& documents)
{
    this->codec = &documents;
    return *this;
}

ConfigurationControllerBuilder& ConfigurationControllerBuilder::withRandomness(Randomness& source)
{
    this->randomness = &source;
    return *this;
}

ConfigurationControllerBuilder& ConfigurationControllerBuilder::withLimits(const ControlLimits& values)
{
    this->limits = values;
    return *this;
}

ConfigurationControllerBuilder& ConfigurationControllerBuilder::withStrategies(StrategyNames names)
{
    this->strategies = std::move(names);
    return *this;
}

ConfigurationController ConfigurationControllerBuilder::build() const
{
    internalCheck(
        this->codec != nullptr && this->randomness != nullptr, "a controller has a codec and a source of randomness");
    return { this->entry, *this->codec, *this->randomness, this->limits, this->strategies };
}

}
