#include "core/control/ConfigurationKeeper.h"
#include "core/control/ReleaseKeys.h"

namespace teaselfold {

void ConfigurationKeeper::onSnapshotRowLookup(
    const SnapshotRowLookup&, const PlatformResult& result, ControlContext& context)
{
    this->fleets.onSnapshotRow(result, context);
}

void ConfigurationKeeper::onSnapshotLoad(const SnapshotLoad&, const PlatformResult& result, ControlContext& context)
{
    this->fleets.onSnapshotObject(result, context);
}

void ConfigurationKeeper::onNoteScan(const NoteScan&, const PlatformResult& result, ControlContext& context)
{
    if (this->fleets.onNotes(result, context))
        this->publisher.onNotesRead(this->fleets, context);
}

void ConfigurationKeeper::onOrderScan(const OrderScan&, const PlatformResult& result, ControlContext& context)
{
    this->orders.onScan(result, context);
}

void ConfigurationKeeper::onInstanceScan(const InstanceScan&, const PlatformResult& result, ControlContext& context)
{
    this->listingInstances = false;
    const auto* list = std::get_if<InstanceList>(&result);
    if (list == nullptr)
        return;
    this->instances = *list;
    context.actions.emplace_back(ToRouter { InstancesListed { *list } });
}

void ConfigurationKeeper::onNoteInsert(const NoteInsert& purpose, const PlatformResult& result, ControlContext& context)
{
    this->publisher.onInsert(purpose.admin, result, this->fleets, context);
    if (std::holds_alternative<WriteDone>(result))
        this->snapshots.consider(this->fleets.fleet(), true, context);
}

void ConfigurationKeeper::onNoteReadBack(
    const NoteReadBack& purpose, const PlatformResult& result, ControlContext& context)
{
    this->publisher.onReadBack(purpose.admin, result, this->fleets, context);
}

void ConfigurationKeeper::onHistoryScan(
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

void ConfigurationKeeper::onSnapshotCheck(const SnapshotCheck&, const PlatformResult& result, ControlContext& context)
{
    this->snapshots.onCheck(result, this->fleets.fleet(), context);
}

void ConfigurationKeeper::onSnapshotObject(
    const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->snapshots.onObject(purpose, result, context);
}

void ConfigurationKeeper::onSnapshotRow(
    const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->snapshots.onRow(purpose, result, context);
}

void ConfigurationKeeper::onOrderWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->orders.onWrite(purpose, result, context);
}

void ConfigurationKeeper::onActWrite(const ActWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->acts.onWrite(purpose, result, context);
}

void ConfigurationKeeper::onActScan(const ActScan& purpose, const PlatformResult& result, ControlContext& context)
{
    this->acts.onScan(purpose, result, context);
}

}
