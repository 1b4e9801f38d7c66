#pragma once

#include "core/common/LengthDistribution.h"
#include "ports/GatewayMessages.h"

#include <map>
#include <string>
#include <vector>

namespace teaselfold {

/** Equally likely lengths of one output, in tokens and ascending order. Not empty. */
using LikelyLengths = std::vector<std::uint64_t>;

/** @return the mean of the lengths. */
std::uint64_t expectedLength(const LikelyLengths& lengths);
/** @return the tokens that are expected to follow those that exist already. */
std::uint64_t expectedRemainder(const LikelyLengths& lengths, std::uint64_t generated);

/** A stream as far as its output length depends on it. */
struct OutputRequest {
    std::string route;
    TeamId team;
    /** The caller's estimate; zero when there is none. */
    std::uint64_t estimate { 0 };
    /** The longest output that the caller allows; zero when there is no limit. */
    std::uint64_t maximum { 0 };
};

/**
 * Learns how long the outputs of each route are, how far those of a team differ, and how accurate the callers'
 * estimates are. A forecast weighs a caller's estimate against the learned lengths by that accuracy, following Bayes'
 * rule. The state is bounded: routes that have not been used for the longest time are forgotten.
 */
class OutputLengths {
public:
    /** @return what is known of the length before the stream starts. */
    LikelyLengths forecast(const OutputRequest& request) const;
    /** Records the output of a stream that has ended. */
    void recordEnd(const OutputRequest& request, std::uint64_t tokens);
    /** Records the output of a stream that was cut off. */
    void recordCut(const OutputRequest& request, std::uint64_t tokens);

private:
    /** How much longer the estimates of a route are than its outputs. Ratios are compared as logarithms. */
    struct EstimateError {
        double count { 0 };
        double sum { 0 };
        double sumOfSquares { 0 };
    };
    struct RouteLengths {
        LengthDistribution all;
        std::map<TeamId, LengthDistribution> teams;
        EstimateError error;
        /** The longest output so far. */
        std::uint64_t longest { 0 };
        std::uint64_t lastUse { 0 };
    };

    RouteLengths& lengthsOf(const std::string& route);
    static LengthDistribution& teamLengths(RouteLengths& route, const TeamId& team);

    std::map<std::string, RouteLengths> routes;
    std::uint64_t uses { 0 };
};

}
