#pragma once

#include "emulator/EngineModelBuilder.h"

#include <algorithm>
#include <map>
#include <string>

namespace teaselfold {

/** Runs an engine model on simulated time and records its stream events by generation id. */
class EngineScenario {
public:
    explicit EngineScenario(const EngineSettings& settings)
        : engine(EngineModelBuilder().settings(settings).build(Instant {}))
    {
    }

    static EngineStart makeStart(
        std::uint64_t id, const std::string& prompt, PriorityClass priority = PriorityClass::Standard)
    {
        EngineStart start;
        start.generation = GenerationId(id);
        start.work.model = ModelId("drafter");
        start.work.prompt = prompt;
        start.work.priority = priority;
        return start;
    }

    /** @return true if the engine accepted the generation. */
    bool submit(std::uint64_t id, const std::string& prompt, PriorityClass priority = PriorityClass::Standard)
    {
        return !this->engine.submit(makeStart(id, prompt, priority), this->now).has_value();
    }

    /** Advances the engine event by event, then sets the time to `until`. */
    void runUntil(Instant until)
    {
        while (std::max(this->engine.nextEventTime(), this->now) <= until) {
            this->now = std::max(this->engine.nextEventTime(), this->now);
            for (const EngineEvent& event : this->engine.advance(this->now))
                this->record(event);
        }
        this->now = until;
    }

    EngineModel engine;
    Instant now {};
    std::map<std::uint64_t, std::vector<Instant>> tokenTimes;
    std::map<std::uint64_t, std::string> texts;
    std::map<std::uint64_t, FinishReason> finished;
    /** Generations whose streams were lost, in order. */
    std::vector<std::uint64_t> lost;

private:
    void record(const EngineEvent& event)
    {
        if (const auto* tokens = std::get_if<EngineTokens>(&event)) {
            this->tokenTimes[tokens->generation.get()].push_back(this->now);
            this->texts[tokens->generation.get()] += tokens->texts.front();
        }
        if (const auto* end = std::get_if<EngineFinished>(&event))
            this->finished[end->generation.get()] = end->reason;
        if (const auto* end = std::get_if<EngineStreamLost>(&event))
            this->lost.push_back(end->generation.get());
    }
};

}
