#include "core/agent/AdmissionStrategy.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselfold {

namespace {

    /** Each class leaves the engine's capacity divided by this number free for the class above it. */
    constexpr std::uint64_t classReserveDivisor = 20;
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

    /** @return tokens that a class may occupy; lower classes leave more capacity to the classes above them. */
    std::uint64_t usableTokens(const EngineView& view, PriorityClass priority)
    {
        const std::uint64_t reserve = view.capacityTokens / classReserveDivisor;
        return view.capacityTokens - reserve * static_cast<std::uint64_t>(priority);
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

    bool warmUpAllows(const EngineView& view, const GenerationSize&)
    {
        return view.running.size() + view.inherited < view.warmUp.concurrencyLimit();
    }

    bool paceAllows(const EngineView& view, const GenerationSize&)
    {
        return view.pace.allows(static_cast<std::uint32_t>(view.running.size()) + 1, view.paceTarget);
    }

    bool memoryAllows(const EngineView& view, const GenerationSize& candidate)
    {
        return view.capacityTokens == 0 || peakTokens(view, candidate) <= usableTokens(view, candidate.priority);
    }

    using AdmissionCheck = bool (*)(const EngineView&, const GenerationSize&);

    /**
     * Admits a generation when all given checks pass: memory by conditional output lengths, pace by the learnt time
     * between tokens, and warm-up of a cold endpoint. An idle engine admits any generation.
     */
    class Conditional : public AdmissionStrategy {
    public:
        explicit Conditional(std::vector<AdmissionCheck> checks)
            : checks(std::move(checks))
        {
        }

        bool admits(const EngineView& view, const GenerationSize& candidate) const override
        {
            const bool idle = view.running.empty() && view.inherited == 0;
            return idle || std::all_of(this->checks.begin(), this->checks.end(), [&](AdmissionCheck allows) {
                return allows(view, candidate);
            });
        }

    private:
        std::vector<AdmissionCheck> checks;
    };

    const Conditional conditional({ warmUpAllows, paceAllows, memoryAllows });
    const Conditional withoutMemory({ warmUpAllows, paceAllows });
    const Conditional withoutPace({ warmUpAllows, memoryAllows });
    const Conditional withoutWarmUp({ paceAllows, memoryAllows });
    const Unlimited unlimited;
    const FixedSlots fixedSlots;
    const ReserveMax reserveMax;

    struct StrategyRow {
        std::string_view name;
        const AdmissionStrategy* strategy;
    };

    const std::array strategies { StrategyRow { "conditional", &conditional },
        StrategyRow { "conditional-without-memory", &withoutMemory },
        StrategyRow { "conditional-without-pace", &withoutPace },
        StrategyRow { "conditional-without-warmth", &withoutWarmUp }, StrategyRow { "unlimited", &unlimited },
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
