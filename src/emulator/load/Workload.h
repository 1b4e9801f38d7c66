#pragma once

#include "emulator/OutputLengthMixture.h"
#include "emulator/SeededRandomness.h"
#include "ports/Fleet.h"
#include "ports/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselfold {

/** Properties of a kind of request, such as a clause check or a draft. */
struct RequestKind {
    PriorityClass priority { PriorityClass::Standard };
    /** Weight of this kind among all requests. */
    double share { 1 };
    OutputLengthMixture lengths;
    /** Value of `max_tokens` in the request; zero to omit it. */
    std::uint32_t maxTokens { 0 };
    /** Time from arrival to the deadline. */
    Milliseconds budget { 60000 };
    /** Target for the time between tokens; the excess of longer gaps counts as stall. */
    Milliseconds betweenTokens { 50 };
    std::uint32_t promptBytes { 800 };
};

/** A team and its weight among all requests. */
struct TeamShare {
    TeamId team;
    double share { 1 };
};

/** Settings from which the arrivals of a workload are generated. */
struct WorkloadSettings {
    std::uint64_t seed { 1 };
    double requestsPerSecond { 1 };
    Duration length { Seconds(60) };
    /** Time between the starts of bursts, which multiply the rate by `burstFactor` for `burstLength`; zero for none. */
    Duration burstInterval { 0 };
    Duration burstLength { Seconds(2) };
    double burstFactor { 4 };
    std::vector<RequestKind> kinds;
    std::vector<TeamShare> teams;
    /** Number of prompt prefixes of each team. Prompts with the same prefix let engines reuse cached state. */
    std::uint32_t sharedPrefixes { 4 };
    std::uint32_t sharedPrefixBytes { 512 };
    ModelId model { "drafter" };
};

/** One request of the workload. */
struct Arrival {
    /** Time from the start of the workload. */
    Duration at { 0 };
    TeamId team;
    /** Index into WorkloadSettings::kinds. */
    std::uint32_t kind { 0 };
    std::string prompt;
    /** True length of the answer. The prompt encodes it for the emulated engine; admission does not use it. */
    std::uint32_t outputTokens { 0 };
};

/** @return interactive clause checks, which are short, standard summaries and long batch drafts. */
std::vector<RequestKind> defaultKinds();

/**
 * Shortens answers, so that long drafts complete within a short run.
 * @param factor multiplier for the medians of the output lengths.
 * @param maxLengthTokens upper limit of the output lengths in tokens; RequestKind::maxTokens does not change.
 */
void shortenLengths(std::vector<RequestKind>& kinds, double factor, std::uint32_t maxLengthTokens);

/** @return three large and seven small teams. */
std::vector<TeamShare> defaultTeams();

/** @return all arrivals, ordered by time; equal settings give equal arrivals. */
std::vector<Arrival> makeArrivals(const WorkloadSettings& settings);

}
