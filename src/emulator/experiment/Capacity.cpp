#include "emulator/EngineModel.h"
#include "emulator/experiment/AdmissionExperiment.h"

#include <algorithm>
#include <map>

namespace teaselfold {

namespace {

    /** Simulated time, including the warm-up; long enough that the initially empty batch hardly affects the result. */
    constexpr Seconds measuredTime { 900 };
    /** Completions while the batch fills up are not counted. */
    constexpr Seconds warmUp { 300 };

    /** A generation in the batch and the rest of its true output length, which admission policies do not know. */
    struct RunningGeneration {
        std::uint64_t heldTokens { 0 };
        std::uint64_t remainingTokens { 0 };
    };

    /**
     * Computes the peak memory of the batch: with the remaining lengths r sorted in descending order, the maximum over
     * i of (tokens held by the i longest) + i * r_i. Source: "Past-Future Scheduler for LLM Serving under SLA
     * Guarantees", ASPLOS 2025.
     * @return the peak in tokens.
     */
    std::uint64_t peakTokens(std::vector<RunningGeneration> batch)
    {
        std::sort(batch.begin(), batch.end(), [](const RunningGeneration& left, const RunningGeneration& right) {
            return left.remainingTokens > right.remainingTokens;
        });
        std::uint64_t heldTokens = 0;
        std::uint64_t peak = 0;
        std::uint64_t count = 0;
        for (const RunningGeneration& one : batch) {
            heldTokens += one.heldTokens;
            ++count;
            peak = std::max(peak, heldTokens + count * one.remainingTokens);
        }
        return peak;
    }

    /** Drives an engine with a constant backlog and starts each request as soon as the peak memory fits. */
    class SaturatedEngine {
    public:
        SaturatedEngine(const EngineSettings& engine, const WorkloadSettings& workload)
            : kinds(workload.kinds)
            , model(workload.model)
            , arrivals(makeArrivals(workload))
            , capacityTokens(engine.blocks * engine.tokensPerBlock)
            , engine(engine, Instant {})
        {
        }

        double run()
        {
            Instant now {};
            while (now < Instant {} + measuredTime && this->nextArrival < this->arrivals.size()) {
                this->fill(now);
                now = this->engine.nextEventTime();
                for (const EngineEvent& event : this->engine.advance(now))
                    this->onEngineEvent(event, now);
            }
            const std::chrono::duration<double> counted = now - (Instant {} + warmUp);
            return static_cast<double>(this->completed) / counted.count();
        }

    private:
        void onEngineEvent(const EngineEvent& event, Instant now)
        {
            if (const auto* tokens = std::get_if<EngineTokens>(&event)) {
                RunningGeneration& generation = this->running.at(tokens->generation.get());
                ++generation.heldTokens;
                --generation.remainingTokens;
            }
            const auto* end = std::get_if<EngineFinished>(&event);
            if (end == nullptr)
                return;
            this->running.erase(end->generation.get());
            this->completed += now >= Instant {} + warmUp ? 1 : 0;
        }

        bool fits(const RunningGeneration& candidate) const
        {
            std::vector<RunningGeneration> batch { candidate };
            for (const auto& [id, generation] : this->running)
                batch.push_back(generation);
            return this->running.empty() || peakTokens(std::move(batch)) <= this->capacityTokens;
        }

        void fill(Instant now)
        {
            while (this->nextArrival < this->arrivals.size()) {
                const Arrival& arrival = this->arrivals[this->nextArrival];
                const RunningGeneration generation { arrival.prompt.size() / bytesPerToken, arrival.outputTokens };
                if (!this->fits(generation))
                    return;
                EngineStart start;
                start.generation = GenerationId(++this->nextArrival);
                start.work.model = this->model;
                start.work.prompt = arrival.prompt;
                start.work.priority = this->kinds[arrival.kind].priority;
                if (!this->engine.submit(start, now))
                    this->running[this->nextArrival] = generation;
            }
        }

        std::vector<RequestKind> kinds;
        ModelId model;
        std::vector<Arrival> arrivals;
        std::uint64_t capacityTokens;
        EngineModel engine;
        std::map<std::uint64_t, RunningGeneration> running;
        std::uint64_t completed { 0 };
        std::size_t nextArrival { 0 };
    };

}

double measureCapacity(const EngineSettings& engine, const WorkloadSettings& workload)
{
    // Requests per second; exceeds what any emulated engine completes, so that the backlog never runs empty.
    constexpr double saturatingRate = 50;
    WorkloadSettings saturating = workload;
    saturating.requestsPerSecond = saturatingRate;
    saturating.length = measuredTime;
    EngineSettings warmEngine = engine;
    warmEngine.coldStartDuration = Duration(0);
    return SaturatedEngine(warmEngine, saturating).run();
}

}
