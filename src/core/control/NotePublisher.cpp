#include "core/control/NotePublisher.h"

#include "core/control/ActKeeper.h"
#include "core/control/ReleaseKeys.h"

#include <algorithm>

namespace teaselfold {

NotePublisher::NotePublisher(StrategyNames strategies)
    : strategies(std::move(strategies))
{
}

void NotePublisher::publish(const PublishNote& request, FleetKeeper& fleets, ControlContext& context)
{
    const Instant until = context.now + context.limits.publishWait;
    Publication& publication
        = this->publications.insert_or_assign(request.admin, Publication { request, until }).first->second;
    this->decide(publication, false, fleets, context);
}

NotePublisher::Publication* NotePublisher::find(AdminRequestId admin)
{
    const auto found = this->publications.find(admin);
    return found == this->publications.end() ? nullptr : &found->second;
}

void NotePublisher::decide(Publication& publication, bool refreshed, FleetKeeper& fleets, ControlContext& context)
{
    const AdminRequestId admin = publication.request.admin;
    const ReleaseVersion base = publication.request.note.base;
    const ReleaseVersion current = fleets.fleet().version;
    if (!fleets.isConfirmed())
        return this->end(admin, storeFailure(Executed::No), context);
    if (base == current)
        return this->checkAndInsert(publication, fleets, context);
    if (base < current && !publication.request.dryRun)
        return this->readBack(publication, context);
    if (base < current || refreshed)
        return this->end(admin, NoteStale { current }, context);
    publication.stage = Stage::AwaitingRead;
    fleets.refresh(context);
}

void NotePublisher::checkAndInsert(Publication& publication, const FleetKeeper& fleets, ControlContext& context)
{
    const PublishNote& request = publication.request;
    std::vector<NoteProblem> problems = checkNote(fleets.fleet(), request.note, this->strategies);
    if (!problems.empty())
        return this->end(request.admin, NoteInvalid { std::move(problems) }, context);
    if (request.dryRun)
        return this->end(request.admin, NoteAccepted { nextVersion(request.note.base), true }, context);
    this->insert(publication, context);
}

void NotePublisher::insert(Publication& publication, ControlContext& context)
{
    const ReleaseNote& note = publication.request.note;
    publication.stage = Stage::AwaitingTable;
    context.ask(TableInsert { releaseKey(nextVersion(note.base)), context.codec.encodeNote(note) },
        NoteInsert { publication.request.admin });
}

void NotePublisher::readBack(Publication& publication, ControlContext& context)
{
    publication.stage = Stage::AwaitingTable;
    const ReleaseVersion version = nextVersion(publication.request.note.base);
    context.ask(TableRead { releaseKey(version) }, NoteReadBack { publication.request.admin });
}

void NotePublisher::retryLater(Publication& publication, ControlContext& context)
{
    publication.stage = Stage::AwaitingRetry;
    publication.nextTry = context.now + context.limits.retryInterval;
}

void NotePublisher::onInsert(
    AdminRequestId admin, const PlatformResult& result, FleetKeeper& fleets, ControlContext& context)
{
    Publication* publication = this->find(admin);
    if (publication == nullptr)
        return;
    if (std::holds_alternative<WriteDone>(result)) {
        NotePublisher::recordAct(publication->request, context);
        return this->accept(*publication, fleets, context);
    }
    if (const auto* conflict = std::get_if<WriteConflict>(&result); conflict != nullptr && conflict->current)
        return this->onRow(*publication, *conflict->current, fleets, context);
    const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
    const bool sent = unavailable == nullptr || unavailable->sent;
    publication->maybeWritten = publication->maybeWritten || sent;
    if (!publication->maybeWritten)
        return this->end(admin, storeFailure(Executed::No), context);
    this->retryLater(*publication, context);
}

void NotePublisher::onReadBack(
    AdminRequestId admin, const PlatformResult& result, FleetKeeper& fleets, ControlContext& context)
{
    Publication* publication = this->find(admin);
    if (publication == nullptr)
        return;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr)
        return this->retryLater(*publication, context);
    if (!rows->rows.empty())
        return this->onRow(*publication, rows->rows.front(), fleets, context);
    // The row is not there (yet). The condition of a second insert keeps it from taking effect twice.
    if (publication->request.note.base == fleets.fleet().version)
        return this->insert(*publication, context);
    this->end(admin, NoteStale { fleets.fleet().version }, context);
}

void NotePublisher::onRow(
    Publication& publication, const TableRecord& row, FleetKeeper& fleets, ControlContext& context)
{
    const ReleaseNote& mine = publication.request.note;
    const Outcome<ReleaseNote> decoded = context.codec.decodeNote(row.value);
    const auto* there = std::get_if<ReleaseNote>(&decoded);
    if (there == nullptr || there->id != mine.id) {
        const ReleaseVersion current = std::max(fleets.fleet().version, nextVersion(mine.base));
        this->end(publication.request.admin, NoteStale { current }, context);
        return fleets.refresh(context);
    }
    if (context.codec.encodeNote(*there) == context.codec.encodeNote(mine)) {
        // A row that this publication cannot have written is an earlier act, which has its record.
        if (publication.maybeWritten)
            NotePublisher::recordAct(publication.request, context);
        return this->accept(publication, fleets, context);
    }
    this->end(publication.request.admin,
        Failure { ErrorCode::Conflict, "another note with this id was accepted", Executed::No, Milliseconds(0) },
        context);
}

void NotePublisher::accept(const Publication& publication, FleetKeeper& fleets, ControlContext& context)
{
    const ReleaseNote& note = publication.request.note;
    const ReleaseVersion version = nextVersion(note.base);
    fleets.takeNote(version, note, context);
    context.log("note_accepted",
        { { "version", std::to_string(version.get()) }, { "note", note.id.get() }, { "author", note.author } });
    this->end(publication.request.admin, NoteAccepted { version, false }, context);
}

void NotePublisher::recordAct(const PublishNote& request, ControlContext& context)
{
    const ReleaseNote& note = request.note;
    const std::string subject = "release/" + std::to_string(nextVersion(note.base).get());
    context.acts.record(
        { OrderId(note.id.get()), AuditedAction::NoteAccepted, subject, note.author, note.reason, request.at },
        context);
}

void NotePublisher::end(AdminRequestId admin, AdminMessage message, ControlContext& context)
{
    context.answer(admin, std::move(message));
    this->publications.erase(admin);
}

void NotePublisher::onNotesRead(FleetKeeper& fleets, ControlContext& context)
{
    std::vector<AdminRequestId> waiting;
    for (const auto& [admin, publication] : this->publications) {
        if (publication.stage == Stage::AwaitingRead)
            waiting.push_back(admin);
    }
    for (const AdminRequestId admin : waiting)
        this->decide(*this->find(admin), true, fleets, context);
}

void NotePublisher::tick(FleetKeeper&, ControlContext& context)
{
    std::vector<AdminRequestId> ended;
    for (auto& [admin, publication] : this->publications) {
        if (context.now >= publication.until)
            ended.push_back(admin);
        else if (publication.stage == Stage::AwaitingRetry && context.now >= publication.nextTry)
            this->readBack(publication, context);
    }
    for (const AdminRequestId admin : ended) {
        const Publication& publication = *this->find(admin);
        const bool untouched = publication.stage == Stage::AwaitingRead;
        this->end(admin, storeFailure(untouched ? Executed::No : Executed::Unknown), context);
    }
}

}
