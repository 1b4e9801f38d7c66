#include "core/control/OrderRegistry.h"

#include "core/control/AuditLog.h"
#include "core/control/StorageKeys.h"

namespace teaselfold {

namespace {

    void logOrder(const char* name, const ServiceOrder& order, ControlContext& context)
    {
        context.log(name,
            { { "subject", subjectText(order.subject) }, { "out", order.out ? "true" : "false" },
                { "order", order.id.get() }, { "sequence", std::to_string(order.sequence) },
                { "author", order.author } });
    }

}

void OrderRegistry::issue(const IssueOrder& request, ControlContext& context)
{
    ServiceOrder order;
    order.subject = request.subject;
    order.sequence = this->serviceOrders.highestSequence() + 1;
    order.out = request.out;
    order.id = context.generateId();
    order.author = request.author;
    order.reason = request.reason;
    this->merge(order, context);
    logOrder("order_given", order, context);
    const AuditedAction kind = order.out ? AuditedAction::TakenOut : AuditedAction::BroughtIn;
    context.auditLog.record(
        { order.id, kind, subjectText(order.subject), order.author, order.reason, request.at }, context);
    this->notifyRouter(context);
    PendingOrder& pending = this->pendingOrders[order.subject];
    pending.admin = request.admin;
    pending.answerDeadline = context.now + context.limits.orderConfirmationTimeout;
    this->write(pending, context);
}

bool OrderRegistry::merge(const ServiceOrder& order, ControlContext& context)
{
    if (!this->serviceOrders.merge(order))
        return false;
    this->resolvePending(order.subject, context);
    const ServiceOrder& current = *this->serviceOrders.find(order.subject);
    if (!current.recorded && !this->pendingOrders.contains(current.subject)) {
        PendingOrder pending;
        pending.order = current;
        pending.nextAttemptAt = context.now + context.limits.orderTakeoverDelay;
        this->pendingOrders.emplace(current.subject, pending);
    }
    return true;
}

void OrderRegistry::resolvePending(const OrderSubject& subject, ControlContext& context)
{
    const auto found = this->pendingOrders.find(subject);
    if (found == this->pendingOrders.end())
        return;
    const PendingOrder pending = found->second;
    const ServiceOrder& current = *this->serviceOrders.find(subject);
    const bool superseded = current.id != pending.order.id;
    if (!superseded && !current.recorded)
        return;
    this->pendingOrders.erase(found);
    logOrder(superseded ? "order_superseded" : "order_recorded", pending.order, context);
    if (pending.admin && superseded)
        context.answer(*pending.admin, OrderSuperseded { current });
    else if (pending.admin)
        context.answer(*pending.admin, OrderAccepted { current });
}

void OrderRegistry::mergePeerOrders(const std::vector<ServiceOrder>& orders, ControlContext& context)
{
    bool changed = false;
    for (const ServiceOrder& order : orders)
        changed = this->merge(order, context) || changed;
    if (changed)
        this->notifyRouter(context);
}

void OrderRegistry::poll(ControlContext& context)
{
    if (!this->scanning)
        this->refresh(context);
}

void OrderRegistry::refresh(ControlContext& context)
{
    this->scanning = true;
    this->scanAfter.clear();
    context.submit(TableScan { orderPrefix, "", context.limits.scanLimit }, OrderScan {});
}

void OrderRegistry::onScan(const PlatformResult& result, ControlContext& context)
{
    const auto* rows = std::get_if<Rows>(&result);
    this->scanning = false;
    if (rows == nullptr)
        return;
    bool changed = false;
    for (const TableRecord& row : rows->rows)
        changed = this->mergeRow(row, context) || changed;
    if (changed)
        this->notifyRouter(context);
    if (rows->rows.size() < context.limits.scanLimit)
        return;
    this->scanning = true;
    this->scanAfter = rows->rows.back().key;
    context.submit(TableScan { orderPrefix, this->scanAfter, context.limits.scanLimit }, OrderScan {});
}

bool OrderRegistry::mergeRow(const TableRecord& row, ControlContext& context)
{
    Outcome<ServiceOrder> decoded = context.codec.decodeOrder(row.value);
    auto* order = std::get_if<ServiceOrder>(&decoded);
    if (order == nullptr || orderKey(order->subject) != row.key) {
        context.log("order_unreadable", { { "key", row.key } });
        return false;
    }
    this->rowVersions[order->subject] = row.version;
    order->recorded = true;
    return this->merge(*order, context);
}

void OrderRegistry::write(PendingOrder& pending, ControlContext& context)
{
    pending.writing = true;
    ServiceOrder recorded = pending.order;
    recorded.recorded = true;
    const std::string key = orderKey(recorded.subject);
    const std::string value = context.codec.encodeOrder(recorded);
    const auto row = this->rowVersions.find(recorded.subject);
    if (row == this->rowVersions.end())
        context.submit(TableInsert { key, value }, OrderWrite { recorded });
    else
        context.submit(TableReplace { key, value, row->second }, OrderWrite { recorded });
}

void OrderRegistry::onWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context)
{
    const OrderSubject& subject = purpose.order.subject;
    bool changed = false;
    if (const auto* done = std::get_if<WriteDone>(&result)) {
        this->rowVersions[subject] = done->version;
        changed = this->merge(purpose.order, context);
    }
    const auto* conflict = std::get_if<WriteConflict>(&result);
    if (conflict != nullptr) {
        this->rowVersions.erase(subject);
        if (conflict->current)
            this->rowVersions[subject] = conflict->current->version;
        changed = conflict->current && this->mergeRow(*conflict->current, context);
    }
    if (changed)
        this->notifyRouter(context);
    const auto found = this->pendingOrders.find(subject);
    if (found == this->pendingOrders.end() || found->second.order.id != purpose.order.id)
        return;
    found->second.writing = false;
    if (conflict != nullptr)
        return this->write(found->second, context);
    found->second.nextAttemptAt = context.now + context.limits.retryInterval;
    this->answerUnrecorded(found->second, context);
}

void OrderRegistry::answerUnrecorded(PendingOrder& pending, ControlContext& context)
{
    if (!pending.admin)
        return;
    context.answer(*pending.admin, OrderAccepted { pending.order });
    pending.admin.reset();
}

void OrderRegistry::tick(ControlContext& context)
{
    for (auto& [subject, pending] : this->pendingOrders) {
        if (pending.admin && context.now >= pending.answerDeadline)
            this->answerUnrecorded(pending, context);
        if (!pending.writing && context.now >= pending.nextAttemptAt)
            this->write(pending, context);
    }
}

void OrderRegistry::notifyRouter(ControlContext& context)
{
    context.actions.emplace_back(ToRouter { OrdersChanged { this->serviceOrders.all() } });
}

}
