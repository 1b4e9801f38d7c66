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
    /** The service answered; the answer waits for its record in the table. */
    Recording,
    Ended,
};

/** One call at this agent. */
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
    /** What was or will be sent to the entry. */
    std::optional<AgentMessage> reply;

    /** @return whether the call needs a claim before it may run. */
    bool needsClaim() const { return this->work.atMostOnce && this->work.key != IdempotencyKey(); }
    QueueItem queueItem() const { return { this->id, this->work.team, PriorityClass::Standard, 1 }; }
};

/** The calls of an agent; ended ones are kept for a while, so that a call sent again gets the same answer. */
class CallTable {
public:
    explicit CallTable(AdmissionLimits limits)
        : limits(limits)
    {
    }

    /** @return the call; null when it is not held. */
    Call* find(GenerationId id);
    Call& add(Call call);
    /** Remembers that a call which was never submitted will never run. */
    void addTombstone(GenerationId id, Instant now);
    bool hasTombstone(GenerationId id) const { return this->tombstones.contains(id); }
    /** @return calls in a state. */
    std::vector<GenerationId> inState(CallState state) const;
    /** @return whether all calls ended. */
    bool allEnded() const;
    /** Forgets ended calls and tombstones whose time is over. */
    void expire(Instant now);

private:
    AdmissionLimits limits;
    std::map<GenerationId, Call> calls;
    std::unordered_set<GenerationId> tombstones;
    std::deque<std::pair<Instant, GenerationId>> tombstoneTimes;
};

}
