#include "core/control/AuditLog.h"

#include "core/control/StorageKeys.h"

#include <utility>

namespace teaselfold {

namespace {

    /** Limits memory use during an outage; operators perform fewer acts than this in many hours. */
    constexpr std::size_t maximumPendingRecords = 4096;

    void logRecord(const char* event, const AuditRecord& act, ControlContext& context)
    {
        context.log(event,
            { { "id", act.id.get() }, { "subject", act.subject }, { "author", act.author }, { "reason", act.reason } });
    }

}

void AuditLog::record(AuditRecord act, ControlContext& context)
{
    logRecord("operator_act", act, context);
    if (this->pendingRecords.size() >= maximumPendingRecords)
        return logRecord("act_not_recorded", act, context);
    const std::string key = auditRecordKey(act);
    PendingRecord& pending = this->pendingRecords[key];
    pending.act = std::move(act);
    this->write(key, pending, context);
}

void AuditLog::write(const std::string& key, PendingRecord& pending, ControlContext& context)
{
    pending.writing = true;
    AuditRecord recorded = pending.act;
    recorded.recorded = true;
    context.submit(TableInsert { key, context.codec.encodeAuditRecord(recorded) }, AuditRecordWrite { key });
}

void AuditLog::onWrite(const AuditRecordWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    const auto found = this->pendingRecords.find(purpose.key);
    if (found == this->pendingRecords.end())
        return;
    if (!isUnavailable(result)) {
        // The key contains the act's id, so a conflicting row was written for this act by an earlier attempt.
        this->pendingRecords.erase(found);
        return;
    }
    found->second.writing = false;
    found->second.nextAttemptAt = context.now + context.limits.retryInterval;
}

void AuditLog::query(const QueryAuditLog& request, ControlContext& context)
{
    const std::string after = request.after.empty() ? "" : auditRecordPrefix + request.after;
    context.submit(
        TableScan { auditRecordPrefix, after, request.limit }, AuditLogScan { request.admin, request.limit });
}

void AuditLog::onScan(const AuditLogScan& purpose, const PlatformResult& result, ControlContext& context)
{
    AuditLogView view;
    const auto* rows = std::get_if<Rows>(&result);
    view.complete = rows != nullptr;
    for (const TableRecord& row : rows ? rows->rows : std::vector<TableRecord>()) {
        Outcome<AuditRecord> decoded = context.codec.decodeAuditRecord(row.value);
        if (auto* act = std::get_if<AuditRecord>(&decoded))
            view.records.push_back(std::move(*act));
        else
            context.log("act_unreadable", { { "key", row.key } });
    }
    const bool more = rows != nullptr && rows->rows.size() >= purpose.limit;
    if (more)
        view.next = rows->rows.back().key.substr(std::string_view(auditRecordPrefix).size());
    else
        this->appendPending(view);
    context.answer(purpose.admin, std::move(view));
}

void AuditLog::appendPending(AuditLogView& view) const
{
    for (const auto& [key, pending] : this->pendingRecords)
        view.records.push_back(pending.act);
}

void AuditLog::tick(ControlContext& context)
{
    for (auto& [key, pending] : this->pendingRecords) {
        if (!pending.writing && context.now >= pending.nextAttemptAt)
            this->write(key, pending, context);
    }
}

}
