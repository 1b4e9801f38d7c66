#include "core/control/FleetKeeper.h"

#include "core/common/FleetUpdate.h"
#include "core/control/ReleaseKeys.h"

#include <algorithm>

namespace teaselfold {

bool FleetKeeper::isReady() const
{
    const bool known = this->current.version > ReleaseVersion();
    return known && (this->confirmed || this->peersSettled);
}

void FleetKeeper::poll(ControlContext& context)
{
    this->settlePeers(context);
    if (!this->reading)
        this->startRead(context);
}

void FleetKeeper::refresh(ControlContext& context) { this->startRead(context); }

void FleetKeeper::startRead(ControlContext& context)
{
    this->reading = true;
    if (this->stage == Stage::LookingUpSnapshot)
        context.ask(TableRead { snapshotKey }, SnapshotRowLookup {});
    else if (this->stage == Stage::LoadingSnapshot)
        context.ask(ObjectRead { "fleet/" + this->snapshotVersion }, SnapshotLoad {});
    else
        context.ask(
            TableScan { releasePrefix, releaseKey(this->current.version), context.limits.scanLimit }, NoteScan {});
}

void FleetKeeper::onSnapshotRow(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr)
        return this->failRead(context);
    this->stage = rows->rows.empty() ? Stage::Following : Stage::LoadingSnapshot;
    if (!rows->rows.empty())
        this->snapshotVersion = rows->rows.front().value;
    this->startRead(context);
}

void FleetKeeper::onSnapshotObject(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    if (isUnavailable(result))
        return this->failRead(context);
    this->stage = Stage::Following;
    const auto* object = std::get_if<ObjectFound>(&result);
    Outcome<Fleet> decoded = object ? context.codec.decodeFleet(object->value) : Failure {};
    if (auto* fleet = std::get_if<Fleet>(&decoded))
        this->adopt(std::move(*fleet), std::nullopt);
    else
        context.log("snapshot_unreadable", { { "version", this->snapshotVersion } });
    this->startRead(context);
}

bool FleetKeeper::onNotes(const PlatformResult& result, ControlContext& context)
{
    this->reading = false;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr) {
        this->failRead(context);
        return false;
    }
    const bool readable = std::all_of(
        rows->rows.begin(), rows->rows.end(), [&](const TableRecord& row) { return this->takeRow(row, context); });
    if (readable && rows->rows.size() >= context.limits.scanLimit) {
        this->startRead(context);
        return false;
    }
    this->confirmed = this->confirmed || readable;
    this->announce(context);
    return readable;
}

void FleetKeeper::failRead(ControlContext& context)
{
    this->tableFailed = true;
    this->announce(context);
}

bool FleetKeeper::takeRow(const TableRecord& row, ControlContext& context)
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
    this->adopt(applyNote(this->current, *note), NoteDelivery { *version, *note });
    return true;
}

void FleetKeeper::takeNote(ReleaseVersion version, const ReleaseNote& note, ControlContext& context)
{
    if (version != nextVersion(this->current.version) || nextVersion(note.base) != version)
        return;
    this->adopt(applyNote(this->current, note), NoteDelivery { version, note });
    this->announce(context);
}

void FleetKeeper::takePeerCopy(const Fleet& copy, ControlContext& context)
{
    this->notePeer(context.now);
    this->adopt(copy, std::nullopt);
    this->announce(context);
}

void FleetKeeper::takePeerNote(const NoteDelivery& delivery, ControlContext& context)
{
    this->takeNote(delivery.version, delivery.note, context);
}

void FleetKeeper::adopt(Fleet fleet, std::optional<NoteDelivery> note)
{
    if (fleet.version <= this->current.version)
        return;
    this->current = std::move(fleet);
    this->newestNote = std::move(note);
}

void FleetKeeper::announce(ControlContext& context)
{
    if (this->current.version <= this->announced)
        return;
    const bool next = nextVersion(this->announced) == this->current.version;
    this->announced = this->current.version;
    context.log("configuration_in_force", { { "version", std::to_string(this->current.version.get()) } });
    context.actions.emplace_back(ToRouter { FleetChanged { this->current, next ? this->newestNote : std::nullopt } });
}

void FleetKeeper::notePeer(Instant now)
{
    if (!this->firstPeerAt)
        this->firstPeerAt = now;
}

void FleetKeeper::settlePeers(const ControlContext& context)
{
    if (this->confirmed || !this->tableFailed || !this->firstPeerAt)
        return;
    if (context.now - *this->firstPeerAt >= context.limits.peerWait)
        this->peersSettled = true;
}

}
