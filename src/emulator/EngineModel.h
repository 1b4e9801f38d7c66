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
 * Simulates a model engine: continuous batching, paged memory, preemption, prefix caching and cold start.
 * Uses no threads, sockets or clocks. Deterministic for equal seeds, inputs and times.
 */
class EngineModel {
public:
    /** Constructed through EngineModelBuilder. */
    EngineModel(EngineSettings settings, Instant now);

    /** Queues a generation. @return the refusal, or nothing if the generation was queued. */
    std::optional<EngineRefused> submit(const EngineStart& start, Instant now);

    /** Frees the generation's batch slot and memory. Idempotent. */
    void cancel(GenerationId generation, Instant now);

    /**
     * Replays a generation's stream.
     * @return the tokens generated so far from `nextIndex` on, followed by EngineFinished if the generation has ended;
     * EngineGenerationNotFound if the engine does not know it.
     */
    std::vector<EngineEvent> resume(const EngineResume& request) const;

    /** Runs all steps that end by `now`. @return the stream events of these steps, in order. */
    std::vector<EngineEvent> advance(Instant now);

    /** @return the time of the next event for `advance`; Instant::max() when no generation is in progress. */
    Instant nextEventTime() const;

    /** @return the engine's load report, which is one to two report intervals old. */
    EngineReport report(Instant now);

    /**
     * Reads cache events. Batches may be lost, which leaves a gap in the sequence numbers.
     * @param after the sequence number of the last batch that the reader has.
     * @return the oldest published batch after that number. If there is none, an empty batch with the number `after`,
     * or with 0 if `after` comes from an earlier incarnation.
     */
    EngineCacheEvents cacheEvents(std::uint64_t after, Instant now);

    /** Executes an order. With `checksFencing`, refuses an order whose fencing token is below the highest seen. */
    EngineOrderResult executeOrder(const EngineOrder& order, Instant now);

    /** @return true once the engine has crashed: it was overloaded while cold, or a request crashed it. */
    bool isCrashed() const { return this->crashed; }

    /** Restarts the engine as a new incarnation, empty and cold. */
    void restart(Instant now);

    /** Makes the engine cold again. Work in progress continues at the cold speed. */
    void turnCold(Instant now);

    /** Sets the factor on the duration of each step. */
    void setSlowdown(double factor) { this->slowdown = factor; }

    /** Limits the usable memory. @param share the usable fraction of the blocks, in (0, 1]. */
    void setMemoryShare(double share) { this->memoryShare = share; }

    bool isCold(Instant now) const { return now < this->coldUntil; }
    std::uint64_t incarnation() const { return this->currentIncarnation; }
    /** @return prompt tokens served from the prefix cache. */
    std::uint64_t promptTokensReused() const { return this->reusedTokens; }
    /** @return tokens to prefill, counted each time a sequence is admitted. */
    std::uint64_t promptTokensComputed() const { return this->computedTokens; }
    std::uint64_t preemptions() const { return this->preemptionCount; }
    std::uint64_t blocksUsed() const { return this->totalPrivateBlocks + this->cache.blocks(); }

private:
    struct Sequence {
        EngineStart start;
        std::uint64_t arrival { 0 };
        std::uint32_t promptTokens { 0 };
        std::uint32_t outputLength { 0 };
        std::uint32_t generated { 0 };
        /** Tokens left to prefill before the next token can be generated. */
        std::uint32_t remainingPrefill { 0 };
        std::uint32_t prefillInStep { 0 };
        std::uint64_t privateBlocks { 0 };
        std::vector<std::uint64_t> blockHashes;
        std::size_t sharedBlocks { 0 };
        bool cappedByCaller { false };
    };

    /** A model or adapter in the engine's memory. */
    struct LoadedModel {
        std::string version;
        Instant readyAt;
        /** The version served until the new one has loaded. */
        std::optional<std::string> previousVersion;
    };

    struct FinishedGeneration {
        std::uint32_t generated { 0 };
        FinishReason reason { FinishReason::Stop };
    };

    /** Scheduling order: by priority class, then by arrival. */
    using QueueKey = std::pair<PriorityClass, std::uint64_t>;

    static QueueKey queueKeyOf(const Sequence& sequence);
    Sequence makeSequence(const EngineStart& start);
    void beginStep(Instant now);
    void finishStep(Instant now, std::vector<EngineEvent>& events);
    bool isOverloadedWhileCold(Instant now) const;
    void admitWaiting(Instant now);
    bool admit(Sequence& sequence);
    void reserveForNextTokens();
    bool reserveBlocks(std::uint64_t blocks);
    void preempt(const QueueKey& key);
    void releaseBlocks(Sequence& sequence);
    void cachePromptBlocks(Sequence& sequence);
    void planPrefill();
    Duration stepDuration(Instant now) const;
    void emitToken(Sequence& sequence, std::vector<EngineEvent>& events) const;
    void finishSequence(const QueueKey& key, FinishReason reason);
    void crash();
    void failAllStreams(std::vector<EngineEvent>& events);
    /** Publishes the pending report and cache events if the report interval has passed. */
    void publishIfDue(Instant now);
    bool isServed(const std::string& name, Instant now) const;
    std::vector<std::string> servedModels(Instant now) const;
    void loadModel(const EngineOrder& order, Instant now);
    EngineReport currentReport(Instant now) const;
    std::uint64_t usableBlocks() const;
    std::uint64_t blocksFor(std::uint64_t tokens) const;
    std::string tokenText(GenerationId generation, std::uint32_t index) const;

    EngineSettings settings;
    SeededRandomness random;
    PrefixCache cache;
    std::map<QueueKey, Sequence> waiting;
    std::map<QueueKey, Sequence> running;
    std::unordered_map<GenerationId, QueueKey> queueKeys;
    std::unordered_map<GenerationId, FinishedGeneration> finished;
    /** Keys of `finished`, oldest first. */
    std::deque<GenerationId> finishedFifo;
    std::optional<Instant> stepEnd;
    Instant coldUntil;
    Instant nextPublish;
    EngineReport pendingReport;
    EngineReport publishedReport;
    std::deque<EngineCacheEvents> publishedEvents;
    std::optional<EngineCacheEvents> pendingEvents;
    std::uint64_t eventSequence { 0 };
    std::map<std::string, LoadedModel> loadedModels;
    std::string role;
    std::uint64_t highestFence { 0 };
    std::uint64_t currentIncarnation { 0 };
    std::uint64_t arrivals { 0 };
    std::uint64_t totalPrivateBlocks { 0 };
    std::uint64_t preemptionCount { 0 };
    std::uint64_t reusedTokens { 0 };
    std::uint64_t computedTokens { 0 };
    double slowdown { 1 };
    double memoryShare { 1 };
    bool crashed { false };
};

}
