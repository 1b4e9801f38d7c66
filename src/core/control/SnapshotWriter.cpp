#include "core/control/SnapshotWriter.h"

#include "core/control/ReleaseKeys.h"

#include <algorithm>

namespace teaselfold {

void SnapshotWriter::consider(const Fleet& fleet, bool published, ControlContext& context)
{
    const std::uint64_t interval = context.limits.versionsPerSnapshot;
    if (this->slack == 0)
        this->slack = 1 + context.randomness.next() % interval;
    const std::uint64_t due = this->newest + interval + (published ? 0 : this->slack);
    if (this->busy || fleet.version.get() < due)
        return;
    this->busy = true;
    context.ask(TableRead { snapshotKey }, SnapshotCheck {});
}

void SnapshotWriter::onCheck(const PlatformResult& result, const Fleet& fleet, ControlContext& context)
{
    const auto* rows = std::get_if<Rows>(&result);
    this->busy = rows != nullptr;
    if (rows == nullptr)
        return;
    std::optional<TableRecord> row;
    if (!rows->rows.empty())
        row = rows->rows.front();
    const ReleaseVersion there = row ? parseVersion(row->value).value_or(ReleaseVersion()) : ReleaseVersion();
    this->newest = std::max(this->newest, there.get());
    if (fleet.version.get() < this->newest + context.limits.versionsPerSnapshot) {
        this->busy = false;
        return;
    }
    context.ask(ObjectWrite { fleetKey(fleet.version), context.codec.encodeFleet(fleet) },
        SnapshotObjectWrite { fleet.version, row });
}

void SnapshotWriter::onObject(const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->busy = std::holds_alternative<WriteDone>(result);
    if (!this->busy)
        return;
    const std::string value = std::to_string(purpose.version.get());
    if (purpose.row)
        context.ask(TableReplace { snapshotKey, value, purpose.row->version }, SnapshotRowWrite { purpose.version });
    else
        context.ask(TableInsert { snapshotKey, value }, SnapshotRowWrite { purpose.version });
}

void SnapshotWriter::onRow(const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->busy = false;
    if (!std::holds_alternative<WriteDone>(result))
        return;
    this->newest = std::max(this->newest, purpose.version.get());
    context.log("snapshot_written", { { "version", std::to_string(purpose.version.get()) } });
}

}
