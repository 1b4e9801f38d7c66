#include "core/agent/EngineOutlook.h"

#include "core/agent/EngineOrders.h"

namespace teaselfold {

namespace {

    /** Further generations that a load report offers at most. */
    constexpr std::uint32_t mostRoom = 16;
    constexpr GenerationSize typicalSize { 256, 0, 0, PriorityClass::Standard };

}

const AdmissionStrategy& EngineOutlook::strategy() const
{
    const Service* service = this->knowledge.ownService();
    return admissionStrategy(service == nullptr ? ServicePolicy().admission : service->policy.admission);
}

bool EngineOutlook::mayStart(const Generation& generation) const
{
    if (!this->supervisor.accepts(this->now))
        return false;
    const EngineView view
        = this->profile.view(this->table, this->knowledge.ownService(), generation.work.priority, this->now);
    return this->strategy().admits(view, EngineProfile::sizeOf(generation));
}

bool EngineOutlook::lacksModel(const ModelId& model) const
{
    const auto& report = this->profile.lastReport();
    return report && EngineOrders::lacksModel(this->knowledge, *report, model);
}

Duration EngineOutlook::waitFor(const Generation& generation, const FairQueue& queue) const
{
    const std::size_t ahead = queue.sizeUpTo(generation.work.priority);
    if (ahead == 0 && this->mayStart(generation))
        return Duration(0);
    return this->profile.expectedWait(ahead + 1, this->table.running().size());
}

std::uint32_t EngineOutlook::room(const FairQueue& queue) const
{
    if (queue.size() > 0 || !this->supervisor.accepts(this->now))
        return 0;
    EngineView view = this->profile.view(this->table, this->knowledge.ownService(), PriorityClass::Standard, this->now);
    const AdmissionStrategy& chosen = this->strategy();
    std::uint32_t count = 0;
    while (count < mostRoom && chosen.admits(view, typicalSize)) {
        view.running.push_back(typicalSize);
        count += 1;
    }
    return count;
}

LoadReport EngineOutlook::report(const FairQueue& queue) const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(this->table.running().size());
    report.queued = static_cast<std::uint32_t>(this->table.queuedCount());
    report.room = this->room(queue);
    report.memoryPermille = this->profile.memoryPermille(this->table);
    report.pace = this->profile.pace();
    report.cold = this->profile.cold();
    if (report.room > 0)
        return report;
    const std::size_t ahead = queue.sizeUpTo(PriorityClass::Standard);
    const Duration wait = this->profile.expectedWait(ahead + 1, report.running);
    report.expectedWait = std::chrono::duration_cast<Milliseconds>(wait);
    return report;
}

}
