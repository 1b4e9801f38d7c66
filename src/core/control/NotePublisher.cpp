#include "core/control/NotePublisher.h"

#include "core/control/AuditLog.h"
#include "core/control/StorageKeys.h"

#include <algorithm>

namespace teaselfold {

NotePublisher::NotePublisher(StrategyNames strategies)
    : strategies(std::move(strategies))
{
}

void NotePublisher::publish(const PublishNote& request, FleetReplica& fleetReplica, ControlContext& context)
{
    const Instant deadline = context.now + context.limits.publishTimeout;
    Publication& publication
        = this->publications.insert_or_assign(request.admin, Publication { request, deadline }).first->second;
    this->advance(publication, false, fleetReplica, context);
}

NotePublisher::Publication* NotePublisher::find(AdminRequestId admin)
{
    const auto found = this->publications.find(admin);
    return found == this->publications.end() ? nullptr : &found->second;
}

void NotePublisher::advance(
    Publication& publication, bool refreshed, FleetReplica& fleetReplica, ControlContext& context)
{
    const AdminRequestId admin = publication.request.admin;
    const ReleaseVersion base = publication.request.note.base;
    const ReleaseVersion current = fleetReplica.fleet().version;
    if (!fleetReplica.isConfirmed())
        return this->finish(admin, storeFailure(Executed::No), context);
    if (base == current)
        return this->checkAndInsert(publication, fleetReplica, context);
    if (base < current && !publication.request.dryRun)
        return this->readBack(publication, context);
    if (base < current || refreshed)
        return this->finish(admin, NoteStale { current }, context);
    publication.stage = Stage::AwaitingRead;
    fleetReplica.refresh(context);
}

void NotePublisher::checkAndInsert(Publication& publication, const FleetReplica& fleetReplica, ControlContext& context)
{
    const PublishNote& request = publication.request;
    std::vector<NoteProblem> problems = checkNote(fleetReplica.fleet(), request.note, this->strategies);
    if (!problems.empty())
        return this->finish(request.admin, NoteInvalid { std::move(problems) }, context);
    if (request.dryRun)
        return this->finish(request.admin, NoteAccepted { nextVersion(request.note.base), true }, context);
    this->insert(publication, context);
}

void NotePublisher::insert(Publication& publication, ControlContext& context)
{
    const ReleaseNote& note = publication.request.note;
    publication.stage = Stage::AwaitingTable;
    context.submit(TableInsert { releaseKey(nextVersion(note.base)), context.codec.encodeNote(note) },
        NoteInsert { publication.request.admin });
}

void NotePublisher::readBack(Publication& publication, ControlContext& context)
{
    publication.stage = Stage::AwaitingTable;
    const ReleaseVersion version = nextVersion(publication.request.note.base);
    context.submit(TableRead { releaseKey(version) }, NoteReadBack { publication.request.admin });
}

void NotePublisher::scheduleRetry(Publication& publication, ControlContext& context)
{
    publication.stage = Stage::AwaitingRetry;
    publication.nextAttemptAt = context.now + context.limits.retryInterval;
}

void NotePublisher::onInsert(
    AdminRequestId admin, const PlatformResult& result, FleetReplica& fleetReplica, ControlContext& context)
{
    Publication* publication = this->find(admin);
    if (publication == nullptr)
        return;
    if (std::holds_alternative<WriteDone>(result)) {
        NotePublisher::recordPublication(publication->request, context);
        return this->accept(*publication, fleetReplica, context);
    }
    if (const auto* conflict = std::get_if<WriteConflict>(&result); conflict != nullptr && conflict->current)
        return this->compareWithRow(*publication, *conflict->current, fleetReplica, context);
    const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
    const bool sent = unavailable == nullptr || unavailable->sent;
    publication->maybeWritten = publication->maybeWritten || sent;
    if (!publication->maybeWritten)
        return this->finish(admin, storeFailure(Executed::No), context);
    this->scheduleRetry(*publication, context);
}

void NotePublisher::onReadBack(
    AdminRequestId admin, const PlatformResult& result, FleetReplica& fleetReplica, ControlContext& context)
{
    Publication* publication = this->find(admin);
    if (publication == nullptr)
        return;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr)
        return this->scheduleRetry(*publication, context);
    if (!rows->rows.empty())
        return this->compareWithRow(*publication, rows->rows.front(), fleetReplica, context);
    // The insert may still be in flight. A second one is safe, since both are conditional on the row's absence.
    if (publication->request.note.base == fleetReplica.fleet().version)
        return this->insert(*publication, context);
    this->finish(admin, NoteStale { fleetReplica.fleet().version }, context);
}

