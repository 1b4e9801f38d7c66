#include "core/gateway/RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace teaselfold {

namespace {

    /** Answers of previous versions to a route without which little is known of it. */
    constexpr std::uint32_t minPreviousAnswers = 8;
    /** Part of bad answers that is assumed of such a route. */
    constexpr double unknownRate = 0.2;
    /** Bad answers that tell nothing yet, at all endpoints together and without the worst one. */
    constexpr std::uint32_t minBadAnswers = 3;
    constexpr std::uint32_t minBadAnswersElsewhere = 2;
    /** Chance at which a single endpoint's bad answers make it suspect. */
    constexpr double suspectChance = 1e-2;
    /** Part of the previous versions' answers from which a route must have been answered by the new version too. */
    constexpr double frequentRoute = 0.05;
    constexpr std::uint32_t minAnswersOfRoute = 2;

    /** @return the probability of at least `count` successes in `trials`, each with this probability. */
    double chanceOfAtLeast(std::uint32_t count, std::uint32_t trials, double probability)
    {
        if (count == 0)
            return 1;
        const auto all = static_cast<double>(trials);
        double chance = 0;
        for (std::uint32_t each = count; each <= trials; ++each) {
            const auto hits = static_cast<double>(each);
            const double logarithm = std::lgamma(all + 1) - std::lgamma(hits + 1) - std::lgamma(all - hits + 1)
                + hits * std::log(probability) + (all - hits) * std::log1p(-probability);
            const double term = std::exp(logarithm);
            chance += term;
            constexpr double negligible = 1e-12;
            if (hits > all * probability && term < negligible)
                break;
        }
        return std::min(chance, 1.0);
    }

}

/** A kind of bad answers. */
struct RolloutJudge::Kind {
    std::uint32_t RolloutCounts::*count;
    std::string name;
    /** Part of the answers that is always borne. */
    double bornRate { 0 };
};

const std::vector<RolloutJudge::Kind>& RolloutJudge::kinds()
{
    static const std::vector<Kind> table {
        { &RolloutCounts::failed, "failed", 0.005 },
        { &RolloutCounts::slow, "slow", 0.02 },
    };
    return table;
}

RolloutJudge::RolloutJudge(const std::vector<RolloutCounts>& counts, std::size_t targetEndpoints)
    : targetEndpoints(targetEndpoints)
{
    for (const RolloutCounts& each : counts) {
        if (each.endpoint == 0)
            this->previous[each.route] = each;
        else if (each.answered > 0)
            this->target.push_back(each);
    }
}

double RolloutJudge::usualRate(const Kind& kind, std::uint32_t route) const
{
    const auto found = this->previous.find(route);
    if (found == this->previous.end() || found->second.answered < minPreviousAnswers)
        return unknownRate;
    const double answered = found->second.answered;
    const double rate = (found->second.*kind.count + 1) / (answered + 1);
    return std::clamp(rate + std::sqrt(rate / answered), kind.bornRate, 1 - kind.bornRate);
}

std::map<std::uint32_t, RolloutJudge::Tally> RolloutJudge::talliesOf(
    const Kind& kind, std::optional<std::uint32_t> route) const
{
    std::map<std::uint32_t, Tally> tallies;
    for (const RolloutCounts& counts : this->target) {
        if (route && counts.route != *route)
            continue;
        Tally& tally = tallies[counts.endpoint];
        tally.answered += counts.answered;
        tally.bad += counts.*kind.count;
        tally.expected += counts.answered * this->usualRate(kind, counts.route);
    }
    return tallies;
}

bool RolloutJudge::isBad(const std::map<std::uint32_t, Tally>& tallies, const RolloutConfidence& confidence) const
{
    Tally sum;
    Tally worst;
    for (const auto& [endpoint, tally] : tallies) {
        sum.answered += tally.answered;
        sum.bad += tally.bad;
        sum.expected += tally.expected;
        if (tally.bad >= worst.bad)
            worst = tally;
    }
    const auto isUnlikely = [](const Tally& tally, std::uint32_t minBad, double chance) {
        return tally.bad >= minBad
            && chanceOfAtLeast(tally.bad, tally.answered, tally.expected / tally.answered) < chance;
    };
    if (!isUnlikely(sum, minBadAnswers, confidence.overall))
        return false;
    if (this->targetEndpoints <= 1)
        return true;
    const Tally rest { sum.answered - worst.answered, sum.bad - worst.bad, sum.expected - worst.expected };
    return isUnlikely(rest, minBadAnswersElsewhere, confidence.withoutWorst);
}

std::optional<RolloutFault> RolloutJudge::fault(const RolloutConfidence& confidence) const
{
    std::vector<std::optional<std::uint32_t>> scopes { std::nullopt };
    for (const auto& counts : this->target)
        scopes.emplace_back(counts.route);
    std::sort(scopes.begin(), scopes.end());
    scopes.erase(std::unique(scopes.begin(), scopes.end()), scopes.end());
    for (const Kind& kind : kinds()) {
        for (const auto& scope : scopes) {
            const auto tallies = this->talliesOf(kind, scope);
            if (!this->isBad(tallies, confidence))
                continue;
            RolloutFault fault { kind.name, scope.has_value(), 0, 0, 0 };
            for (const auto& [endpoint, tally] : tallies) {
                fault.answered += tally.answered;
                fault.bad += tally.bad;
                fault.usualRate += tally.expected;
            }
            fault.usualRate /= fault.answered;
            return fault;
        }
    }
    return std::nullopt;
}

std::set<std::uint32_t> RolloutJudge::suspects() const
{
    std::set<std::uint32_t> found;
    for (const Kind& kind : kinds()) {
        for (const auto& [endpoint, tally] : this->talliesOf(kind, std::nullopt)) {
            if (tally.bad >= minBadAnswers
                && chanceOfAtLeast(tally.bad, tally.answered, tally.expected / tally.answered) < suspectChance)
                found.insert(endpoint);
        }
    }
    return found;
}

bool RolloutJudge::hasEnoughAnswers(double minAnswers) const
{
    std::map<std::uint32_t, std::uint32_t> byRoute;
    std::uint32_t answered = 0;
    for (const RolloutCounts& counts : this->target) {
        byRoute[counts.route] += counts.answered;
        answered += counts.answered;
    }
    if (answered < minAnswers)
        return false;
    double previousAnswers = 0;
    for (const auto& [route, counts] : this->previous)
        previousAnswers += counts.answered;
    return std::all_of(this->previous.begin(), this->previous.end(), [&](const auto& entry) {
        const bool isFrequent = entry.second.answered >= previousAnswers * frequentRoute;
        return !isFrequent || byRoute[entry.first] >= minAnswersOfRoute;
    });
}

}
