#include "core/control/ConfigurationController.h"
#include "core/control/StorageKeys.h"

namespace teaselfold {

void ConfigurationController::onSnapshotRowLookup(
    const SnapshotRowLookup&, const PlatformResult& result, ControlContext& context)
{
    this->fleetReplica.onSnapshotRow(result, context);
}

void ConfigurationController::onSnapshotLoad(const SnapshotLoad&, const PlatformResult& result, ControlContext& context)
{
    this->fleetReplica.onSnapshotObject(result, context);
}

void ConfigurationController::onNoteScan(const NoteScan&, const PlatformResult& result, ControlContext& context)
{
    if (this->fleetReplica.onNotesScanned(result, context))
        this->publisher.onNotesRead(this->fleetReplica, context);
}

void ConfigurationController::onOrderScan(const OrderScan&, const PlatformResult& result, ControlContext& context)
{
    this->orderRegistry.onScan(result, context);
}

void ConfigurationController::onInstanceScan(const InstanceScan&, const PlatformResult& result, ControlContext& context)
{
    this->listingInstances = false;
    const auto* list = std::get_if<InstanceList>(&result);
    if (list == nullptr)
        return;
    this->instances = *list;
    context.actions.emplace_back(ToRouter { InstancesListed { *list } });
}

void ConfigurationController::onNoteInsert(
    const NoteInsert& purpose, const PlatformResult& result, ControlContext& context)
{
    this->publisher.onInsert(purpose.admin, result, this->fleetReplica, context);
    if (std::holds_alternative<WriteDone>(result))
        this->snapshotWriter.startIfDue(this->fleetReplica.fleet(), true, context);
}

void ConfigurationController::onNoteReadBack(
    const NoteReadBack& purpose, const PlatformResult& result, ControlContext& context)
{
    this->publisher.onReadBack(purpose.admin, result, this->fleetReplica, context);
}

void ConfigurationController::onHistoryScan(
    const HistoryScan& purpose, const PlatformResult& result, ControlContext& context)
{
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr)
        return context.answer(purpose.admin, storeFailure(Executed::No));
    HistoryView view;
    for (const TableRecord& row : rows->rows) {
        const std::optional<ReleaseVersion> version = parseReleaseKey(row.key);
        Outcome<ReleaseNote> decoded = context.codec.decodeNote(row.value);
        auto* note = std::get_if<ReleaseNote>(&decoded);
        if (version && note != nullptr)
            view.lines.push_back({ *version, std::move(*note) });
        else
            context.log("note_unreadable", { { "key", row.key } });
    }
    context.answer(purpose.admin, std::move(view));
}

void ConfigurationController::onSnapshotCheck(
    const SnapshotCheck&, const PlatformResult& result, ControlContext& context)
{
    this->snapshotWriter.onCheck(result, this->fleetReplica.fleet(), context);
}

void ConfigurationController::onSnapshotObject(
    const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->snapshotWriter.onObject(purpose, result, context);
}

void ConfigurationController::onSnapshotRow(
    const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->snapshotWriter.onRow(purpose, result, context);
}

void ConfigurationController::onOrderWrite(
    const OrderWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->orderRegistry.onWrite(purpose, result, context);
}

void ConfigurationController::onAuditRecordWrite(
    const AuditRecordWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->auditLog.onWrite(purpose, result, context);
}

void ConfigurationController::onAuditLogScan(
    const AuditLogScan& purpose, const PlatformResult& result, ControlContext& context)
{
    this->auditLog.onScan(purpose, result, context);
}

}
