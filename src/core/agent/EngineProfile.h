#pragma once

#include "core/agent/AdmissionStrategy.h"
#include "core/agent/GenerationTable.h"
#include "core/agent/InheritedWork.h"

#include <array>
#include <optional>

namespace teaselfold {

/** What was learnt about the engine: its memory, its speed, the lengths of its outputs, and how warm it is. */
class EngineProfile {
public:
    /**
     * Learns from the engine's report.
     * @param own generations of this agent that run.
     * @return preemptions since the last one.
     */
    std::uint64_t observeReport(const EngineReport& report, std::uint32_t ownRunning);

    /** Learns a gap between tokens. @return true when the endpoint turned cold by it. */
    bool observeGap(std::uint32_t batch, std::uint32_t tokens, Duration gap, Instant now);

    /** Learns from a finished generation. */
    void observeFinished(const Generation& generation, Instant now);

    /** Remembers that a class has traffic, so that its target is kept. */
    void observeArrival(PriorityClass priority, Instant now);

    /** The engine restarted, lost its model or became slow. */
    void markCold();

    /** @return what a strategy sees. @param service the fleet's row of the service; may be null. */
    EngineView view(GenerationTable& table, const Service* service, PriorityClass candidate, Instant now) const;

    /** @return the candidate as a strategy sees it. */
    static GenerationSize sizeOf(const Generation& generation);

    /** @return expected total tokens of a generation, the cost that fair queueing counts. */
    std::uint32_t expectedCost(const Generation& generation) const;

    /** @return the time a new generation of a class would wait behind `ahead` others. */
    Duration expectedWait(std::size_t ahead, std::size_t running) const;

    /** @return the shortest time in which a generation of this kind may be expected to end. */
    Duration shortestRunTime(const Generation& generation) const;

    bool cold() const { return this->warmUp.cold(); }
    std::uint32_t concurrencyLimit() const { return this->warmUp.concurrencyLimit(); }
    Microseconds pace() const { return this->paceModel.recent(); }
    /** @return share of the engine's memory that running generations hold, without its cache, in thousandths. */
    std::uint32_t memoryPermille(GenerationTable& table) const;
    const std::optional<EngineReport>& lastReport() const { return this->report; }

private:
    void learnFromPreemption();

    LengthModel lengths;
    PaceModel paceModel;
    WarmUp warmUp;
    InheritedWork inherited;
    std::optional<EngineReport> report;
    std::array<std::optional<Instant>, priorityClassCount> lastArrival;
    double quantile { 0.8 };
    /** Safety factor on the estimate of tokens held; rises with preemptions. */
    double usageScale { 1 };
    /** Smoothed time from start to end; zero while nothing ended. */
    Duration meanRunTime { 0 };
};

}
