#pragma once

#include "core/agent/ClaimOutcomeWriter.h"
#include "ports/Randomness.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace teaselfold {

/** The claim is this agent's: the call may run, once. */
struct ClaimAcquired {
    GenerationId call;
};

/** The call ran before; this is its record. */
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
 * IdempotencyClaims the keys of calls that run at most once. A claim is one conditional write with a token of its own;
 * nobody ever takes over a claim of another, so a paused or dead claimer cannot cause a second run.
 */
class IdempotencyClaims {
public:
    /** @param randomness draws the tokens; must outlive this object. */
    IdempotencyClaims(AdmissionLimits limits, Randomness& randomness);

    /** Begins to claim a call's key. @param deadline of the caller. */
    void begin(
        GenerationId call, const ServiceWork& work, Instant deadline, Instant now, std::vector<AgentAction>& actions);

    /** The call is no longer wanted; once its claim is clear, it is marked as not run. */
    void cancel(GenerationId call);

    /** Takes the table's answer in. */
    std::vector<ClaimResult> handle(const PlatformReply& reply, Instant now, std::vector<AgentAction>& actions);

    /** Takes the steps that are due. */
    std::vector<ClaimResult> tick(Instant now, std::vector<AgentAction>& actions);

    /** Records the answer of a call whose claim was won. */
    void recordDone(const ServiceAnswered& answer, Instant now, std::vector<AgentAction>& actions);

    /** Records that a call whose claim was won did not run. It must never run afterwards. */
    void recordNotRun(GenerationId call, Instant now, std::vector<AgentAction>& actions);

    /** Lets go of a call whose run is unknown; its row stays as it is. */
    void forgetUnresolved(GenerationId call) { this->held.erase(call); }

    /** @return whether the outcome of a call waits to be written. */
    bool isRecording(GenerationId call) const { return this->outcomeWriter->isPending(call); }

    /** @return whether any outcome waits to be written. */
    bool hasPendingOutcomes() const { return this->outcomeWriter->size() > 0; }

private:
    enum class Step : std::uint8_t {
        Insert,
        Replace,
        Read,
    };

    struct Attempt {
        GenerationId call;
        std::string key;
        ClaimRecord record;
        Step step { Step::Insert };
        std::uint64_t version { 0 };
        Instant deadline;
        Instant storeDeadline;
        std::optional<Instant> otherRunDeadline;
        std::optional<Instant> nextAttemptAt;
        /** True when a write was sent whose answer is not known. */
        bool possiblyWritten { false };
        bool cancelled { false };
    };

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

    AdmissionLimits limits;
    Randomness& randomness;
    std::unique_ptr<OperationIdGenerator> operationIds;
    std::unique_ptr<ClaimOutcomeWriter> outcomeWriter;
    std::map<GenerationId, Attempt> attempts;
    std::map<OperationId, GenerationId> pendingOperations;
    std::map<GenerationId, HeldClaim> held;
};

}
