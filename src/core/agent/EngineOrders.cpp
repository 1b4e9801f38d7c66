#include "core/agent/EngineOrders.h"

#include <algorithm>
#include <charconv>

namespace teaselfold {

namespace {

    const std::string fencePrefix = "fence/";

    std::uint64_t numberFrom(const std::string& text)
    {
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    /** Engines name a loaded model by its name alone or as `name@version`. */
    std::string nameOf(const std::string& loaded) { return loaded.substr(0, loaded.find('@')); }

    bool belongsHere(const AgentKnowledge& knowledge, const Model& model)
    {
        const Endpoint* own = knowledge.ownEndpoint();
        return own != nullptr && own->service == model.service;
    }

    std::set<std::string> wantedNames(const AgentKnowledge& knowledge)
    {
        std::set<std::string> names;
        for (const auto& [id, model] : knowledge.fleet().models) {
            if (!belongsHere(knowledge, model))
                continue;
            names.insert(id.get());
            names.insert(model.adapters.begin(), model.adapters.end());
        }
        return names;
    }

}

EngineOrders::EngineOrders(EndpointId endpoint, AgentLimits limits)
    : endpoint(std::move(endpoint))
    , limits(limits)
{
}

bool EngineOrders::lacksModel(const AgentKnowledge& knowledge, const EngineReport& report, const ModelId& model)
{
    const auto found = knowledge.fleet().models.find(model);
    if (found == knowledge.fleet().models.end() || !belongsHere(knowledge, found->second))
        return false;
    return std::none_of(report.loadedModels.begin(), report.loadedModels.end(),
        [&](const std::string& loaded) { return nameOf(loaded) == model.get(); });
}

bool EngineOrders::holds(const EngineReport& report, const Model& model) const
{
    const auto ordered = this->orderedVersions.find(model.id.get());
    const bool current = ordered != this->orderedVersions.end() && ordered->second == model.version;
    const std::string versioned = model.id.get() + "@" + model.version;
    return std::any_of(report.loadedModels.begin(), report.loadedModels.end(),
        [&](const std::string& loaded) { return loaded == versioned || (current && loaded == model.id.get()); });
}

void EngineOrders::addAdapters(const Model& model, std::vector<EngineOrder>& orders) const
{
    for (const std::string& adapter : model.adapters) {
        if (!this->loadedAdapters.contains(adapter))
            orders.push_back({ EngineOrderKind::LoadAdapter, adapter, model.version, this->fence });
    }
}

std::vector<EngineOrder> EngineOrders::missing(const AgentKnowledge& knowledge, const EngineReport& report) const
{
    std::vector<EngineOrder> orders;
    for (const auto& [id, model] : knowledge.fleet().models) {
        if (!belongsHere(knowledge, model))
            continue;
        if (holds(report, model))
            this->addAdapters(model, orders);
        else
            orders.push_back({ EngineOrderKind::LoadModel, id.get(), model.version, this->fence });
    }
    const std::set<std::string> wanted = wantedNames(knowledge);
    for (const std::string& loaded : report.loadedModels) {
        if (!wanted.contains(nameOf(loaded)))
            orders.push_back({ EngineOrderKind::UnloadModel, nameOf(loaded), {}, this->fence });
    }
    return orders;
}

void EngineOrders::send(PlatformRequest request, std::vector<AgentAction>& actions)
{
    this->operations += 1;
    actions.push_back(ToPlatform { PlatformOperation { OperationId(this->operations), std::move(request) } });
}

void EngineOrders::readFence(Stage next, std::vector<AgentAction>& actions)
{
    this->stage = next;
    this->send(TableRead { fencePrefix + this->endpoint.get() }, actions);
}

void EngineOrders::tick(const AgentKnowledge& knowledge, const std::optional<EngineReport>& report, Instant now,
    std::vector<AgentAction>& actions)
{
    const Endpoint* own = knowledge.ownEndpoint();
    const bool waiting
        = this->stage == Stage::Reading || this->stage == Stage::Writing || this->stage == Stage::Verifying;
    if (this->superseded || waiting || own == nullptr || !report)
        return;
    if (report->incarnation != this->engineIncarnation) {
        this->engineIncarnation = report->incarnation;
        this->loadedAdapters.clear();
        this->orderedVersions.clear();
    }
    const std::vector<EngineOrder> orders = this->missing(knowledge, *report);
    if (orders.empty() || (this->nextTry && now < *this->nextTry))
        return;
    if (this->stage == Stage::NoFence) {
        this->nextTry = now + this->limits.storeRetryInterval;
        this->readFence(Stage::Reading, actions);
        return;
    }
    if (!own->checksFencing && this->stage != Stage::Verified) {
        this->nextTry = now + this->limits.storeRetryInterval;
        this->readFence(Stage::Verifying, actions);
        return;
    }
    this->stage = Stage::Held;
    this->nextTry = now + this->limits.orderInterval;
    for (const EngineOrder& order : orders)
        actions.push_back(ToEngine { order });
}

void EngineOrders::onFenceRead(const Rows& rows, std::vector<AgentAction>& actions)
{
    const std::string key = fencePrefix + this->endpoint.get();
    this->stage = Stage::Writing;
    if (rows.rows.empty()) {
        this->wantedFence = 1;
        this->send(TableInsert { key, "1" }, actions);
        return;
    }
    const TableRecord& row = rows.rows.front();
    this->wantedFence = numberFrom(row.value) + 1;
    this->send(TableReplace { key, std::to_string(this->wantedFence), row.version }, actions);
}

void EngineOrders::onFenceVerified(const PlatformResult& result, std::vector<AgentAction>& actions)
{
    this->stage = Stage::Held;
    const auto* rows = std::get_if<Rows>(&result);
    if (rows == nullptr || rows->rows.empty())
        return;
    if (numberFrom(rows->rows.front().value) > this->fence) {
        this->supersede(actions);
        return;
    }
    this->stage = Stage::Verified;
    this->nextTry.reset();
}

void EngineOrders::handle(const PlatformReply& reply, std::vector<AgentAction>& actions)
{
    if (reply.operation != OperationId(this->operations))
        return;
    if (this->stage == Stage::Verifying) {
        this->onFenceVerified(reply.result, actions);
        return;
    }
    if (const auto* rows = std::get_if<Rows>(&reply.result); rows != nullptr && this->stage == Stage::Reading) {
        this->onFenceRead(*rows, actions);
        return;
    }
    if (std::holds_alternative<WriteDone>(reply.result) && this->stage == Stage::Writing) {
        this->stage = Stage::Held;
        this->fence = this->wantedFence;
        this->nextTry.reset();
        return;
    }
    // A lost answer or a lost race: a number is skipped, which does no harm, and the row is read again.
    if (this->stage == Stage::Reading || this->stage == Stage::Writing)
        this->stage = Stage::NoFence;
}

void EngineOrders::handle(const EngineOrderResult& result, std::vector<AgentAction>& actions)
{
    const std::string& name = result.order.name;
    if (result.accepted && result.order.kind == EngineOrderKind::LoadAdapter)
        this->loadedAdapters.insert(name);
    if (result.accepted && result.order.kind == EngineOrderKind::LoadModel)
        this->orderedVersions[name] = result.order.version;
    actions.push_back(LogEvent { "engine_order",
        { { "name", name }, { "accepted", result.accepted ? "true" : "false" },
            { "fence", std::to_string(result.order.fence) }, { "message", result.message } } });
    if (result.outdatedFence && result.order.fence == this->fence)
        this->supersede(actions);
}

void EngineOrders::supersede(std::vector<AgentAction>& actions)
{
    this->superseded = true;
    actions.push_back(LogEvent { "superseded", { { "fence", std::to_string(this->fence) } } });
}

}
