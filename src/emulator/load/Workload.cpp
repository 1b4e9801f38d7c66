#include "emulator/load/Workload.h"

#include <algorithm>

namespace teaselfold {

namespace {

    template <typename Item> std::size_t drawByShare(const std::vector<Item>& items, SeededRandomness& random)
    {
        double shareSum = 0;
        for (const Item& item : items)
            shareSum += item.share;
        double point = random.uniform() * shareSum;
        for (std::size_t index = 0; index < items.size(); ++index) {
            point -= items[index].share;
            if (point < 0)
                return index;
        }
        return items.size() - 1;
    }

    bool inBurst(const WorkloadSettings& settings, Duration at)
    {
        return settings.burstInterval > Duration(0) && at % settings.burstInterval < settings.burstLength;
    }

    /** @return the next arrival of a Poisson process of varying rate, drawn by thinning (Lewis and Shedler, 1979). */
    Duration nextArrival(const WorkloadSettings& settings, Duration at, SeededRandomness& random)
    {
        const double factor = settings.burstInterval > Duration(0) ? std::max(1.0, settings.burstFactor) : 1;
        while (true) {
            const double wait = random.exponential() / (settings.requestsPerSecond * factor);
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
            const double kept = inBurst(settings, at) ? 1 : 1 / factor;
            if (random.uniform() < kept || at > settings.length)
                return at;
        }
    }

    std::string makePrompt(const WorkloadSettings& settings, const Arrival& arrival, SeededRandomness& random)
    {
        const std::uint64_t variant = random.next() % std::max(1U, settings.sharedPrefixes);
        const std::string sentence
            = "instructions of " + arrival.team.get() + " number " + std::to_string(variant) + ". ";
        std::string prompt;
        while (prompt.size() < settings.sharedPrefixBytes)
            prompt += sentence;
        prompt.resize(settings.sharedPrefixBytes, ' ');
        prompt += " request " + std::to_string(random.next()) + " len=" + std::to_string(arrival.outputTokens) + " ";
        const std::size_t bytes = settings.kinds[arrival.kind].promptBytes;
        prompt.resize(std::max(prompt.size(), bytes), 'x');
        return prompt;
    }

}

std::vector<RequestKind> defaultKinds()
{
    RequestKind check;
    check.priority = PriorityClass::Interactive;
    check.share = 0.55;
    check.lengths = { { { 1, 50, 0.7 } }, 1024 };
    check.maxTokens = 1024;
    check.budget = Seconds(20);
    check.betweenTokens = Milliseconds(26);
    check.promptBytes = 900;
    RequestKind summary;
    summary.priority = PriorityClass::Standard;
    summary.share = 0.35;
    summary.lengths = { { { 1, 300, 0.8 } }, 4096 };
    summary.maxTokens = 4096;
    summary.budget = Seconds(90);
    summary.betweenTokens = Milliseconds(50);
    summary.promptBytes = 3000;
    RequestKind draft;
    draft.priority = PriorityClass::Batch;
    draft.share = 0.10;
    draft.lengths = { { { 1, 2000, 1.0 } }, 16384 };
    draft.maxTokens = 16384;
    draft.budget = Seconds(600);
    draft.betweenTokens = Milliseconds(100);
    draft.promptBytes = 2000;
    return { check, summary, draft };
}

void shortenLengths(std::vector<RequestKind>& kinds, double factor, std::uint32_t maxLengthTokens)
{
    for (RequestKind& kind : kinds) {
        for (OutputLengthComponent& component : kind.lengths.components)
            component.medianTokens *= factor;
        kind.lengths.maxLengthTokens = std::min(kind.lengths.maxLengthTokens, maxLengthTokens);
    }
}

std::vector<TeamShare> defaultTeams()
{
    std::vector<TeamShare> teams { { TeamId("large-1"), 0.30 }, { TeamId("large-2"), 0.25 },
        { TeamId("large-3"), 0.15 } };
    for (int number = 1; number <= 7; ++number)
        teams.push_back({ TeamId("small-" + std::to_string(number)), 0.30 / 7 });
    return teams;
}

std::vector<Arrival> makeArrivals(const WorkloadSettings& settings)
{
    SeededRandomness random(settings.seed);
    std::vector<Arrival> arrivals;
    Duration at = nextArrival(settings, Duration(0), random);
    while (at <= settings.length) {
        Arrival arrival;
        arrival.at = at;
        arrival.team = settings.teams[drawByShare(settings.teams, random)].team;
        arrival.kind = static_cast<std::uint32_t>(drawByShare(settings.kinds, random));
        const RequestKind& kind = settings.kinds[arrival.kind];
        const std::uint32_t drawn = sampleOutputLength(kind.lengths, random);
        arrival.outputTokens = kind.maxTokens == 0 ? drawn : std::min(drawn, kind.maxTokens);
        arrival.prompt = makePrompt(settings, arrival, random);
        arrivals.push_back(std::move(arrival));
        at = nextArrival(settings, at, random);
    }
    return arrivals;
}

}
