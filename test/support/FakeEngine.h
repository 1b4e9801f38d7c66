#pragma once

#include "ports/EngineMessages.h"
#include "support/Scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace teaselfold::testing {

/**
 * A simulated model engine that produces one token per running generation at a fixed interval. `len=N` in the prompt
 * sets the number of tokens; `crash!` crashes the engine `crashDelay` after the generation starts. A cold engine can
 * run at most `coldCapacity` generations; it records `overloaded` when it is given more.
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
    /** Starts a crashed engine. */
    void start();
    /** Crashes and restarts at once, before any agent finds the engine unreachable. */
    void restart();
    /** Breaks all streams; the generations continue. */
    void cutStreams();
    void freeze() { this->frozen = true; }
    void thaw() { this->frozen = false; }
    /** Drops the caches without a notice: the engine is cold and slow for `coldDuration`, in the same incarnation. */
    void loseCaches();
    /** Sends no load reports until `releaseReports`. */
    void holdReports() { this->reportsHeld = true; }
    void releaseReports() { this->reportsHeld = false; }
    /** Sends a load report, or `EngineUnreachable` when the engine is down. */
    void report();
    bool alive() const { return this->isAlive; }
    std::size_t running() const { return this->generations.size(); }

    static constexpr Milliseconds tokenInterval { 20 };
    static constexpr Milliseconds crashDelay { 30 };
    /** Time for which an engine is cold after its start or the loss of its caches. */
    static constexpr Seconds coldDuration { 10 };
    /** Generations that a cold engine can run at once. */
    static constexpr std::size_t coldCapacity { 4 };
    /** Token interval of an engine that lost its caches. */
    static constexpr Milliseconds coldTokenInterval { 400 };
    /** Time of continuous work after which the token interval reveals that an engine lost its caches. */
    static constexpr Milliseconds coldDetectionTime { 2000 };

private:
    struct RunningGeneration {
        std::uint32_t length { 0 };
        std::uint32_t generated { 0 };
        bool attached { true };
        std::uint32_t sent { 0 };
        std::uint64_t incarnation { 0 };
    };

    bool isCold() const { return this->scheduler.now() < this->coldUntil; }
    bool isOverloaded() const;
    Milliseconds currentTokenInterval() const
    {
        return this->slow && this->isCold() ? coldTokenInterval : tokenInterval;
    }
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
    /** Time from which an overload of the cold engine is recorded; unset while the engine is idle after the loss of its
     * caches. */
    std::optional<Instant> coldDetectableFrom { Scheduler::start };
};

}
