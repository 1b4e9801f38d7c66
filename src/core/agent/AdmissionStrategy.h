#pragma once

#include "core/agent/LengthModel.h"
#include "core/agent/PaceModel.h"
#include "core/agent/WarmUp.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** Properties of a generation that strategies use. */
struct GenerationSize {
    std::uint32_t promptTokens { 0 };
    std::uint32_t generated { 0 };
    std::uint32_t maxTokens { 0 };
    PriorityClass priority { PriorityClass::Standard };
};

/** State of the engine at the time of a decision. */
struct EngineView {
    std::vector<GenerationSize> running;
    /** Tokens that fit into the engine's memory; zero while unknown. */
    std::uint64_t capacityTokens { 0 };
    /** Quantile of the output length for which memory is reserved. */
    double quantile { 0.8 };
    std::uint32_t fixedSlots { 16 };
    /** Longest acceptable time between tokens. */
    Milliseconds paceTarget { 26 };
    const LengthModel& lengths;
    const PaceModel& pace;
    const WarmUp& warmUp;
    /** Generations that an earlier process of the agent left running at the engine; not included in `running`. */
    std::uint32_t inherited { 0 };
};

/** Decides whether one more generation may start. */
class AdmissionStrategy {
public:
    virtual ~AdmissionStrategy() = default;
    /** @return true when the candidate may start in addition to the running generations. */
    virtual bool admits(const EngineView& view, const GenerationSize& candidate) const = 0;
};

/** @return the strategy with this name, or the conditional strategy if the name is unknown; a static object. */
const AdmissionStrategy& admissionStrategy(const std::string& name);

/**
 * Estimates the peak memory of the running generations and the candidate. With the expected remaining lengths r in
 * descending order, it is the maximum over i of (tokens held now by the first i generations) + i * r_i. Source:
 * "Past-Future Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.
 * @return tokens.
 */
std::uint64_t peakTokens(const EngineView& view, const GenerationSize& candidate);

}
