#pragma once

#include "ports/EngineMessages.h"
#include "support/Scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace teaselfold::testing {

/**
 * A model engine that gives one token per running generation at a fixed pace. The prompt sets the length by `len=N`;
 * `crash!` in it kills the engine a while after it starts to run it. While it is cold it bears few generations; it says
 * `overloaded` when it is given more.
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
    /** Starts a dead engine. */
    void start();
    /** Dies and is back at once, before anybody finds it unreachable. */
    void restart();
    /** Breaks all streams; the generations go on. */
    void cutStreams();
    void freeze() { this->frozen = true; }
    void thaw() { this->frozen = false; }
    /** Loses its caches without a word: it is cold and slow for a while, in the same life. */
    void turnCold();
    /** Keeps its reports back until they flow again. */
    void holdReports() { this->reportsHeld = true; }
    void releaseReports() { this->reportsHeld = false; }
    /** Sends the engine's report; a dead engine is unreachable. */
    void report();
    bool alive() const { return this->living; }
    std::size_t running() const { return this->generations.size(); }

    static constexpr Milliseconds tokenTime { 20 };
    static constexpr Milliseconds crashDelay { 30 };
    /** How long an engine is cold after its start. */
    static constexpr Seconds coldTime { 10 };
    /** Generations that a cold engine bears. */
    static constexpr std::size_t coldBearable { 4 };
    /** Time between two tokens of an engine that turned cold. */
    static constexpr Milliseconds coldTokenTime { 400 };
    /** Time of work in which an engine that turned cold shows it by its pace. */
    static constexpr Milliseconds coldShowTime { 2000 };

private:
    struct Running {
        std::uint32_t length { 0 };
        std::uint32_t made { 0 };
        bool attached { true };
        std::uint32_t sent { 0 };
        std::uint64_t life { 0 };
    };

    bool cold() const { return this->scheduler.now() < this->coldUntil; }
    bool overloaded() const;
    Milliseconds pace() const { return this->slow && this->cold() ? coldTokenTime : tokenTime; }
    void loseGenerations();
    void beginLife();
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
    bool slow { false };
    bool reportsHeld { false };
    Instant coldUntil { Scheduler::start + coldTime };
    /** From here on the work given to the cold engine is counted; nothing while its pace has not shown that it is cold.
     */
    std::optional<Instant> coldShown { Scheduler::start };
};

}
