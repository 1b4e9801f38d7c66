#pragma once

#include "ports/PeerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold {

/** Probabilities with which a sound version may be judged bad by chance. */
struct RolloutConfidence {
    /** Of that many bad answers at all endpoints together. */
    double overall { 1e-3 };
    /** Of that many bad answers without the endpoint that has most: a single endpoint may be in trouble by itself. */
    double withoutWorst { 2e-2 };
};

/** What speaks against a version. */
struct RolloutFault {
    /** "failed" or "slow". */
    std::string kind;
    /** True if the answers of one route show it, and not only those of all routes together. */
    bool isOneRoute { false };
    std::uint32_t answered { 0 };
    std::uint32_t bad { 0 };
    /** Part of the previous versions' answers that is bad, with the uncertainty of few answers. */
    double usualRate { 0 };
};

/**
 * Judges a new version by its answers against those of the previous versions to the same routes at the same time, so
 * that trouble that both meet counts for neither.
 */
class RolloutJudge {
public:
    /** @param targetEndpoints number of endpoints that have the new version. */
    RolloutJudge(const std::vector<RolloutCounts>& counts, std::size_t targetEndpoints);

    /** @return what shows that the version is bad; unset if nothing does. */
    std::optional<RolloutFault> fault(const RolloutConfidence& confidence) const;
    /** @return hashes of the new version's endpoints whose answers are bad. */
    std::set<std::uint32_t> suspects() const;
    /** @return true if there are enough answers of the new version, and of each route that many requests take. */
    bool hasEnoughAnswers(double minAnswers) const;

private:
    struct Kind;
    /** Answers of some routes; `expected` is the number of bad ones among as many answers of the previous versions. */
    struct Tally {
        std::uint32_t answered { 0 };
        std::uint32_t bad { 0 };
        double expected { 0 };
    };

    static const std::vector<Kind>& kinds();
    double usualRate(const Kind& kind, std::uint32_t route) const;
    /** @return the answers of each of the new version's endpoints. @param route unset for all routes. */
    std::map<std::uint32_t, Tally> talliesOf(const Kind& kind, std::optional<std::uint32_t> route) const;
    bool isBad(const std::map<std::uint32_t, Tally>& tallies, const RolloutConfidence& confidence) const;

    /** By route. */
    std::map<std::uint32_t, RolloutCounts> previous;
    std::vector<RolloutCounts> target;
    std::size_t targetEndpoints;
};

}
