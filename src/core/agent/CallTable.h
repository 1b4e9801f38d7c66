#pragma once

#include "core/agent/AgentLimits.h"
#include "core/agent/FairQueue.h"
#include "ports/AgentPorts.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace teaselfold {

enum class CallState : std::uint8_t {
    Queued,
    Claiming,
    Forwarded,
    /** The service answered; the reply waits until the answer is recorded in the platform's table. */
    Recording,
    Ended,
};

/** One call to the plain service, as this agent tracks it. */
struct Call {
    GenerationId id;
    ServiceWork work;
    EntryId entry;
    CallState state { CallState::Queued };
    Instant arrived;
    Instant deadline;
    Instant started;
    Instant answered;
    Instant ended;
    bool holdsSlot { false };
    /** The final message to the entry, sent or waiting to be sent. */
    std::optional<AgentMessage> reply;

    /** @return whether the idempotency key must be claimed before the call may run. */
    bool needsClaim() const { return this->work.atMostOnce && this->work.key != IdempotencyKey(); }
    QueueItem queueItem() const { return { this->id, this->work.team, PriorityClass::Standard, 1 }; }
};

/** The calls of an agent. Ended calls are kept for a time, so that a resent call gets the same answer. */
class CallTable {
public:
    explicit CallTable(AgentLimits limits)
        : limits(limits)
    {
    }

    /** @return the call; null when the table does not contain it. */
    Call* find(GenerationId id);
    Call& add(Call call);
    /** Records the id of a call that must not run if it is submitted later. */
    void addTombstone(GenerationId id, Instant now);
    bool hasTombstone(GenerationId id) const { return this->tombstones.contains(id); }
    /** @return ids of the calls in the given state. */
    std::vector<GenerationId> inState(CallState state) const;
    /** @return whether all calls have ended. */
    bool allEnded() const;
    /** Replaces ended calls by tombstones after their retention time, and removes expired tombstones. */
    void expire(Instant now);

private:
    AgentLimits limits;
    std::map<GenerationId, Call> calls;
    std::unordered_set<GenerationId> tombstones;
    std::deque<std::pair<Instant, GenerationId>> tombstoneTimes;
};

}
