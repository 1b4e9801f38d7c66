#include "core/control/ActKeeper.h"

#include "core/control/ReleaseKeys.h"

#include <utility>

namespace teaselfold {

namespace {

    /** More acts than operators give in an outage of many hours. */
    constexpr std::size_t waitingLimit = 4096;

    void logAct(const char* event, const AuditRecord& act, ControlContext& context)
    {
        context.log(event,
            { { "id", act.id.get() }, { "subject", act.subject }, { "author", act.author }, { "reason", act.reason } });
    }

}

void ActKeeper::record(AuditRecord act, ControlContext& context)
{
    logAct("operator_act", act, context);
    if (this->waiting.size() >= waitingLimit)
        return logAct("act_not_recorded", act, context);
    const std::string key = actKey(act);
    Pending& pending = this->waiting[key];
    pending.act = std::move(act);
    this->write(key, pending, context);
}

void ActKeeper::write(const std::string& key, Pending& pending, ControlContext& context)
{
    pending.writing = true;
    AuditRecord recorded = pending.act;
    recorded.recorded = true;
    context.ask(TableInsert { key, context.codec.encodeAuditRecord(recorded) }, ActWrite { key });
}

void ActKeeper::onWrite(const ActWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    const auto found = this->waiting.find(purpose.key);
    if (found == this->waiting.end())
        return;
    if (!isUnavailable(result)) {
        // The key holds the act's own id, so a row that is there already is this record.
        this->waiting.erase(found);
        return;
    }
    found->second.writing = false;
    found->second.nextTry = context.now + context.limits.retryInterval;
}

void ActKeeper::query(const QueryAuditLog& request, ControlContext& context)
{
    const std::string after = request.after.empty() ? "" : actPrefix + request.after;
    context.ask(TableScan { actPrefix, after, request.limit }, ActScan { request.admin, request.limit });
}

void ActKeeper::onScan(const ActScan& purpose, const PlatformResult& result, ControlContext& context)
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
        this->addPending(view);
    context.answer(purpose.admin, std::move(view));
}

void ActKeeper::addPending(AuditLogView& view) const
{
    for (const auto& [key, pending] : this->waiting)
        view.records.push_back(pending.act);
}

void ActKeeper::tick(ControlContext& context)
{
    for (auto& [key, pending] : this->waiting) {
        if (!pending.writing && context.now >= pending.nextTry)
            this->write(key, pending, context);
    }
}

}
