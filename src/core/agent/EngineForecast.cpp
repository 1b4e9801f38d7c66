#include "core/agent/EngineForecast.h"

#include "core/agent/ModelReconciler.h"

namespace teaselfold {

namespace {

    /** Most further generations that a load report offers. */
    constexpr std::uint32_t maxReportedRoom = 16;
    constexpr GenerationSize typicalGeneration { 256, 0, 0, PriorityClass::Standard };

}

const AdmissionStrategy& EngineForecast::strategy() const
{
    const Service* service = this->controlState.ownService();
    return admissionStrategy(service == nullptr ? ServicePolicy().admission : service->policy.admission);
}

bool EngineForecast::mayStart(const Generation& generation) const
{
    if (!this->supervisor.acceptsStarts(this->now))
        return false;
    const EngineView view
        = this->profile.view(this->table, this->controlState.ownService(), generation.work.priority, this->now);
    return this->strategy().admits(view, EngineProfile::sizeOf(generation));
}

bool EngineForecast::isModelMissing(const ModelId& model) const
{
    const auto& report = this->profile.lastReport();
    return report && ModelReconciler::isModelMissing(this->controlState, *report, model);
}

Duration EngineForecast::expectedWaitOf(const Generation& generation, const FairQueue& queue) const
{
    const std::size_t ahead = queue.sizeUpTo(generation.work.priority);
    if (ahead == 0 && this->mayStart(generation))
        return Duration(0);
    return this->profile.expectedWait(ahead + 1, this->table.running().size());
}

std::uint32_t EngineForecast::room(const FairQueue& queue) const
{
    if (queue.size() > 0 || !this->supervisor.acceptsStarts(this->now))
        return 0;
    EngineView view
        = this->profile.view(this->table, this->controlState.ownService(), PriorityClass::Standard, this->now);
    const AdmissionStrategy& current = this->strategy();
    std::uint32_t count = 0;
    while (count < maxReportedRoom && current.admits(view, typicalGeneration)) {
        view.running.push_back(typicalGeneration);
        count += 1;
    }
    return count;
}

LoadReport EngineForecast::loadReport(const FairQueue& queue) const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(this->table.running().size());
    report.queued = static_cast<std::uint32_t>(this->table.queuedCount());
    report.room = this->room(queue);
    report.memoryPermille = this->profile.memoryPermille(this->table);
    report.pace = this->profile.pace();
    report.cold = this->profile.isCold();
    if (report.room > 0)
        return report;
    const std::size_t ahead = queue.sizeUpTo(PriorityClass::Standard);
    const Duration wait = this->profile.expectedWait(ahead + 1, report.running);
    report.expectedWait = std::chrono::duration_cast<Milliseconds>(wait);
    return report;
}

}
