#include "emulator/PlatformModel.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

bool isWrite(const PlatformRequest& request)
{
    return std::holds_alternative<TableInsert>(request) || std::holds_alternative<TableReplace>(request)
        || std::holds_alternative<TableErase>(request) || std::holds_alternative<ObjectWrite>(request);
}

bool PlatformModel::TokenBucket::tryTake(std::uint32_t perSecond, Instant now)
{
    const std::chrono::duration<double> passed = now - this->lastRefill;
    const double limit = perSecond;
    this->tokens = this->tokens < 0 ? limit : std::min(limit, this->tokens + passed.count() * limit);
    this->lastRefill = now;
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

PlatformOutcome PlatformModel::perform(const PlatformRequest& request, Instant now)
{
    constexpr Milliseconds retryAfter { 100 };
    const bool write = isWrite(request);
    TokenBucket& bucket = write ? this->writes : this->reads;
    const std::uint32_t limit = write ? this->settings.writesPerSecond : this->settings.readsPerSecond;
    if (!bucket.tryTake(limit, now))
        return RateLimited { retryAfter };
    return std::visit([&](const auto& operation) { return this->apply(operation, now); }, request);
}

std::variant<TableRecord*, WriteConflict> PlatformModel::findAtVersion(const std::string& key, std::uint64_t version)
{
    const auto found = this->table.find(key);
    if (found == this->table.end())
        return WriteConflict {};
    if (found->second.version != version)
        return WriteConflict { found->second };
    return &found->second;
}

PlatformResult PlatformModel::apply(const TableInsert& request, Instant)
{
    const auto [position, added] = this->table.try_emplace(request.key, TableRecord { request.key, request.value, 1 });
    if (!added)
        return WriteConflict { position->second };
    return WriteDone { 1 };
}

PlatformResult PlatformModel::apply(const TableReplace& request, Instant)
{
    auto row = this->findAtVersion(request.key, request.expectedVersion);
    if (auto* conflict = std::get_if<WriteConflict>(&row))
        return std::move(*conflict);
    TableRecord& record = **std::get_if<TableRecord*>(&row);
    record.value = request.value;
    ++record.version;
    return WriteDone { record.version };
}

PlatformResult PlatformModel::apply(const TableErase& request, Instant)
{
    auto row = this->findAtVersion(request.key, request.expectedVersion);
    if (auto* conflict = std::get_if<WriteConflict>(&row))
        return std::move(*conflict);
    this->table.erase(request.key);
    return WriteDone { 0 };
}

PlatformResult PlatformModel::apply(const TableRead& request, Instant)
{
    const auto found = this->table.find(request.key);
    if (found == this->table.end())
        return Rows {};
    return Rows { { found->second } };
}

PlatformResult PlatformModel::apply(const TableScan& request, Instant)
{
    Rows result;
    auto row = this->table.lower_bound(request.prefix);
    if (request.after >= request.prefix)
        row = this->table.upper_bound(request.after);
    while (row != this->table.end() && row->first.starts_with(request.prefix) && result.rows.size() < request.limit) {
        result.rows.push_back(row->second);
        ++row;
    }
    return result;
}

PlatformResult PlatformModel::apply(const ObjectWrite& request, Instant)
{
    TableRecord& record = this->objects[request.key];
    record.key = request.key;
    record.value = request.value;
    ++record.version;
    return WriteDone { record.version };
}

PlatformResult PlatformModel::apply(const ObjectRead& request, Instant)
{
    const auto found = this->objects.find(request.key);
    if (found == this->objects.end())
        return ObjectMissing {};
    return ObjectFound { found->second.value };
}

PlatformResult PlatformModel::apply(const InstanceListRead&, Instant now)
{
    while (!this->pendingChanges.empty() && this->pendingChanges.front().visibleAt <= now) {
        const InstanceState state = this->pendingChanges.front().state;
        this->visibleInstances[state.name] = state;
        this->pendingChanges.pop_front();
    }
    InstanceList list;
    for (const auto& [name, state] : this->visibleInstances)
        list.instances.push_back(state);
    return list;
}

void PlatformModel::setInstance(const InstanceState& instance, Instant now)
{
    this->pendingChanges.push_back(InstanceChange { now + this->settings.instanceListLag, instance });
}

}
