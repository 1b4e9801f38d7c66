#pragma once

#include "support/Session.h"

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
 *     start x y e1 e2
 *     1000ms c1 asks x "len=8" stream
 *     1050ms silence x e1
 *     end 20s
 *     expect c1 whole 8
 */
struct Story {
    std::vector<Step> steps;
    Milliseconds end { 0 };
    std::vector<std::vector<std::string>> expectations;
};

/** @return the story; a line it cannot read stops the test with a message. */
Story readStory(const std::string& text);

/** Plays a story, with messages changed on their way if wanted. @return what happened. */
Transcript play(const Story& story, std::uint64_t seed, const Tampering& tampering = {});

/** @return what the transcript lacks of the story's expectations, one text each. */
std::vector<std::string> unmet(const Story& story, const Transcript& transcript);

}
