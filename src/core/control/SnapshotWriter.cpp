#include "core/control/SnapshotWriter.h"

#include "core/control/StorageKeys.h"

#include <algorithm>

namespace teaselfold {

void SnapshotWriter::startIfDue(const Fleet& fleet, bool published, ControlContext& context)
{
    const std::uint64_t interval = context.limits.versionsPerSnapshot;
    if (this->jitter == 0)
        this->jitter = 1 + context.randomness.next() % interval;
    const std::uint64_t due = this->newestSnapshot + interval + (published ? 0 : this->jitter);
    if (this->inProgress || fleet.version.get() < due)
        return;
    this->inProgress = true;
    context.submit(TableRead { snapshotRowKey }, SnapshotCheck {});
}

void SnapshotWriter::onCheck(const PlatformResult& result, const Fleet& fleet, ControlContext& context)
{
    const auto* rows = std::get_if<Rows>(&result);
    this->inProgress = rows != nullptr;
    if (rows == nullptr)
        return;
    std::optional<TableRecord> row;
    if (!rows->rows.empty())
        row = rows->rows.front();
    const ReleaseVersion existing = row ? parseVersion(row->value).value_or(ReleaseVersion()) : ReleaseVersion();
    this->newestSnapshot = std::max(this->newestSnapshot, existing.get());
    if (fleet.version.get() < this->newestSnapshot + context.limits.versionsPerSnapshot) {
        this->inProgress = false;
        return;
    }
    context.submit(ObjectWrite { snapshotObjectKey(fleet.version), context.codec.encodeFleet(fleet) },
        SnapshotObjectWrite { fleet.version, row });
}

void SnapshotWriter::onObject(const SnapshotObjectWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->inProgress = std::holds_alternative<WriteDone>(result);
    if (!this->inProgress)
        return;
    const std::string value = std::to_string(purpose.version.get());
    if (purpose.row)
        context.submit(
            TableReplace { snapshotRowKey, value, purpose.row->version }, SnapshotRowWrite { purpose.version });
    else
        context.submit(TableInsert { snapshotRowKey, value }, SnapshotRowWrite { purpose.version });
}

void SnapshotWriter::onRow(const SnapshotRowWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    this->inProgress = false;
    if (!std::holds_alternative<WriteDone>(result))
        return;
    this->newestSnapshot = std::max(this->newestSnapshot, purpose.version.get());
    context.log("snapshot_written", { { "version", std::to_string(purpose.version.get()) } });
}

}
