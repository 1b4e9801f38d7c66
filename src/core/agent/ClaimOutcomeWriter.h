#pragma once

#include "core/agent/AgentLimits.h"
#include "core/agent/ClaimRecord.h"
#include "ports/AgentPorts.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** Generates unique ids for table operations. */
class OperationIdGenerator {
public:
    OperationId next() { return OperationId(this->last += 1); }

private:
    std::uint64_t last { 0 };
};

/**
 * Writes the outcome of a claim, "done" or "not run", to the platform's table and retries until it is stored. When the
 * reply to the claim's own write was lost, "not run" is inserted: either the insert succeeds and a late claim write
 * conflicts with it, or the insert conflicts with the claim's row, which is then replaced.
 */
class ClaimOutcomeWriter {
public:
    ClaimOutcomeWriter(AgentLimits limits, OperationIdGenerator& operationIds)
        : limits(limits)
        , operationIds(operationIds)
    {
    }

    /**
     * Sends the first write of an outcome.
     * @param call the call that the claim belongs to.
     * @param key the key of the table row.
     * @param desired the record to write; its token is the token of the claim.
     * @param version the version of the row that holds the claim; nothing when it is unknown whether the row exists.
     */
    void writeOutcome(GenerationId call, std::string key, ClaimRecord desired, std::optional<std::uint64_t> version,
        Instant now, std::vector<AgentAction>& actions);

    /** @return true when the reply belongs to one of this object's operations. */
    bool handle(const PlatformReply& reply, Instant now);

    /** Retries the writes that are due. */
    void tick(Instant now, std::vector<AgentAction>& actions);

    /** @return whether the outcome of this call's claim is not yet stored in the table. */
    bool isPending(GenerationId call) const { return this->outcomes.contains(call); }

    /** @return number of outcomes that are not yet stored. */
    std::size_t size() const { return this->outcomes.size(); }

private:
    struct PendingOutcome {
        std::string key;
        ClaimRecord desired;
        std::optional<std::uint64_t> version;
        /** When the next write is due; nothing while a write is in flight. */
        std::optional<Instant> nextAttemptAt;
    };

    void sendWrite(GenerationId call, PendingOutcome& outcome, std::vector<AgentAction>& actions);
    /**
     * Updates the row version from a write conflict.
     * @return true when no further write is needed.
     */
    bool applyConflict(PendingOutcome& outcome, const WriteConflict& conflict) const;

    AgentLimits limits;
    OperationIdGenerator& operationIds;
    std::map<GenerationId, PendingOutcome> outcomes;
    std::map<OperationId, GenerationId> pendingOperations;
};

}
