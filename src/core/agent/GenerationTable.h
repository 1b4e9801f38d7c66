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

/** One generation at this agent. */
struct Generation {
    GenerationId id;
    CompletionWork work;
    /** The entry that tokens go to. */
    EntryId entry;
    GenerationState state { GenerationState::Queued };
    Instant arrived;
    Instant deadline;
    Instant started;
    Instant lastToken;
    /** Last start, resume or token; a stream that is silent since then is asked for again. */
    Instant lastActivity;
    std::vector<std::string> tokens;
    /** Tokens below this index were sent to the entry. */
    std::uint32_t sent { 0 };
    /** Tokens below this index reached the caller. */
    std::uint32_t acknowledged { 0 };
    /** Tokens that the engine is known to have made, received or not. */
    std::uint32_t produced { 0 };
    std::uint32_t streamResumes { 0 };
    std::uint32_t engineRefusals { 0 };
    /** When the engine's stream is asked for again. */
    std::optional<Instant> resumeAt;
    std::optional<Instant> orphanedSince;
    Instant ended;
    bool endSent { false };
    FinishReason reason { FinishReason::Stop };
    Failure failure;

    bool hasEnded() const { return this->state == GenerationState::Finished || this->state == GenerationState::Failed; }
    /** @return estimated tokens of the prompt. */
    std::uint32_t promptTokens() const;
    /** @return the generation as the queue sees it. */
    QueueItem queueItem(std::uint32_t cost) const { return { this->id, this->work.team, this->work.priority, cost }; }
};

/** All generations of an agent with their tokens, and the ids of those that will never run. */
class GenerationTable {
public:
    explicit GenerationTable(AgentLimits limits)
        : limits(limits)
    {
    }

    /** @return the generation; null when it is not held. */
    Generation* find(GenerationId id);

    /** Takes a new generation in. The id must be new. */
    Generation& add(Generation generation);

    /** Changes the state and keeps the indexes right. */
    void setState(Generation& generation, GenerationState state, Instant now);

    /** Drops a generation that never ran and remembers that it never will. */
    void addTombstone(GenerationId id, Instant now);

    /** @return true when the id was refused, cancelled or asked for before its submission. */
    bool hasTombstone(GenerationId id) const { return this->tombstones.contains(id); }

    const std::set<GenerationId>& running() const { return this->runningIds; }
    std::size_t queuedCount() const { return this->queued; }

    /** @return ids in any state, for periodic checks. */
    std::vector<GenerationId> ids() const;

    /** Sends what the flow window allows, and the end after the last token. */
    void stream(Generation& generation, std::vector<AgentAction>& actions) const;

    /** Makes an entry the receiver, from a token index on. */
    void attach(
        Generation& generation, const EntryId& entry, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const;

    /** Notes that tokens reached the caller and sends more. */
    void acknowledge(Generation& generation, std::uint32_t nextIndex, std::vector<AgentAction>& actions) const;

    /** Marks all generations of an entry whose link is gone. */
    void markOrphaned(const EntryId& entry, Instant now);

    /** Forgets ended generations and tombstones whose time is over. */
    void expire(Instant now);

    /** @return true when no generation is queued, running or still owed to an entry. */
    bool drained(Instant now) const;

private:
    bool isExpired(const Generation& generation, Instant now) const;
    void sendEnd(Generation& generation, std::vector<AgentAction>& actions) const;

    AgentLimits limits;
    std::unordered_map<GenerationId, Generation> generations;
    std::set<GenerationId> runningIds;
    std::size_t queued { 0 };
    std::unordered_set<GenerationId> tombstones;
    std::deque<std::pair<Instant, GenerationId>> tombstoneTimes;
};

}
