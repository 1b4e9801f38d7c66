#pragma once

#include "support/SimulatedFleet.h"

#include <string>
#include <vector>

namespace teaselfold::testing {

/** One step of a story: a command with its arguments, executed at a time. */
struct Step {
    Milliseconds at { 0 };
    std::vector<std::string> words;
};

/**
 * A scripted session: the processes, timed steps and the outcomes expected at the end. The text format is:
 *
 *     # A comment.
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
    /** Start of the part of the transcript that is kept in the golden file; earlier lines are only checked. */
    Milliseconds recordedFrom { 0 };
    Milliseconds end { 0 };
    std::vector<std::vector<std::string>> expectations;
};

/** @return the story read from its text format. Unknown commands fail the test when the story runs. */
Story parseStory(const std::string& text);

/**
 * Runs a story with its seed.
 * @param interceptors changes to messages in transit.
 * @return the transcript of the session.
 */
Transcript runStory(const Story& story, const MessageInterceptors& interceptors = {});

/** @return the story in the text format that `parseStory` reads. */
std::string formatStory(const Story& story);

/** @return a description of each expectation of the story that the transcript does not meet. */
std::vector<std::string> findUnmetExpectations(const Story& story, const Transcript& transcript);

}
