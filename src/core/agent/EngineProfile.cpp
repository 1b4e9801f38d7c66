#include "core/agent/EngineProfile.h"

#include <algorithm>

namespace teaselfold {

namespace {

    constexpr double quantileStepUp = 0.04;
    constexpr double quantileStepDown = 0.0005;
    constexpr double minQuantile = 0.45;
    constexpr double maxQuantile = 0.97;
    constexpr double usageScaleStepUp = 1.03;
    constexpr double usageScaleRetention = 0.999;
    constexpr double maxUsageScale = 2;
    constexpr Seconds classActivityWindow { 60 };
    constexpr double shortRunQuantile = 0.1;
    constexpr double costQuantile = 0.5;
    // With less smoothing, one long draft among eight short checks would double the mean for a while.
    constexpr int previousRunWeight = 63;
    constexpr int totalRunWeight = 64;
    constexpr std::uint32_t fullPermille = 1000;

    std::uint64_t tokensHeld(GenerationTable& table)
    {
        std::uint64_t held = 0;
        for (const GenerationId id : table.running()) {
            const Generation& generation = *table.find(id);
            held += generation.promptTokens() + generation.tokens.size();
        }
        return held;
    }

}

void EngineProfile::learnFromPreemption()
{
    this->quantile = std::min(maxQuantile, this->quantile + quantileStepUp);
    this->usageScale = std::min(maxUsageScale, this->usageScale * usageScaleStepUp);
}

std::uint64_t EngineProfile::observeReport(const EngineReport& report, std::uint32_t ownRunning)
{
    this->inherited.observe(report, ownRunning);
    std::uint64_t preemptions = 0;
    const bool sameIncarnation = this->report && this->report->incarnation == report.incarnation;
    if (sameIncarnation && report.preemptions > this->report->preemptions)
        preemptions = report.preemptions - this->report->preemptions;
    if (preemptions > 0)
        this->learnFromPreemption();
    this->report = report;
    return preemptions;
}

bool EngineProfile::observeGap(std::uint32_t batch, std::uint32_t tokens, Duration gap, Instant now)
{
    this->warmUp.observeTokens(tokens, now);
    if (!this->paceModel.observe(batch, gap / std::max(1U, tokens), now))
        return false;
    this->markCold();
    return true;
}

void EngineProfile::observeFinished(const Generation& generation, Instant now)
{
    this->lengths.observe(generation.work.priority, static_cast<std::uint32_t>(generation.tokens.size()));
    this->warmUp.observeFinished(now);
    this->quantile = std::max(minQuantile, this->quantile - quantileStepDown);
    this->usageScale = std::max(1.0, usageScaleRetention * this->usageScale);
    const Duration run = now - generation.started;
    this->meanRunTime
        = this->meanRunTime == Duration(0) ? run : (this->meanRunTime * previousRunWeight + run) / totalRunWeight;
}

void EngineProfile::observeArrival(PriorityClass priority, Instant now)
{
    this->lastArrival[static_cast<std::size_t>(priority)] = now;
}

void EngineProfile::markCold()
{
    this->warmUp.reset();
    this->paceModel.reset();
}

EngineView EngineProfile::view(
    GenerationTable& table, const Service* service, PriorityClass candidate, Instant now) const
{
    EngineView view { {}, 0, this->quantile, ServicePolicy().fixedSlots, Milliseconds(0), this->lengths,
        this->paceModel, this->warmUp };
    for (const GenerationId id : table.running())
        view.running.push_back(sizeOf(*table.find(id)));
    view.inherited = this->inherited.running();
    if (this->report) {
        const auto capacity = static_cast<double>(this->report->blocksTotal * this->report->tokensPerBlock);
        view.capacityTokens = static_cast<std::uint64_t>(capacity / this->usageScale);
    }
    const Service defaults;
    const Service& source = service == nullptr ? defaults : *service;
    view.fixedSlots = source.policy.fixedSlots;
    view.paceTarget = Milliseconds::max();
    for (std::size_t index = 0; index < source.targets.size() && index < priorityClassCount; ++index) {
        const bool active = this->lastArrival[index] && now - *this->lastArrival[index] < classActivityWindow;
        if (active || index == static_cast<std::size_t>(candidate))
            view.paceTarget = std::min(view.paceTarget, source.targets[index].betweenTokens);
    }
    return view;
}

GenerationSize EngineProfile::sizeOf(const Generation& generation)
{
    return { generation.promptTokens(), static_cast<std::uint32_t>(generation.tokens.size()), generation.work.maxTokens,
        generation.work.priority };
}

std::uint32_t EngineProfile::expectedCost(const Generation& generation) const
{
    return generation.promptTokens()
        + this->lengths.conditionalQuantile(generation.work.priority, 0, costQuantile, generation.work.maxTokens);
}

Duration EngineProfile::expectedWait(std::size_t ahead, std::size_t running) const
{
    return this->meanRunTime * static_cast<std::int64_t>(ahead)
        / static_cast<std::int64_t>(std::max<std::size_t>(1, running));
}

Duration EngineProfile::shortestRunTime(const Generation& generation) const
{
    const std::uint32_t tokens
        = this->lengths.conditionalQuantile(generation.work.priority, 0, shortRunQuantile, generation.work.maxTokens);
    return this->paceModel.expected(1) * static_cast<std::int64_t>(tokens);
}

std::uint32_t EngineProfile::memoryPermille(GenerationTable& table) const
{
    if (!this->report || this->report->blocksTotal == 0)
        return 0;
    const std::uint64_t capacity = this->report->blocksTotal * std::max(1U, this->report->tokensPerBlock);
    const std::uint64_t share = tokensHeld(table) * fullPermille / capacity;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(share, fullPermille));
}

}
