#pragma once

#include "core/agent/AgentLimits.h"
#include "core/agent/ClaimRecord.h"
#include "ports/AgentPorts.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** Draws ids for table operations. */
class OperationIdGenerator {
public:
    OperationId next() { return OperationId(this->last += 1); }

private:
    std::uint64_t last { 0 };
};

/**
 * Writes what became of a claim, "done" or "not run", until the table has it. A claim whose own write got no answer
 * is settled by an insert of "not run": either the insert wins, and the late write finds a row, or the late write is
 * found and replaced.
 */
class ClaimOutcomeWriter {
public:
    ClaimOutcomeWriter(AdmissionLimits limits, OperationIdGenerator& operationIds)
        : limits(limits)
        , operationIds(operationIds)
    {
    }

    /**
     * @param call whose claim it is.
     * @param desired the record to write; its token is the claim's.
     * @param version of the row that holds the claim; nothing when it is not known whether there is one.
     */
    void writeOutcome(GenerationId call, std::string key, ClaimRecord desired, std::optional<std::uint64_t> version,
        Instant now, std::vector<AgentAction>& actions);

    /** @return true when the reply was one of this object's operations. */
    bool handle(const PlatformReply& reply, Instant now);

    /** Tries again what is due. */
    void tick(Instant now, std::vector<AgentAction>& actions);

    /** @return whether the outcome of this call's claim is not yet in the table. */
    bool isPending(GenerationId call) const { return this->outcomes.contains(call); }

    std::size_t size() const { return this->outcomes.size(); }

private:
    struct PendingOutcome {
        std::string key;
        ClaimRecord desired;
        std::optional<std::uint64_t> version;
        /** When the next write is due; nothing while one is under way. */
        std::optional<Instant> nextAttemptAt;
    };

    void sendWrite(GenerationId call, PendingOutcome& outcome, std::vector<AgentAction>& actions);
    bool isResolvedBy(PendingOutcome& outcome, const WriteConflict& conflict) const;

    AdmissionLimits limits;
    OperationIdGenerator& operationIds;
    std::map<GenerationId, PendingOutcome> outcomes;
    std::map<OperationId, GenerationId> pendingOperations;
};

}
