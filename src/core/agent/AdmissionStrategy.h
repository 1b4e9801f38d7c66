#pragma once

#include "core/agent/LengthModel.h"
#include "core/agent/PaceModel.h"
#include "core/agent/WarmUp.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** What a strategy needs to know of one generation. */
struct GenerationSize {
    std::uint32_t promptTokens { 0 };
    std::uint32_t generated { 0 };
    std::uint32_t maxTokens { 0 };
    PriorityClass priority { PriorityClass::Standard };
};

/** What a strategy knows of the engine at the moment of a decision. */
struct EngineView {
    std::vector<GenerationSize> running;
    /** Tokens that fit the engine's memory; zero while unknown. */
    std::uint64_t capacityTokens { 0 };
    /** Quantile of the output length that memory is kept for. */
    double quantile { 0.8 };
    std::uint32_t fixedSlots { 16 };
    /** Time between tokens to keep. */
    Milliseconds paceTarget { 26 };
    const LengthModel& lengths;
    const PaceModel& pace;
    const WarmUp& warmUp;
    /** Generations beside the running ones that an earlier life of the agent left at the engine. */
    std::uint32_t inherited { 0 };
};

/** Decides whether one more generation may start. */
class AdmissionStrategy {
public:
    virtual ~AdmissionStrategy() = default;
    /** @return true when the candidate may start beside the running ones. */
    virtual bool admits(const EngineView& view, const GenerationSize& candidate) const = 0;
};

/** @return the strategy with this name; the conditional one when there is none. Lives for the whole process. */
const AdmissionStrategy& admissionStrategy(const std::string& name);

/**
 * Greatest memory that a batch is expected to hold at any time from now on. With remaining lengths r sorted from the
 * longest, it is the maximum over i of (sum of tokens held by the i longest) + i * r_i. Source: "Past-Future
 * Scheduler for LLM Serving under SLA Guarantees", ASPLOS 2025.
 * @return tokens.
 */
std::uint64_t peakTokens(const EngineView& view, const GenerationSize& candidate);

}
