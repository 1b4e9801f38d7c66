#pragma once

#include "core/agent/ClaimOutcomeWriter.h"
#include "ports/Randomness.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace teaselfold {

/** The claim succeeded: the call may run once, at this agent. */
struct ClaimAcquired {
    GenerationId call;
};

/** The call ran before; the record holds its answer. */
struct ClaimReplayed {
    GenerationId call;
    ClaimRecord record;
};

/** The call must not run. */
struct ClaimRefused {
    GenerationId call;
    Failure failure;
};

using ClaimResult = std::variant<ClaimAcquired, ClaimReplayed, ClaimRefused>;

/**
 * Claims the idempotency keys of calls that run at most once. A claim is one conditional write with a token of its own.
 * No agent ever takes over the claim of another, so a paused or dead agent cannot cause a second run.
 */
class IdempotencyClaims {
public:
    /** @param randomness source of the tokens; must outlive this object. */
    IdempotencyClaims(AgentLimits limits, Randomness& randomness);

    /**
     * Starts to claim a call's key.
     * @param deadline the caller's deadline; a claim that succeeds later is recorded as not run.
     */
    void begin(
        GenerationId call, const ServiceWork& work, Instant deadline, Instant now, std::vector<AgentAction>& actions);

    /** Cancels a claim in progress. If its write still succeeds, the call is recorded as not run. */
    void cancel(GenerationId call);

    /** Handles a reply of the platform's table. @return the results of the claims that the reply decided. */
    std::vector<ClaimResult> handle(const PlatformReply& reply, Instant now, std::vector<AgentAction>& actions);

    /** Retries the claims that are due and abandons expired ones. @return the results of the abandoned claims. */
    std::vector<ClaimResult> tick(Instant now, std::vector<AgentAction>& actions);

    /** Records the answer of a call whose claim succeeded. */
    void recordDone(const ServiceResponded& answer, Instant now, std::vector<AgentAction>& actions);

    /** Records that a call whose claim succeeded did not run. It must never run afterwards. */
    void recordNotRun(GenerationId call, Instant now, std::vector<AgentAction>& actions);

    /** Drops the claim of a call that may have run; its row stays unchanged, so the key stays claimed. */
    void forgetUnresolved(GenerationId call) { this->held.erase(call); }

    /** @return whether the outcome of a call is not yet stored in the table. */
    bool isOutcomePending(GenerationId call) const { return this->outcomeWriter->isPending(call); }

    /** @return whether any outcome is not yet stored in the table. */
    bool hasPendingOutcomes() const { return this->outcomeWriter->size() > 0; }

private:
    /** The table operation that an attempt sends next. */
    enum class Step : std::uint8_t {
        Insert,
        Replace,
        Read,
    };

    /** A claim in progress. */
    struct Attempt {
        GenerationId call;
        std::string key;
        ClaimRecord record;
        Step step { Step::Insert };
        std::uint64_t version { 0 };
        Instant deadline;
        /** When the agent stops trying to reach the table. */
        Instant storeDeadline;
        /** When the agent stops waiting for another run of the key; set once that run is known. */
        std::optional<Instant> otherRunDeadline;
        std::optional<Instant> nextAttemptAt;
        /** True when a write was sent and its result is unknown. */
        bool possiblyWritten { false };
        bool cancelled { false };
    };

    /** A successful claim whose call has no outcome yet. */
    struct HeldClaim {
        std::string key;
        ClaimRecord record;
        std::uint64_t version { 0 };
    };

    using OptionalResult = std::optional<ClaimResult>;

    void send(Attempt& attempt, std::vector<AgentAction>& actions);
    OptionalResult onReply(
        Attempt& attempt, const PlatformResult& result, Instant now, std::vector<AgentAction>& actions);
    OptionalResult onExistingRow(
        Attempt& attempt, const TableRecord& row, Instant now, std::vector<AgentAction>& actions);
    OptionalResult onClaimedElsewhere(Attempt& attempt, Instant now);
    OptionalResult onUnavailable(Attempt& attempt, bool sent, Instant now, std::vector<AgentAction>& actions);
    OptionalResult onAcquired(Attempt& attempt, std::uint64_t version, Instant now, std::vector<AgentAction>& actions);
    OptionalResult abandon(Attempt& attempt, const Failure& failure, Instant now, std::vector<AgentAction>& actions);
    void scheduleRetry(Attempt& attempt, Step step, Instant at);
    std::string generateToken();

    AgentLimits limits;
    Randomness& randomness;
    std::unique_ptr<OperationIdGenerator> operationIds;
    std::unique_ptr<ClaimOutcomeWriter> outcomeWriter;
    std::map<GenerationId, Attempt> attempts;
    std::map<OperationId, GenerationId> pendingOperations;
    std::map<GenerationId, HeldClaim> held;
};

}
