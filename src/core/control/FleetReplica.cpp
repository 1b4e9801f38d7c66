#include "core/control/FleetReplica.h"

#include "core/common/FleetUpdate.h"
#include "core/control/StorageKeys.h"

#include <algorithm>

namespace teaselfold {

bool FleetReplica::isReady() const
{
    const bool hasConfiguration = this->current.version > ReleaseVersion();
    return hasConfiguration && (this->confirmed || this->peerVersionAccepted);
}

void FleetReplica::poll(ControlContext& context)
{
    this->acceptPeerVersionIfDue(context);
    if (!this->reading)
        this->startRead(context);
}

void FleetReplica::refresh(ControlContext& context) { this->startRead(context); }

void FleetReplica::startRead(ControlContext& context)
{
    this->reading = true;
    if (this->stage == Stage::LookingUpSnapshot)
        context.submit(TableRead { snapshotRowKey }, SnapshotRowLookup {});
    else if (this->stage == Stage::LoadingSnapshot)
        context.submit(ObjectRead { "fleet/" + this->snapshotVersion }, SnapshotLoad {});
    else
        context.submit(
            TableScan { releasePrefix, releaseKey(this->current.version), context.limits.scanLimit }, NoteScan {});
}

void FleetReplica::onSnapshotRow(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr)
        return this->onReadFailed(context);
    this->stage = rows->rows.empty() ? Stage::ReadingNotes : Stage::LoadingSnapshot;
    if (!rows->rows.empty())
        this->snapshotVersion = rows->rows.front().value;
    this->startRead(context);
}

void FleetReplica::onSnapshotObject(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    if (isUnavailable(result))
        return this->onReadFailed(context);
    this->stage = Stage::ReadingNotes;
    const auto* object = std::get_if<ObjectFound>(&result);
    Outcome<Fleet> decoded = object ? context.codec.decodeFleet(object->value) : Failure {};
    if (auto* fleet = std::get_if<Fleet>(&decoded))
        this->replaceFleet(std::move(*fleet), std::nullopt);
    else
        context.log("snapshot_unreadable", { { "version", this->snapshotVersion } });
    this->startRead(context);
}

bool FleetReplica::onNotesScanned(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr) {
        this->onReadFailed(context);
        return false;
    }
    const bool readable = std::all_of(
        rows->rows.begin(), rows->rows.end(), [&](const TableRecord& row) { return this->applyRow(row, context); });
    if (readable && rows->rows.size() >= context.limits.scanLimit) {
        this->startRead(context);
        return false;
    }
    this->confirmed = this->confirmed || readable;
    this->notifyRouter(context);
    return readable;
}

void FleetReplica::onReadFailed(ControlContext& context)
{
    this->tableFailed = true;
    this->notifyRouter(context);
}

bool FleetReplica::applyRow(const TableRecord& row, ControlContext& context)
{
    const std::optional<ReleaseVersion> version = parseReleaseKey(row.key);
    if (version && *version <= this->current.version)
        return true;
    if (version != nextVersion(this->current.version)) {
        context.log("note_gap", { { "key", row.key }, { "version", std::to_string(this->current.version.get()) } });
        this->stage = Stage::LookingUpSnapshot;
        return false;
    }
    const Outcome<ReleaseNote> decoded = context.codec.decodeNote(row.value);
    const auto* note = std::get_if<ReleaseNote>(&decoded);
    if (note == nullptr || nextVersion(note->base) != *version) {
        context.log("note_unreadable", { { "key", row.key } });
        return false;
    }
    this->replaceFleet(applyNote(this->current, *note), NoteDelivery { *version, *note });
    return true;
}

void FleetReplica::applyAcceptedNote(ReleaseVersion version, const ReleaseNote& note, ControlContext& context)
{
    if (version != nextVersion(this->current.version) || nextVersion(note.base) != version)
        return;
    this->replaceFleet(applyNote(this->current, note), NoteDelivery { version, note });
    this->notifyRouter(context);
}

void FleetReplica::applyPeerFleet(const Fleet& copy, ControlContext& context)
{
    this->recordPeerFleet(context.now);
    this->replaceFleet(copy, std::nullopt);
    this->notifyRouter(context);
}

void FleetReplica::applyPeerNote(const NoteDelivery& delivery, ControlContext& context)
{
    this->applyAcceptedNote(delivery.version, delivery.note, context);
}

void FleetReplica::replaceFleet(Fleet fleet, std::optional<NoteDelivery> note)
{
    if (fleet.version <= this->current.version)
        return;
    this->current = std::move(fleet);
    this->newestNote = std::move(note);
}

void FleetReplica::notifyRouter(ControlContext& context)
{
    if (this->current.version <= this->notifiedVersion)
        return;
    const bool isNextVersion = nextVersion(this->notifiedVersion) == this->current.version;
    this->notifiedVersion = this->current.version;
    context.log("configuration_in_force", { { "version", std::to_string(this->current.version.get()) } });
    context.actions.emplace_back(
        ToRouter { FleetChanged { this->current, isNextVersion ? this->newestNote : std::nullopt } });
}

void FleetReplica::recordPeerFleet(Instant now)
{
    if (!this->firstPeerFleetAt)
        this->firstPeerFleetAt = now;
}

void FleetReplica::acceptPeerVersionIfDue(const ControlContext& context)
{
    if (this->confirmed || !this->tableFailed || !this->firstPeerFleetAt)
        return;
    if (context.now - *this->firstPeerFleetAt >= context.limits.peerConfigurationDelay)
        this->peerVersionAccepted = true;
}

}
