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

/** A kind of request, such as a clause check or a draft. */
struct RequestKind {
    PriorityClass priority { PriorityClass::Standard };
    /** Share of the requests. */
    double share { 1 };
    OutputLengthMixture lengths;
    /** Maximum that the caller asks for; zero for none. */
    std::uint32_t maxTokens { 0 };
    /** Time from arrival to the caller's deadline. */
    Milliseconds budget { 60000 };
    /** Time between tokens above which a gap counts as stall. */
    Milliseconds betweenTokens { 50 };
    std::uint32_t promptBytes { 800 };
};

/** A team's part of the requests. */
struct TeamShare {
    TeamId team;
    double share { 1 };
};

/** What arrives, how often and from whom. */
struct WorkloadSettings {
    std::uint64_t seed { 1 };
    double requestsPerSecond { 1 };
    Duration length { Seconds(60) };
    /** Every so often the rate is multiplied for a time; zero for plain Poisson arrivals. */
    Duration burstEvery { 0 };
    Duration burstLength { Seconds(2) };
    double burstFactor { 4 };
    std::vector<RequestKind> kinds;
    std::vector<TeamShare> teams;
    /** Prompts of one team begin with one of this many texts, so that engines can reuse their prefix. */
    std::uint32_t sharedPrefixes { 4 };
    std::uint32_t sharedPrefixBytes { 512 };
    ModelId model { "drafter" };
};

/** One request of the workload. */
struct Arrival {
    /** Time from the start of the workload. */
    Duration at { 0 };
    TeamId team;
    std::uint32_t kind { 0 };
    std::string prompt;
    /** Tokens the answer will have; known to the emulated engine by the prompt, to nobody else. */
    std::uint32_t outputTokens { 0 };
};

/** Short interactive clause checks, summaries and long drafts. */
std::vector<RequestKind> defaultKinds();

/**
 * Makes answers shorter, so that short runs see whole drafts.
 * @param factor on the medians of the output lengths.
 * @param longest cap of the lengths in tokens; the caller's own maximum stays.
 */
void shortenLengths(std::vector<RequestKind>& kinds, double factor, std::uint32_t longest);

/** Ten teams, a few of them large. */
std::vector<TeamShare> defaultTeams();

/** @return all arrivals in order of time. Equal settings give equal arrivals. */
std::vector<Arrival> makeArrivals(const WorkloadSettings& settings);

}
