#include "emulator/EngineModel.h"

#include <algorithm>
#include <utility>

namespace teaselfold {

namespace {

    constexpr std::size_t eventBatchCapacity = 64;

}

EngineReport EngineModel::report(Instant now)
{
    this->publishIfDue(now);
    return this->publishedReport;
}

EngineReport EngineModel::currentReport(Instant now) const
{
    EngineReport report;
    report.incarnation = this->currentIncarnation;
    report.running = static_cast<std::uint32_t>(this->running.size());
    report.waiting = static_cast<std::uint32_t>(this->waiting.size());
    report.blocksUsed = this->blocksUsed();
    report.blocksTotal = this->usableBlocks();
    report.tokensPerBlock = this->settings.tokensPerBlock;
    report.preemptions = this->preemptionCount;
    report.loadedModels = this->servedModels(now);
    report.role = this->role;
    report.highestFence = this->highestFence;
    return report;
}

void EngineModel::publishIfDue(Instant now)
{
    if (now < this->nextPublish)
        return;
    this->nextPublish = now + this->settings.reportInterval;
    this->publishedReport = std::move(this->pendingReport);
    this->pendingReport = this->currentReport(now);
    if (this->pendingEvents)
        this->publishedEvents.push_back(*std::exchange(this->pendingEvents, std::nullopt));
    if (this->publishedEvents.size() > eventBatchCapacity)
        this->publishedEvents.pop_front();
    EngineCacheEvents batch { 0, this->cache.takeStored(), this->cache.takeDropped() };
    if (batch.stored.empty() && batch.dropped.empty())
        return;
    batch.sequence = ++this->eventSequence;
    if (this->random.uniform() >= this->settings.cacheEventLossProbability)
        this->pendingEvents = std::move(batch);
}

EngineCacheEvents EngineModel::cacheEvents(std::uint64_t after, Instant now)
{
    this->publishIfDue(now);
    // A sequence number above the current one belongs to an earlier incarnation.
    const std::uint64_t from = after > this->eventSequence ? 0 : after;
    const auto found = std::find_if(this->publishedEvents.begin(), this->publishedEvents.end(),
        [&](const EngineCacheEvents& batch) { return batch.sequence > from; });
    if (found == this->publishedEvents.end())
        return EngineCacheEvents { from, {}, {} };
    return *found;
}

bool EngineModel::isServed(const std::string& name, Instant now) const
{
    const auto found = this->loadedModels.find(name);
    return found != this->loadedModels.end() && (now >= found->second.readyAt || found->second.previousVersion);
}

std::vector<std::string> EngineModel::servedModels(Instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, loaded] : this->loadedModels) {
        if (!this->isServed(name, now))
            continue;
        const std::string& version = now >= loaded.readyAt ? loaded.version : *loaded.previousVersion;
        names.push_back(version.empty() ? name : name + "@" + version);
    }
    return names;
}

void EngineModel::loadModel(const EngineOrder& order, Instant now)
{
    const Instant readyAt = now + this->settings.modelLoadTime;
    const auto [position, added]
        = this->loadedModels.try_emplace(order.name, LoadedModel { order.version, readyAt, {} });
    LoadedModel& loaded = position->second;
    if (added || loaded.version == order.version)
        return;
    if (now >= loaded.readyAt)
        loaded.previousVersion = loaded.version;
    loaded.version = order.version;
    loaded.readyAt = readyAt;
}

EngineOrderResult EngineModel::executeOrder(const EngineOrder& order, Instant now)
{
    if (this->settings.checksFencing && order.fence < this->highestFence)
        return EngineOrderResult { order, false, "old fencing number", true };
    this->highestFence = std::max(this->highestFence, order.fence);
    switch (order.kind) {
    case EngineOrderKind::LoadModel:
    case EngineOrderKind::LoadAdapter:
        this->loadModel(order, now);
        break;
    case EngineOrderKind::UnloadModel:
        this->loadedModels.erase(order.name);
        break;
    case EngineOrderKind::ChangeRole:
        this->role = order.name;
        break;
    }
    return EngineOrderResult { order, true, {} };
}

}
