#pragma once

#include "core/agent/ClaimSettler.h"
#include "ports/Randomness.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace teaselfold {

/** The claim is this agent's: the call may run, once. */
struct ClaimWon {
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

using ClaimVerdict = std::variant<ClaimWon, ClaimReplayed, ClaimRefused>;

/**
 * Claims the keys of calls that run at most once. A claim is one conditional write with a token of its own; nobody
 * ever takes over a claim of another, so a paused or dead claimer cannot cause a second run.
 */
class Claims {
public:
    /** @param randomness draws the tokens; must outlive this object. */
    Claims(AdmissionLimits limits, Randomness& randomness);

    /** Begins to claim a call's key. @param deadline of the caller. */
    void begin(
        GenerationId call, const ServiceWork& work, Instant deadline, Instant now, std::vector<AgentAction>& actions);

    /** The call is no longer wanted; once its claim is clear, it is marked as not run. */
    void cancel(GenerationId call);

    /** Takes the table's answer in. */
    std::vector<ClaimVerdict> handle(const PlatformReply& reply, Instant now, std::vector<AgentAction>& actions);

    /** Takes the steps that are due. */
    std::vector<ClaimVerdict> tick(Instant now, std::vector<AgentAction>& actions);

    /** Records the answer of a call whose claim was won. */
    void recordDone(const ServiceResponded& answer, Instant now, std::vector<AgentAction>& actions);

    /** Records that a call whose claim was won did not run. It must never run afterwards. */
    void recordNotRun(GenerationId call, Instant now, std::vector<AgentAction>& actions);

    /** Lets go of a call whose run is unknown; its row stays as it is. */
    void leaveUnknown(GenerationId call) { this->held.erase(call); }

    /** @return whether the outcome of a call waits to be written. */
    bool isRecording(GenerationId call) const { return this->settler->isOpen(call); }

    /** @return whether any outcome waits to be written. */
    bool settling() const { return this->settler->size() > 0; }

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
        Instant storeUntil;
        std::optional<Instant> otherUntil;
        std::optional<Instant> nextTry;
        /** True when a write was sent whose answer is not known. */
        bool maybeWritten { false };
        bool cancelled { false };
    };

    struct HeldClaim {
        std::string key;
        ClaimRecord record;
        std::uint64_t version { 0 };
    };

    using Verdict = std::optional<ClaimVerdict>;

    void send(Attempt& attempt, std::vector<AgentAction>& actions);
    Verdict onReply(Attempt& attempt, const PlatformResult& result, Instant now, std::vector<AgentAction>& actions);
    Verdict onRow(Attempt& attempt, const TableRecord& row, Instant now, std::vector<AgentAction>& actions);
    Verdict onOtherRun(Attempt& attempt, Instant now);
    Verdict onUnavailable(Attempt& attempt, bool sent, Instant now, std::vector<AgentAction>& actions);
    Verdict won(Attempt& attempt, std::uint64_t version, Instant now, std::vector<AgentAction>& actions);
    Verdict abandon(Attempt& attempt, const Failure& failure, Instant now, std::vector<AgentAction>& actions);
    void tryAgain(Attempt& attempt, Step step, Instant at);
    std::string drawToken();

    AdmissionLimits limits;
    Randomness& randomness;
    std::unique_ptr<OperationCounter> operations;
    std::unique_ptr<ClaimSettler> settler;
    std::map<GenerationId, Attempt> attempts;
    std::map<OperationId, GenerationId> pending;
    std::map<GenerationId, HeldClaim> held;
};

}
