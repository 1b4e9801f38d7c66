#pragma once

#include "emulator/EngineSettings.h"
#include "emulator/PrefixCache.h"
#include "emulator/SeededRandomness.h"
#include "ports/EngineMessages.h"
#include "ports/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselfold {

/**
 * The rules of a model engine: continuous batching in steps, memory in blocks, preemption, a prefix cache, cold start.
 * Holds no thread, socket or clock. Equal seeds, inputs and times give equal outputs.
 */
class EngineModel {
public:
    /** Use EngineModelBuilder. */
    EngineModel(EngineSettings settings, Instant now);

    /** Takes a generation into the engine's queue. @return the refusal, or nothing when it is taken. */
    std::optional<EngineRefused> submit(const EngineStart& start, Instant now);

    /** Frees the generation's slot and memory. Idempotent. */
    void cancel(GenerationId generation, Instant now);

    /** @return the tokens from `nextIndex` on that exist already, and the end if there is one; or that it is gone. */
    std::vector<EngineEvent> resume(const EngineResume& request) const;

    /** Runs all steps that end by `now`. @return what the streams deliver, in order. */
    std::vector<EngineEvent> advance(Instant now);

    /** @return when `advance` has something to do next; Instant::max() when nothing is in progress. */
    Instant nextEvent() const;

    /** @return the engine's own report, one to two report intervals old. */
    EngineReport report(Instant now);

    /** @return the oldest published batch of cache events after a sequence number; empty with the same number when
     * there is none. Batches get lost: the number then jumps. */
    EngineCacheEvents cacheEvents(std::uint64_t after, Instant now);

    /** Carries out an order, or refuses its fencing number where the settings say so. */
    EngineOrderResult order(const EngineOrder& order, Instant now);

    /** @return true once the engine has died: overloaded while cold, or a request crashed it. */
    bool dead() const { return this->isDead; }

    /** Starts a dead engine again: a new incarnation, empty and cold. */
    void restart(Instant now);

    /** Makes the engine cold without warning; work in progress goes on, slowly. */
    void turnCold(Instant now);

    /** Multiplies the duration of each step. */
    void setSlowdown(double factor) { this->slowdown = factor; }

    /** Makes the usable memory smaller. @param share of the blocks, in (0, 1]. */
    void setMemoryShare(double share) { this->memoryShare = share; }

    bool cold(Instant now) const { return now < this->coldUntil; }
    std::uint64_t incarnation() const { return this->currentIncarnation; }
    /** @return prompt tokens that the prefix cache saved, and those computed at a sequence's admission. */
    std::uint64_t promptTokensReused() const { return this->reusedTokens; }
    std::uint64_t promptTokensComputed() const { return this->computedTokens; }
    std::uint64_t preemptions() const { return this->preemptionCount; }
    std::uint64_t blocksUsed() const { return this->privateBlocks + this->cache.blocks(); }

private:
    struct Sequence {
        EngineStart start;
        std::uint64_t arrival { 0 };
        std::uint32_t promptTokens { 0 };
        std::uint32_t outputLength { 0 };
        std::uint32_t generated { 0 };
        /** Tokens whose state must still be computed before the next token can be generated. */
        std::uint32_t prefillLeft { 0 };
        std::uint32_t prefillInStep { 0 };
        std::uint64_t ownBlocks { 0 };
        std::vector<std::uint64_t> hashes;
        std::size_t sharedBlocks { 0 };
        bool cappedByCaller { false };
    };

    /** A model or adapter in the engine's memory. */
    struct Loaded {
        std::string version;
        Instant ready;
        /** The version that serves until the new one is ready. */
        std::optional<std::string> previous;
    };

    struct Finished {
        std::uint32_t generated { 0 };
        FinishReason reason { FinishReason::Stop };
    };

    /** Order of service: priority class first, then arrival. */
    using QueueKey = std::pair<PriorityClass, std::uint64_t>;

    static QueueKey keyOf(const Sequence& sequence);
    Sequence sequenceFor(const EngineStart& start);
    void beginStep(Instant now);
    void finishStep(Instant now, std::vector<EngineEvent>& events);
    bool tooMuchWhileCold(Instant now) const;
    void admitWaiting(Instant now);
    bool admit(Sequence& sequence);
    void reserveForNextTokens();
    bool reserveBlocks(std::uint64_t blocks);
    void preempt(const QueueKey& key);
    void giveBack(Sequence& sequence);
    void cachePrompt(Sequence& sequence);
    void planPrefill();
    Duration stepDuration(Instant now) const;
    void emitToken(Sequence& sequence, std::vector<EngineEvent>& events) const;
    void retire(const QueueKey& key, FinishReason reason);
    void die();
    void failAll(std::vector<EngineEvent>& events);
    void publish(Instant now);
    bool isLoaded(const std::string& name, Instant now) const;
    std::vector<std::string> servedModels(Instant now) const;
    void load(const EngineOrder& order, Instant now);
    EngineReport currentReport(Instant now) const;
    std::uint64_t usableBlocks() const;
    std::uint64_t blocksFor(std::uint64_t tokens) const;
    std::string tokenText(GenerationId generation, std::uint32_t index) const;

    EngineSettings settings;
    SeededRandomness random;
    PrefixCache cache;
    std::map<QueueKey, Sequence> waiting;
    std::map<QueueKey, Sequence> running;
    std::unordered_map<GenerationId, QueueKey> keys;
    std::unordered_map<GenerationId, Finished> finished;
    std::deque<GenerationId> finishedOrder;
    std::optional<Instant> stepEnd;
    Instant coldUntil;
    Instant nextPublish;
    EngineReport pendingReport;
    EngineReport publishedReport;
    std::deque<EngineCacheEvents> publishedEvents;
    std::optional<EngineCacheEvents> pendingEvents;
    std::uint64_t eventSequence { 0 };
    std::map<std::string, Loaded> loadedModels;
    std::string role;
    std::uint64_t highestFence { 0 };
    std::uint64_t currentIncarnation { 0 };
    std::uint64_t arrivals { 0 };
    std::uint64_t privateBlocks { 0 };
    std::uint64_t preemptionCount { 0 };
    std::uint64_t reusedTokens { 0 };
    std::uint64_t computedTokens { 0 };
    double slowdown { 1 };
    double memoryShare { 1 };
    bool isDead { false };
};

}
