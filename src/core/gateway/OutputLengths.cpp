#include "core/gateway/OutputLengths.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaselfold {

namespace {

    constexpr std::size_t maxRoutes = 32;
    constexpr std::size_t maxTeamsPerRoute = 32;
    /** Number of lengths in a forecast. */
    constexpr std::size_t forecastSize = 16;
    /** Observations that the lack of knowledge counts as: all lengths up to the maximum are equally likely then. */
    constexpr double priorWeight = 6;
    /** Observations of a team that count as much as those of all teams together. */
    constexpr double teamPriorWeight = 20;
    /** Without a caller's estimate, fewer observed lengths are no evidence. */
    constexpr double minObservations = 8;
    /** Assumed error of the estimates, as the standard deviation of a logarithm, and the observations it counts as. */
    constexpr double priorErrorDeviation = 1;
    constexpr double priorErrorWeight = 4;
    /** Share of the estimates that are made up and say nothing. */
    constexpr double madeUpShare = 0.01;
    /** Lengths beyond this multiple of the longest observed one are not expected. */
    constexpr std::uint64_t longestFactor = 4;
    /** Lengths within a bin differ by this much even if all estimates were exact. */
    constexpr double minErrorVariance = 0.04;
    /** Number of estimates at which the weights of all of them are halved. */
    constexpr double errorDecayThreshold = 500;
    /** Greater lengths are made up, and sums with them could overflow. */
    constexpr std::uint64_t maxLength = 1'000'000'000'000;

    double logarithm(std::uint64_t tokens) { return std::log(static_cast<double>(std::max<std::uint64_t>(tokens, 1))); }

    /** @return bins up to the length. */
    std::size_t binsUpTo(std::uint64_t maximum)
    {
        std::size_t bins = 1;
        while (bins < LengthDistribution::binCount()
            && (maximum == 0 || LengthDistribution::lengthOf(bins) <= static_cast<double>(maximum)))
            ++bins;
        return bins;
    }

    /** @return the lengths at equal steps of the cumulated weights. */
    LikelyLengths quantilesOf(const std::vector<double>& weights, std::uint64_t maximum)
    {
        const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
        LikelyLengths lengths;
        double cumulative = 0;
        for (std::size_t bin = 0; bin < weights.size(); ++bin) {
            cumulative += weights[bin];
            const auto length = static_cast<std::uint64_t>(std::max(1.0, LengthDistribution::lengthOf(bin)));
            while (lengths.size() < forecastSize
                && (static_cast<double>(lengths.size()) + 0.5) * total <= cumulative * forecastSize)
                lengths.push_back(maximum == 0 ? length : std::min(length, maximum));
        }
        return lengths;
    }

}

std::uint64_t expectedLength(const LikelyLengths& lengths)
{
    return std::accumulate(lengths.begin(), lengths.end(), std::uint64_t(0)) / lengths.size();
}

std::uint64_t expectedRemainder(const LikelyLengths& lengths, std::uint64_t generated)
{
    const auto longer = std::upper_bound(lengths.begin(), lengths.end(), generated);
    // Nothing is known of lengths beyond all likely ones; assume half of what exists so far.
    if (longer == lengths.end())
        return generated / 2;
    const auto count = static_cast<std::uint64_t>(lengths.end() - longer);
    return std::accumulate(longer, lengths.end(), std::uint64_t(0)) / count - generated;
}

LikelyLengths OutputLengths::forecast(const OutputRequest& request) const
{
    const auto found = this->routes.find(request.route);
    const RouteLengths* known = found == this->routes.end() ? nullptr : &found->second;
    const bool isObserved = known && known->all.totalWeight() >= minObservations;
    if (request.estimate == 0 && !isObserved)
        return { std::min(request.maximum / 2, maxLength) };
    std::size_t bins = binsUpTo(request.maximum);
    if (isObserved)
        bins = std::min(bins, binsUpTo(known->longest * longestFactor));
    std::vector<double> weights(bins);
    std::fill(weights.begin(), weights.end(), priorWeight / static_cast<double>(weights.size()));
    double total = priorWeight;
    if (known) {
        for (std::size_t bin = 0; bin < weights.size(); ++bin)
            weights[bin] += known->all.weightOf(bin);
        total += known->all.totalWeight();
        const auto team = known->teams.find(request.team);
        for (std::size_t bin = 0; team != known->teams.end() && bin < weights.size(); ++bin)
            weights[bin] = weights[bin] / total * teamPriorWeight + team->second.weightOf(bin);
    }
    if (request.estimate == 0)
        return quantilesOf(weights, request.maximum);
    const EstimateError error = known ? known->error : EstimateError {};
    const double count = error.count + priorErrorWeight;
    const double bias = error.sum / count;
    const double meanSquare
        = (error.sumOfSquares + priorErrorWeight * priorErrorDeviation * priorErrorDeviation) / count;
    const double variance = std::max(minErrorVariance, meanSquare - bias * bias);
    const double estimate
        = std::min(logarithm(request.estimate) - bias, std::log(LengthDistribution::lengthOf(weights.size() - 1)));
    for (std::size_t bin = 0; bin < weights.size(); ++bin) {
        const double difference = estimate - std::log(LengthDistribution::lengthOf(bin));
        weights[bin] *= madeUpShare + std::exp(-difference * difference / (2 * variance));
    }
    return quantilesOf(weights, request.maximum);
}

OutputLengths::RouteLengths& OutputLengths::lengthsOf(const std::string& route)
{
    if (!this->routes.contains(route) && this->routes.size() >= maxRoutes) {
        this->routes.erase(std::min_element(this->routes.begin(), this->routes.end(),
            [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; }));
    }
    RouteLengths& lengths = this->routes[route];
    lengths.lastUse = ++this->uses;
    return lengths;
}

LengthDistribution& OutputLengths::teamLengths(RouteLengths& route, const TeamId& team)
{
    if (!route.teams.contains(team) && route.teams.size() >= maxTeamsPerRoute) {
        route.teams.erase(
            std::min_element(route.teams.begin(), route.teams.end(), [](const auto& left, const auto& right) {
                return left.second.totalWeight() < right.second.totalWeight();
            }));
    }
    return route.teams[team];
}

void OutputLengths::recordEnd(const OutputRequest& request, std::uint64_t tokens)
{
    RouteLengths& route = this->lengthsOf(request.route);
    route.all.observe(tokens);
    route.longest = std::max(route.longest, std::min(tokens, maxLength));
    teamLengths(route, request.team).observe(tokens);
    if (request.estimate == 0)
        return;
    const double ratio = logarithm(request.estimate) - logarithm(tokens);
    EstimateError& error = route.error;
    if (error.count >= errorDecayThreshold)
        error = { error.count / 2, error.sum / 2, error.sumOfSquares / 2 };
    error.count += 1;
    error.sum += ratio;
    error.sumOfSquares += ratio * ratio;
}

void OutputLengths::recordCut(const OutputRequest& request, std::uint64_t tokens)
{
    RouteLengths& route = this->lengthsOf(request.route);
    route.all.observeAtLeast(tokens);
    route.longest = std::max(route.longest, std::min(tokens, maxLength));
    teamLengths(route, request.team).observeAtLeast(tokens);
}

}
