#pragma once

#include "core/agent/AdmissionStrategy.h"
#include "core/agent/GenerationTable.h"
#include "core/agent/InheritedWork.h"

#include <array>
#include <optional>

namespace teaselfold {

/** Learnt model of one engine: memory use, time between tokens, output lengths and warm-up. */
class EngineProfile {
public:
    /**
     * Updates the model from the engine's report.
     * @param ownRunning number of running generations that this agent started.
     * @return number of preemptions since the previous report.
     */
    std::uint64_t observeReport(const EngineReport& report, std::uint32_t ownRunning);

    /**
     * Learns from a gap between two arrivals of tokens.
     * @param batch number of running generations.
     * @param tokens number of tokens that arrived after the gap.
     * @return true when the pace collapsed, so that the endpoint is now treated as cold.
     */
    bool observeGap(std::uint32_t batch, std::uint32_t tokens, Duration gap, Instant now);

    /** Learns from a finished generation. */
    void observeFinished(const Generation& generation, Instant now);

    /** Records traffic of a class; its target for the time between tokens applies while the class is active. */
    void observeArrival(PriorityClass priority, Instant now);

    /** Treats the endpoint as cold after the engine restarted, lost its model or became slow. */
    void markCold();

    /**
     * @param service the service's row in the fleet; null selects the defaults.
     * @param candidate priority class of the generation to decide on.
     * @return the engine's state for a strategy.
     */
    EngineView view(GenerationTable& table, const Service* service, PriorityClass candidate, Instant now) const;

    /** @return the properties of a generation that strategies use. */
    static GenerationSize sizeOf(const Generation& generation);

    /** @return the expected number of prompt and output tokens of a generation, which is its cost in the fair queue. */
    std::uint32_t expectedCost(const Generation& generation) const;

    /** @return the expected wait of a new generation behind `ahead` others while `running` are running. */
    Duration expectedWait(std::size_t ahead, std::size_t running) const;

    /** @return the shortest run time that can be expected of the generation. */
    Duration shortestRunTime(const Generation& generation) const;

    bool isCold() const { return this->warmUp.isCold(); }
    std::uint32_t concurrencyLimit() const { return this->warmUp.concurrencyLimit(); }
    Microseconds pace() const { return this->paceModel.recent(); }
    /** @return share of the engine's memory that running generations hold, in thousandths; cached blocks not counted.
     */
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
    /** Safety factor on the estimated memory use; rises with preemptions. */
    double usageScale { 1 };
    /** Smoothed time from start to end of a generation; zero until the first one ended. */
    Duration meanRunTime { 0 };
};

}
