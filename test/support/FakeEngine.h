#pragma once

#include "ports/EngineMessages.h"
#include "support/Scheduler.h"

#include <functional>
#include <map>
#include <string>

namespace teaselfold::testing {

/**
 * A model engine that gives one token per running generation at a fixed pace. The prompt sets the length by `len=N`;
 * `crash!` in it kills the engine a while after it starts to run it.
 */
class FakeEngine {
public:
    FakeEngine(Scheduler& scheduler, std::function<void(const EngineEvent&)> deliver,
        std::function<void(const std::string&, GenerationId)> tell)
        : scheduler(scheduler)
        , deliver(std::move(deliver))
        , tell(std::move(tell))
    {
    }

    void submit(const EngineCommand& command);
    void die();
    void start();
    /** Breaks all streams; the generations go on. */
    void cutStreams();
    void freeze() { this->frozen = true; }
    void thaw() { this->frozen = false; }
    /** Sends the engine's report; a dead engine is unreachable. */
    void report();
    bool alive() const { return this->living; }
    std::size_t running() const { return this->generations.size(); }

    static constexpr Milliseconds tokenTime { 20 };
    static constexpr Milliseconds crashDelay { 30 };

private:
    struct Running {
        std::uint32_t length { 0 };
        std::uint32_t made { 0 };
        bool attached { true };
        std::uint32_t sent { 0 };
        std::uint64_t life { 0 };
    };

    void begin(const EngineStart& start);
    void attach(const EngineResume& resume);
    void step(GenerationId id, std::uint64_t life);
    void send(GenerationId id, Running& running);

    Scheduler& scheduler;
    std::function<void(const EngineEvent&)> deliver;
    std::function<void(const std::string&, GenerationId)> tell;
    std::map<GenerationId, Running> generations;
    std::uint64_t life { 1 };
    bool living { true };
    bool frozen { false };
};

}
