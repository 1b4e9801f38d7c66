#include "emulator/EngineModel.h"
#include "emulator/experiment/AdmissionExperiment.h"

#include <algorithm>
#include <map>

namespace teaselfold {

namespace {

    /** Long enough that the first, empty minutes weigh little. */
    constexpr Seconds measuredTime { 900 };
    constexpr Seconds warmUp { 300 };

    /** A running generation with the length that only the measurement knows. */
    struct Known {
        std::uint64_t held { 0 };
        std::uint64_t remaining { 0 };
    };

    /**
     * Greatest memory the batch will hold: with remaining lengths r sorted from the longest, the maximum over i of
     * (tokens held by the i longest) + i * r_i. Source: "Past-Future Scheduler for LLM Serving under SLA
     * Guarantees", ASPLOS 2025.
     */
    std::uint64_t peakOf(std::vector<Known> batch)
    {
        std::sort(batch.begin(), batch.end(),
            [](const Known& left, const Known& right) { return left.remaining > right.remaining; });
        std::uint64_t held = 0;
        std::uint64_t peak = 0;
        std::uint64_t count = 0;
        for (const Known& one : batch) {
            held += one.held;
            ++count;
            peak = std::max(peak, held + count * one.remaining);
        }
        return peak;
    }

    /** Keeps the engine as full as true lengths allow. */
    class Saturation {
    public:
        Saturation(const EngineSettings& engine, const WorkloadSettings& workload)
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
            while (now < Instant {} + measuredTime && this->next < this->arrivals.size()) {
                this->fill(now);
                now = this->engine.nextEventTime();
                for (const EngineEvent& event : this->engine.advance(now))
                    this->take(event, now);
            }
            const std::chrono::duration<double> counted = now - (Instant {} + warmUp);
            return static_cast<double>(this->completed) / counted.count();
        }

    private:
        void take(const EngineEvent& event, Instant now)
        {
            if (const auto* tokens = std::get_if<EngineTokens>(&event)) {
                Known& known = this->running.at(tokens->generation.get());
                ++known.held;
                --known.remaining;
            }
            const auto* end = std::get_if<EngineFinished>(&event);
            if (end == nullptr)
                return;
            this->running.erase(end->generation.get());
            this->completed += now >= Instant {} + warmUp ? 1 : 0;
        }

        bool fits(const Known& candidate) const
        {
            std::vector<Known> batch { candidate };
            for (const auto& [id, known] : this->running)
                batch.push_back(known);
            return this->running.empty() || peakOf(std::move(batch)) <= this->capacityTokens;
        }

        void fill(Instant now)
        {
            while (this->next < this->arrivals.size()) {
                const Arrival& arrival = this->arrivals[this->next];
                const Known known { arrival.prompt.size() / bytesPerToken, arrival.outputTokens };
                if (!this->fits(known))
                    return;
                EngineStart start;
                start.generation = GenerationId(++this->next);
                start.work.model = this->model;
                start.work.prompt = arrival.prompt;
                start.work.priority = this->kinds[arrival.kind].priority;
                if (!this->engine.submit(start, now))
                    this->running[this->next] = known;
            }
        }

        std::vector<RequestKind> kinds;
        ModelId model;
        std::vector<Arrival> arrivals;
        std::uint64_t capacityTokens;
        EngineModel engine;
        std::map<std::uint64_t, Known> running;
        std::uint64_t completed { 0 };
        std::size_t next { 0 };
    };

}

double measureCapacity(const EngineSettings& engine, const WorkloadSettings& workload)
{
    // More arrivals than any engine here completes: the saturation takes them as fast as they fit.
    constexpr double plentyPerSecond = 50;
    WorkloadSettings plenty = workload;
    plenty.requestsPerSecond = plentyPerSecond;
    plenty.length = measuredTime;
    EngineSettings warm = engine;
    warm.coldStartDuration = Duration(0);
    return Saturation(warm, plenty).run();
}

}
