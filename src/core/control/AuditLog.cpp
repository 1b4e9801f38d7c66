#include "core/control/AuditLog.h"

#include "core/control/ReleaseKeys.h"

#include <utility>

namespace teaselfold {

namespace {

    /** Bounds memory during an outage; more than the operators' acts of many hours. */
    constexpr std::size_t maximumPendingActs = 4096;

    void logAct(const char* event, const AuditRecord& act, ControlContext& context)
    {
        context.log(event,
            { { "id", act.id.get() }, { "subject", act.subject }, { "author", act.author }, { "reason", act.reason } });
    }

}

void AuditLog::record(AuditRecord act, ControlContext& context)
{
    logAct("operator_act", act, context);
    if (this->pendingActs.size() >= maximumPendingActs)
        return logAct("act_not_recorded", act, context);
    const std::string key = actKey(act);
    PendingAct& pending = this->pendingActs[key];
    pending.act = std::move(act);
    this->write(key, pending, context);
}

void AuditLog::write(const std::string& key, PendingAct& pending, ControlContext& context)
{
    pending.writing = true;
    AuditRecord recorded = pending.act;
    recorded.recorded = true;
    context.submit(TableInsert { key, context.codec.encodeAuditRecord(recorded) }, ActWrite { key });
}

void AuditLog::onWrite(const ActWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    const auto found = this->pendingActs.find(purpose.key);
    if (found == this->pendingActs.end())
        return;
    if (!isUnavailable(result)) {
        // The key contains the act's id, so a conflicting row is this act, written by an earlier attempt.
        this->pendingActs.erase(found);
        return;
    }
    found->second.writing = false;
    found->second.nextTry = context.now + context.limits.retryInterval;
}

void AuditLog::query(const QueryAuditLog& request, ControlContext& context)
{
    const std::string after = request.after.empty() ? "" : actPrefix + request.after;
    context.submit(TableScan { actPrefix, after, request.limit }, ActScan { request.admin, request.limit });
}

void AuditLog::onScan(const ActScan& purpose, const PlatformResult& result, ControlContext& context)
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
        view.next = rows->rows.back().key.substr(std::string_view(actPrefix).size());
    else
        this->appendPending(view);
    context.answer(purpose.admin, std::move(view));
}

void AuditLog::appendPending(AuditLogView& view) const
{
    for (const auto& [key, pending] : this->pendingActs)
        view.records.push_back(pending.act);
}

void AuditLog::tick(ControlContext& context)
{
    for (auto& [key, pending] : this->pendingActs) {
        if (!pending.writing && context.now >= pending.nextTry)
            this->write(key, pending, context);
    }
}

}
