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
        std::function<void(const std::string&, GenerationId)> recordEvent)
        : scheduler(scheduler)
        , deliver(std::move(deliver))
        , recordEvent(std::move(recordEvent))
    {
    }

    void submit(const EngineCommand& command);
    void crash();
    /** Starts a dead engine. */
    void start();
    /** Dies and is back at once, before anybody finds it unreachable. */
    void restart();
    /** Breaks all streams; the generations go on. */
    void cutStreams();
    void freeze() { this->frozen = true; }
    void thaw() { this->frozen = false; }
    /** Loses its caches without a word: it is cold and slow for a while, in the same life. */
    void loseCaches();
    /** Keeps its reports back until they flow again. */
    void holdReports() { this->reportsHeld = true; }
    void releaseReports() { this->reportsHeld = false; }
    /** Sends the engine's report; a dead engine is unreachable. */
    void report();
    bool alive() const { return this->isAlive; }
    std::size_t running() const { return this->generations.size(); }

    static constexpr Milliseconds tokenInterval { 20 };
    static constexpr Milliseconds crashDelay { 30 };
    /** How long an engine is cold after its start. */
    static constexpr Seconds coldDuration { 10 };
    /** Generations that a cold engine bears. */
    static constexpr std::size_t coldCapacity { 4 };
    /** Time between two tokens of an engine that turned cold. */
    static constexpr Milliseconds coldTokenInterval { 400 };
    /** Time of work in which an engine that turned cold shows it by its pace. */
    static constexpr Milliseconds coldDetectionTime { 2000 };

private:
    struct RunningGeneration {
        std::uint32_t length { 0 };
        std::uint32_t generated { 0 };
        bool attached { true };
        std::uint32_t sent { 0 };
        std::uint64_t incarnation { 0 };
    };

    bool cold() const { return this->scheduler.now() < this->coldUntil; }
    bool overloaded() const;
    Milliseconds currentTokenInterval() const { return this->slow && this->cold() ? coldTokenInterval : tokenInterval; }
    void dropGenerations();
    void startIncarnation();
    void startGeneration(const EngineStart& start);
    void attachStream(const EngineResume& resume);
    void generateToken(GenerationId id, std::uint64_t incarnation);
    void sendTokens(GenerationId id, RunningGeneration& running);

    Scheduler& scheduler;
    std::function<void(const EngineEvent&)> deliver;
    std::function<void(const std::string&, GenerationId)> recordEvent;
    std::map<GenerationId, RunningGeneration> generations;
    std::uint64_t incarnation { 1 };
    bool isAlive { true };
    bool frozen { false };
    bool slow { false };
    bool reportsHeld { false };
    Instant coldUntil { Scheduler::start + coldDuration };
    /** From here on the work given to the cold engine is counted; nothing while its pace has not shown that it is cold.
     */
    std::optional<Instant> coldDetectableFrom { Scheduler::start };
};

}
