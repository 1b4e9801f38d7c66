#pragma once

#include "core/agent/AgentLimits.h"
#include "core/agent/FairQueue.h"
#include "ports/AgentPorts.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace teaselfold {

enum class GenerationState : std::uint8_t {
    Queued,
    Running,
    Finished,
    Failed,
};

/** A generation held by this agent, with its tokens and its delivery state. */
struct Generation {
    GenerationId id;
    CompletionWork work;
    /** The entry that receives the tokens. */
    EntryId entry;
    GenerationState state { GenerationState::Queued };
    Instant arrived;
    Instant deadline;
    Instant started;
    Instant lastToken;
    /** Time of the last start, resume or token; a stream that stays silent for too long is resumed. */
    Instant lastActivity;
    std::vector<std::string> tokens;
    /** Tokens below this index were sent to the entry. */
    std::uint32_t sent { 0 };
    /** Tokens below this index have reached the caller. */
    std::uint32_t acknowledged { 0 };
    /** Tokens that the engine is known to have generated, whether received or not. */
    std::uint32_t produced { 0 };
    std::uint32_t streamResumes { 0 };
    std::uint32_t engineRefusals { 0 };
    /** When to resume the stream from the engine. */
    std::optional<Instant> resumeAt;
    /** When the generation lost the link to its entry; nothing while an entry receives the tokens. */
    std::optional<Instant> orphanedSince;
    Instant ended;
    bool endSent { false };
    FinishReason finishReason { FinishReason::Stop };
    Failure failure;

    bool hasEnded() const { return this->state == GenerationState::Finished || this->state == GenerationState::Failed; }
    /** @return the estimated number of tokens of the prompt. */
    std::uint32_t promptTokens() const;
    /** @return the queue item of this generation. @param cost expected work in tokens. */
    QueueItem queueItem(std::uint32_t cost) const { return { this->id, this->work.team, this->work.priority, cost }; }
};

/** All generations of an agent, and tombstones of those that must never run. */
class GenerationTable {
public:
    explicit GenerationTable(AgentLimits limits)
        : limits(limits)
    {
    }

    /** @return the generation, or null when the table does not hold it. */
    Generation* find(GenerationId id);

    /** Adds a new generation. Its id must not be in the table. */
    Generation& add(Generation generation);

    /** Changes the state and updates the indexes. */
    void setState(Generation& generation, GenerationState state, Instant now);

    /** Records a tombstone for an id and drops its generation, which must still be queued if it exists. */
    void addTombstone(GenerationId id, Instant now);

    /** @return true when the id was refused, or was cancelled or resumed before its submission. */
    bool hasTombstone(GenerationId id) const { return this->tombstones.contains(id); }

    const std::set<GenerationId>& running() const { return this->runningIds; }
    std::size_t queuedCount() const { return this->queued; }

    /** @return the ids of all generations in any state, sorted; for periodic checks. */
    std::vector<GenerationId> ids() const;

    /** Sends the tokens that the flow window allows, and the end after the last token. */
    void stream(Generation& generation, std::vector<AgentAction>& actions) const;

    /** Makes an entry the receiver of the tokens from an index on. */
    void attach(
        Generation& generation, const EntryId& entry, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const;

    /** Records that the tokens below an index reached the caller, and sends more. */
    void acknowledge(Generation& generation, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const;

    /** Marks all generations of an entry as orphaned when its link is lost. */
    void markOrphaned(const EntryId& entry, Instant now);

    /** Removes ended generations and tombstones whose retention time has passed. */
    void expire(Instant now);

    /** @return true when no generation is queued, running or still to be delivered to an entry. */
    bool isDrained(Instant now) const;

private:
    bool isExpired(const Generation& generation, Instant now) const;
    void sendEnd(Generation& generation, std::vector<AgentAction>& actions) const;

    AgentLimits limits;
    std::unordered_map<GenerationId, Generation> generations;
    std::set<GenerationId> runningIds;
    std::size_t queued { 0 };
    std::unordered_set<GenerationId> tombstones;
    /** Creation times of the tombstones, oldest first. */
    std::deque<std::pair<Instant, GenerationId>> tombstoneTimes;
};

}
