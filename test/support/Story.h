#pragma once

#include "support/SimulatedFleet.h"

#include <string>
#include <vector>

namespace teaselfold::testing {

/** One step of a story: at a time, somebody does something. */
struct Step {
    Milliseconds at { 0 };
    std::vector<std::string> words;
};

/**
 * A session as text: processes, steps with their times, and what is expected at the end.
 *
 *     # What the story is about.
 *     seed 7
 *     start x y e1 e2
 *     1000ms c1 asks x "len=8" stream
 *     1050ms silence x e1
 *     2000ms warm asks x "len=4" times=5 every=200ms
 *     shown-from 900ms
 *     end 20s
 *     expect c1 whole 8
 */
struct Story {
    std::vector<Step> steps;
    std::uint64_t seed { 1 };
    /** The golden file begins here; what comes before is only checked. */
    Milliseconds recordedFrom { 0 };
    Milliseconds end { 0 };
    std::vector<std::vector<std::string>> expectations;
};

/** @return the story; a line it cannot read stops the test with a message. */
Story parseStory(const std::string& text);

/** Plays a story with its seed, with messages changed on their way if wanted. @return what happened. */
Transcript runStory(const Story& story, const MessageInterceptors& interceptors = {});

/** @return the story in the text format, to be kept and played again. */
std::string formatStory(const Story& story);

/** @return what the transcript lacks of the story's expectations, one text each. */
std::vector<std::string> findUnmetExpectations(const Story& story, const Transcript& transcript);

}
