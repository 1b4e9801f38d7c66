#include "emulator/experiment/MixedEngines.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    struct EngineSize {
        const char* name;
        double speed;
        std::uint64_t blocks;
    };

    constexpr std::array sizes { EngineSize { "slow", 0.5, 2048 }, EngineSize { "middle", 1, 4096 },
        EngineSize { "fast", 2, 8192 } };
    constexpr Seconds warmUp { 600 };
    /** Practically unlimited engine queue, so that only the policy under test limits the admitted work. */
    constexpr std::uint32_t unboundedWaiting = 100000;

    template <typename Key> void mergeTallies(std::map<Key, Tally>& into, const std::map<Key, Tally>& from)
    {
        for (const auto& [key, tally] : from)
            into[key].merge(tally);
    }

}

void AggregateResult::add(const ExperimentResult& result)
{
    this->total.merge(result.recorder.total());
    mergeTallies(this->byClass, result.recorder.byClass());
    mergeTallies(this->byTeam, result.recorder.byTeam());
    for (const auto& [code, count] : result.refusals)
        this->refusals[code] += count;
    this->preemptions += result.preemptions;
    this->started += result.started;
    this->engineCrashes += result.engineCrashes;
}

double AggregateResult::preemptionsPerThousand() const
{
    constexpr double thousand = 1000;
    return this->started == 0 ? 0
                              : thousand * static_cast<double>(this->preemptions) / static_cast<double>(this->started);
}

std::vector<EngineSettings> mixedEngines()
{
    std::vector<EngineSettings> engines;
    for (const EngineSize& size : sizes) {
        EngineSettings engine;
        engine.speed = size.speed;
        engine.blocks = size.blocks;
        engine.maxWaiting = unboundedWaiting;
        engines.push_back(engine);
    }
    return engines;
}

std::vector<MeasuredEngine> measureEngines(const WorkloadSettings& workload)
{
    std::vector<MeasuredEngine> measured;
    for (const EngineSettings& engine : mixedEngines()) {
        const char* name = sizes[measured.size()].name;
        measured.push_back({ name, engine, measureCapacity(engine, workload) });
    }
    return measured;
}

ExperimentSettings steadyStateSettings(const MeasuredEngine& engine, std::uint64_t seed, Duration counted, double load)
{
    ExperimentSettings settings;
    settings.engine = engine.engine;
    settings.engine.seed = seed;
    settings.workload.seed = seed;
    settings.workload.kinds = defaultKinds();
    settings.workload.teams = defaultTeams();
    settings.workload.requestsPerSecond = load * engine.capacity;
    for (const RequestKind& kind : settings.workload.kinds)
        settings.coolDown = std::max<Duration>(settings.coolDown, kind.budget);
    settings.warmUp = warmUp;
    settings.workload.length = settings.warmUp + counted + settings.coolDown;
    return settings;
}

}