void NotePublisher::compareWithRow(
    Publication& publication, const TableRecord& row, FleetReplica& fleetReplica, ControlContext& context)
{
    const ReleaseNote& submitted = publication.request.note;
    const Outcome<ReleaseNote> decoded = context.codec.decodeNote(row.value);
    const auto* existing = std::get_if<ReleaseNote>(&decoded);
    if (existing == nullptr || existing->id != submitted.id) {
        const ReleaseVersion current = std::max(fleetReplica.fleet().version, nextVersion(submitted.base));
        this->finish(publication.request.admin, NoteStale { current }, context);
        return fleetReplica.refresh(context);
    }
    if (context.codec.encodeNote(*existing) == context.codec.encodeNote(submitted)) {
        // A row that this publication cannot have written was inserted by an earlier one, which recorded the act.
        if (publication.maybeWritten)
            NotePublisher::recordPublication(publication.request, context);
        return this->accept(publication, fleetReplica, context);
    }
    this->finish(publication.request.admin,
        Failure { ErrorCode::Conflict, "another note with this id was accepted", Executed::No, Milliseconds(0) },
        context);
}

void NotePublisher::accept(const Publication& publication, FleetReplica& fleetReplica, ControlContext& context)
{
    const ReleaseNote& note = publication.request.note;
    const ReleaseVersion version = nextVersion(note.base);
    fleetReplica.applyAcceptedNote(version, note, context);
    context.log("note_accepted",
        { { "version", std::to_string(version.get()) }, { "note", note.id.get() }, { "author", note.author } });
    this->finish(publication.request.admin, NoteAccepted { version, false }, context);
}

void NotePublisher::recordPublication(const PublishNote& request, ControlContext& context)
{
    const ReleaseNote& note = request.note;
    const std::string subject = "release/" + std::to_string(nextVersion(note.base).get());
    context.auditLog.record(
        { OrderId(note.id.get()), AuditedAction::NoteAccepted, subject, note.author, note.reason, request.at },
        context);
}

void NotePublisher::finish(AdminRequestId admin, AdminMessage message, ControlContext& context)
{
    context.answer(admin, std::move(message));
    this->publications.erase(admin);
}

void NotePublisher::onNotesRead(FleetReplica& fleetReplica, ControlContext& context)
{
    std::vector<AdminRequestId> awaitingRead;
    for (const auto& [admin, publication] : this->publications) {
        if (publication.stage == Stage::AwaitingRead)
            awaitingRead.push_back(admin);
    }
    for (const AdminRequestId admin : awaitingRead)
        this->advance(*this->find(admin), true, fleetReplica, context);
}

void NotePublisher::tick(FleetReplica&, ControlContext& context)
{
    std::vector<AdminRequestId> expired;
    for (auto& [admin, publication] : this->publications) {
        if (context.now >= publication.deadline)
            expired.push_back(admin);
        else if (publication.stage == Stage::AwaitingRetry && context.now >= publication.nextAttemptAt)
            this->readBack(publication, context);
    }
    for (const AdminRequestId admin : expired) {
        const Publication& publication = *this->find(admin);
        const bool notSent = publication.stage == Stage::AwaitingRead;
        this->finish(admin, storeFailure(notSent ? Executed::No : Executed::Unknown), context);
    }
}

}
