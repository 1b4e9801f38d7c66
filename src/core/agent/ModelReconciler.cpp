#include "core/agent/ModelReconciler.h"

#include <algorithm>
#include <charconv>

namespace teaselfold {

namespace {

    const std::string fencingKeyPrefix = "fence/";

    std::uint64_t parseNumber(const std::string& text)
    {
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    /** Engines report a loaded model either by its name alone or as `name@version`. */
    std::string modelNameOf(const std::string& loaded) { return loaded.substr(0, loaded.find('@')); }

    bool belongsToOwnService(const AgentControlState& controlState, const Model& model)
    {
        const Endpoint* own = controlState.ownEndpoint();
        return own != nullptr && own->service == model.service;
    }

    std::set<std::string> desiredNames(const AgentControlState& controlState)
    {
        std::set<std::string> names;
        for (const auto& [id, model] : controlState.fleet().models) {
            if (!belongsToOwnService(controlState, model))
                continue;
            names.insert(id.get());
            names.insert(model.adapters.begin(), model.adapters.end());
        }
        return names;
    }

}

ModelReconciler::ModelReconciler(EndpointId endpoint, AgentLimits limits)
    : endpoint(std::move(endpoint))
    , limits(limits)
{
}

bool ModelReconciler::isModelMissing(
    const AgentControlState& controlState, const EngineReport& report, const ModelId& model)
{
    const auto found = controlState.fleet().models.find(model);
    if (found == controlState.fleet().models.end() || !belongsToOwnService(controlState, found->second))
        return false;
    return std::none_of(report.loadedModels.begin(), report.loadedModels.end(),
        [&](const std::string& loaded) { return modelNameOf(loaded) == model.get(); });
}

bool ModelReconciler::isLoaded(const EngineReport& report, const Model& model) const
{
    const auto ordered = this->orderedVersions.find(model.id.get());
    const bool current = ordered != this->orderedVersions.end() && ordered->second == model.version;
    const std::string versioned = model.id.get() + "@" + model.version;
    return std::any_of(report.loadedModels.begin(), report.loadedModels.end(),
        [&](const std::string& loaded) { return loaded == versioned || (current && loaded == model.id.get()); });
}

void ModelReconciler::addMissingAdapters(const Model& model, std::vector<EngineOrder>& orders) const
{
    for (const std::string& adapter : model.adapters) {
        if (!this->loadedAdapters.contains(adapter))
            orders.push_back({ EngineOrderKind::LoadAdapter, adapter, model.version, this->fencingToken });
    }
}

std::vector<EngineOrder> ModelReconciler::pendingOrders(
    const AgentControlState& controlState, const EngineReport& report) const
{
    std::vector<EngineOrder> orders;
    for (const auto& [id, model] : controlState.fleet().models) {
        if (!belongsToOwnService(controlState, model))
            continue;
        if (isLoaded(report, model))
            this->addMissingAdapters(model, orders);
        else
            orders.push_back({ EngineOrderKind::LoadModel, id.get(), model.version, this->fencingToken });
    }
    const std::set<std::string> desired = desiredNames(controlState);
    for (const std::string& loaded : report.loadedModels) {
        if (!desired.contains(modelNameOf(loaded)))
            orders.push_back({ EngineOrderKind::UnloadModel, modelNameOf(loaded), {}, this->fencingToken });
    }
    return orders;
}

void ModelReconciler::send(PlatformRequest request, std::vector<AgentAction>& actions)
{
    this->lastOperation += 1;
    actions.push_back(ToPlatform { PlatformOperation { OperationId(this->lastOperation), std::move(request) } });
}

void ModelReconciler::readFencingRow(Stage next, std::vector<AgentAction>& actions)
{
    this->stage = next;
    this->send(TableRead { fencingKeyPrefix + this->endpoint.get() }, actions);
}

void ModelReconciler::tick(const AgentControlState& controlState, const std::optional<EngineReport>& report,
    Instant now, std::vector<AgentAction>& actions)
{
    const Endpoint* own = controlState.ownEndpoint();
    const bool waiting
        = this->stage == Stage::Reading || this->stage == Stage::Writing || this->stage == Stage::Verifying;
    if (this->superseded || waiting || own == nullptr || !report)
        return;
    if (report->incarnation != this->engineIncarnation) {
        this->engineIncarnation = report->incarnation;
        this->loadedAdapters.clear();
        this->orderedVersions.clear();
    }
    const std::vector<EngineOrder> orders = this->pendingOrders(controlState, *report);
    if (orders.empty() || (this->nextAttemptAt && now < *this->nextAttemptAt))
        return;
    if (this->stage == Stage::NoToken) {
        this->nextAttemptAt = now + this->limits.storeRetryInterval;
        this->readFencingRow(Stage::Reading, actions);
        return;
    }
    if (!own->checksFencing && this->stage != Stage::Verified) {
        this->nextAttemptAt = now + this->limits.storeRetryInterval;
        this->readFencingRow(Stage::Verifying, actions);
        return;
    }
    this->stage = Stage::Held;
    this->nextAttemptAt = now + this->limits.orderInterval;
    for (const EngineOrder& order : orders)
        actions.push_back(ToEngine { order });
}

void ModelReconciler::onFencingRowRead(const Rows& rows, std::vector<AgentAction>& actions)
{
    const std::string key = fencingKeyPrefix + this->endpoint.get();
    this->stage = Stage::Writing;
    if (rows.rows.empty()) {
        this->requestedToken = 1;
        this->send(TableInsert { key, "1" }, actions);
        return;
    }
    const TableRecord& row = rows.rows.front();
    this->requestedToken = parseNumber(row.value) + 1;
    this->send(TableReplace { key, std::to_string(this->requestedToken), row.version }, actions);
}

void ModelReconciler::onFencingRowVerified(const PlatformResult& result, std::vector<AgentAction>& actions)
{
    this->stage = Stage::Held;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr || rows->rows.empty())
        return;
    if (parseNumber(rows->rows.front().value) > this->fencingToken) {
        this->supersede(actions);
        return;
    }
    this->stage = Stage::Verified;
    this->nextAttemptAt.reset();
}

void ModelReconciler::handle(const PlatformReply& reply, std::vector<AgentAction>& actions)
{
    if (reply.operation != OperationId(this->lastOperation))
        return;
    if (this->stage == Stage::Verifying) {
        this->onFencingRowVerified(reply.result, actions);
        return;
    }
    if (const auto* rows = std::get_if<Rows>(&reply.result); rows != nullptr && this->stage == Stage::Reading) {
        this->onFencingRowRead(*rows, actions);
        return;
    }
    if (std::holds_alternative<WriteDone>(reply.result) && this->stage == Stage::Writing) {
        this->stage = Stage::Held;
        this->fencingToken = this->requestedToken;
        this->nextAttemptAt.reset();
        return;
    }
    // The reply was lost or another agent wrote first. The row is read again; a skipped token does no harm.
    if (this->stage == Stage::Reading || this->stage == Stage::Writing)
        this->stage = Stage::NoToken;
}

void ModelReconciler::handle(const EngineOrderResult& result, std::vector<AgentAction>& actions)
{
    const std::string& name = result.order.name;
    if (result.accepted && result.order.kind == EngineOrderKind::LoadAdapter)
        this->loadedAdapters.insert(name);
    if (result.accepted && result.order.kind == EngineOrderKind::LoadModel)
        this->orderedVersions[name] = result.order.version;
    actions.push_back(LogEvent { "engine_order",
        { { "name", name }, { "accepted", result.accepted ? "true" : "false" },
            { "fence", std::to_string(result.order.fence) }, { "message", result.message } } });
    if (result.outdatedFence && result.order.fence == this->fencingToken)
        this->supersede(actions);
}

void ModelReconciler::supersede(std::vector<AgentAction>& actions)
{
    this->superseded = true;
    actions.push_back(LogEvent { "superseded", { { "fence", std::to_string(this->fencingToken) } } });
}

}
