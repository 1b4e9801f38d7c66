#include "core/agent/AdmissionStrategy.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    /** Share of memory kept free, as a divisor, for prompts whose token count is only estimated. */
    constexpr std::uint64_t spareDivisor = 20;
    constexpr std::uint32_t defaultMaxTokens = 4096;

    struct Projection {
        std::uint64_t held { 0 };
        std::uint64_t remaining { 0 };
    };

    Projection projectionOf(const EngineView& view, const GenerationSize& size)
    {
        const std::uint32_t length
            = view.lengths.conditionalQuantile(size.priority, size.generated, view.quantile, size.maxTokens);
        return { std::uint64_t { size.promptTokens } + size.generated,
            length > size.generated ? length - size.generated : 0 };
    }

    std::uint64_t usableTokens(const EngineView& view)
    {
        return view.capacityTokens - view.capacityTokens / spareDivisor;
    }

    class Unlimited : public AdmissionStrategy {
        bool admits(const EngineView&, const GenerationSize&) const override { return true; }
    };

    class FixedSlots : public AdmissionStrategy {
        bool admits(const EngineView& view, const GenerationSize&) const override
        {
            return view.running.size() < view.fixedSlots;
        }
    };

    class ReserveMax : public AdmissionStrategy {
        bool admits(const EngineView& view, const GenerationSize& candidate) const override
        {
            std::uint64_t reserved = reservationOf(candidate);
            for (const GenerationSize& size : view.running)
                reserved += reservationOf(size);
            return view.running.empty() || view.capacityTokens == 0 || reserved <= view.capacityTokens;
        }

        static std::uint64_t reservationOf(const GenerationSize& size)
        {
            return std::uint64_t { size.promptTokens } + (size.maxTokens == 0 ? defaultMaxTokens : size.maxTokens);
        }
    };

    /** Memory by conditional output lengths, pace by the learnt speed, and warmth; all three must allow. */
    class Conditional : public AdmissionStrategy {
        bool admits(const EngineView& view, const GenerationSize& candidate) const override
        {
            if (view.running.empty())
                return true;
            const auto batch = static_cast<std::uint32_t>(view.running.size()) + 1;
            if (batch > view.warmth.allowance())
                return false;
            if (!view.pace.allows(batch, view.target))
                return false;
            return view.capacityTokens == 0 || peakTokens(view, candidate) <= usableTokens(view);
        }
    };

    const Conditional conditional;
    const Unlimited unlimited;
    const FixedSlots fixedSlots;
    const ReserveMax reserveMax;

    struct StrategyRow {
        std::string_view name;
        const AdmissionStrategy* strategy;
    };

    const std::array strategies { StrategyRow { "conditional", &conditional }, StrategyRow { "unlimited", &unlimited },
        StrategyRow { "fixed-slots", &fixedSlots }, StrategyRow { "reserve-max", &reserveMax } };

}

const AdmissionStrategy& admissionStrategy(const std::string& name)
{
    const auto* found
        = std::find_if(strategies.begin(), strategies.end(), [&](const StrategyRow& row) { return row.name == name; });
    return found == strategies.end() ? conditional : *found->strategy;
}

std::uint64_t peakTokens(const EngineView& view, const GenerationSize& candidate)
{
    std::vector<Projection> batch;
    batch.reserve(view.running.size() + 1);
    batch.push_back(projectionOf(view, candidate));
    for (const GenerationSize& size : view.running)
        batch.push_back(projectionOf(view, size));
    std::sort(batch.begin(), batch.end(),
        [](const Projection& left, const Projection& right) { return left.remaining > right.remaining; });
    std::uint64_t held = 0;
    std::uint64_t peak = 0;
    for (std::size_t index = 0; index < batch.size(); ++index) {
        held += batch[index].held;
        peak = std::max(peak, held + (index + 1) * batch[index].remaining);
    }
    return peak;
}

}
