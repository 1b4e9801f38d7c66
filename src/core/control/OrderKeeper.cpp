#include "core/control/OrderKeeper.h"

#include "core/control/ActKeeper.h"
#include "core/control/ReleaseKeys.h"

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

void OrderKeeper::give(const IssueOrder& request, ControlContext& context)
{
    ServiceOrder order;
    order.subject = request.subject;
    order.sequence = this->known.highestSequence() + 1;
    order.out = request.out;
    order.id = context.drawId();
    order.author = request.author;
    order.reason = request.reason;
    this->merge(order, context);
    logOrder("order_given", order, context);
    const AuditedAction kind = order.out ? AuditedAction::TakenOut : AuditedAction::BroughtIn;
    context.acts.record(
        { order.id, kind, subjectText(order.subject), order.author, order.reason, request.at }, context);
    this->announce(context);
    Recording& recording = this->recordings[order.subject];
    recording.admin = request.admin;
    recording.answerBy = context.now + context.limits.orderAnswerWait;
    this->write(recording, context);
}

bool OrderKeeper::merge(const ServiceOrder& order, ControlContext& context)
{
    if (!this->known.merge(order))
        return false;
    this->settle(order.subject, context);
    const ServiceOrder& current = *this->known.find(order.subject);
    if (!current.recorded && !this->recordings.contains(current.subject)) {
        Recording recording;
        recording.order = current;
        recording.nextTry = context.now + context.limits.adoptionDelay;
        this->recordings.emplace(current.subject, recording);
    }
    return true;
}

void OrderKeeper::settle(const OrderSubject& subject, ControlContext& context)
{
    const auto found = this->recordings.find(subject);
    if (found == this->recordings.end())
        return;
    const Recording recording = found->second;
    const ServiceOrder& current = *this->known.find(subject);
    const bool superseded = current.id != recording.order.id;
    if (!superseded && !current.recorded)
        return;
    this->recordings.erase(found);
    logOrder(superseded ? "order_superseded" : "order_recorded", recording.order, context);
    if (recording.admin && superseded)
        context.answer(*recording.admin, OrderSuperseded { current });
    else if (recording.admin)
        context.answer(*recording.admin, OrderAccepted { current });
}

void OrderKeeper::takePeerOrders(const std::vector<ServiceOrder>& orders, ControlContext& context)
{
    bool changed = false;
    for (const ServiceOrder& order : orders)
        changed = this->merge(order, context) || changed;
    if (changed)
        this->announce(context);
}

void OrderKeeper::poll(ControlContext& context)
{
    if (!this->scanning)
        this->refresh(context);
}

void OrderKeeper::refresh(ControlContext& context)
{
    this->scanning = true;
    this->scanAfter.clear();
    context.ask(TableScan { orderPrefix, "", context.limits.scanLimit }, OrderScan {});
}

void OrderKeeper::onScan(const PlatformResult& result, ControlContext& context)
{
    const auto* rows = std::get_if<Rows>(&result);
    this->scanning = false;
    if (rows == nullptr)
        return;
    bool changed = false;
    for (const TableRecord& row : rows->rows)
        changed = this->takeRow(row, context) || changed;
    if (changed)
        this->announce(context);
    if (rows->rows.size() < context.limits.scanLimit)
        return;
    this->scanning = true;
    this->scanAfter = rows->rows.back().key;
    context.ask(TableScan { orderPrefix, this->scanAfter, context.limits.scanLimit }, OrderScan {});
}

bool OrderKeeper::takeRow(const TableRecord& row, ControlContext& context)
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

void OrderKeeper::write(Recording& recording, ControlContext& context)
{
    recording.writing = true;
    ServiceOrder recorded = recording.order;
    recorded.recorded = true;
    const std::string key = orderKey(recorded.subject);
    const std::string value = context.codec.encodeOrder(recorded);
    const auto row = this->rowVersions.find(recorded.subject);
    if (row == this->rowVersions.end())
        context.ask(TableInsert { key, value }, OrderWrite { recorded });
    else
        context.ask(TableReplace { key, value, row->second }, OrderWrite { recorded });
}

void OrderKeeper::onWrite(const OrderWrite& purpose, const PlatformResult& result, ControlContext& context)
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
        changed = conflict->current && this->takeRow(*conflict->current, context);
    }
    if (changed)
        this->announce(context);
    const auto found = this->recordings.find(subject);
    if (found == this->recordings.end() || found->second.order.id != purpose.order.id)
        return;
    found->second.writing = false;
    if (conflict != nullptr)
        return this->write(found->second, context);
    found->second.nextTry = context.now + context.limits.retryInterval;
    this->answerUnrecorded(found->second, context);
}

void OrderKeeper::answerUnrecorded(Recording& recording, ControlContext& context)
{
    if (!recording.admin)
        return;
    context.answer(*recording.admin, OrderAccepted { recording.order });
    recording.admin.reset();
}

void OrderKeeper::tick(ControlContext& context)
{
    for (auto& [subject, recording] : this->recordings) {
        if (recording.admin && context.now >= recording.answerBy)
            this->answerUnrecorded(recording, context);
        if (!recording.writing && context.now >= recording.nextTry)
            this->write(recording, context);
    }
}

void OrderKeeper::announce(ControlContext& context)
{
    context.actions.emplace_back(ToRouter { OrdersChanged { this->known.all() } });
}

}
