#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

std::vector<std::filesystem::path> findStories()
{
    std::vector<std::filesystem::path> found;
    for (const auto& entry : std::filesystem::directory_iterator(goldenFolder())) {
        if (entry.path().extension() == ".story")
            found.push_back(entry.path());
    }
    std::sort(found.begin(), found.end());
    return found;
}

/** @return the number and both versions of the first line in which two texts differ; empty if they are equal. */
std::string firstDifference(const std::string& expected, const std::string& actual)
{
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    for (unsigned number = 1;; ++number) {
        std::string expectedLine;
        std::string actualLine;
        const bool hasExpected = static_cast<bool>(std::getline(expectedLines, expectedLine));
        const bool hasActual = static_cast<bool>(std::getline(actualLines, actualLine));
        if (hasExpected != hasActual || expectedLine != actualLine)
            return "line " + std::to_string(number) + "\nexpected: " + expectedLine + "\nactual:   " + actualLine;
        if (!hasExpected)
            return {};
    }
}

void checkStory(const std::filesystem::path& path)
{
    const Story story = parseStory(readFile(path));
    const Transcript transcript = runStory(story);
    for (const auto& violation : findViolations(transcript))
        FAIL_CHECK(violation.invariant << "\n" << violation.line);
    for (const auto& unmet : findUnmetExpectations(story, transcript))
        FAIL_CHECK(unmet);
    std::filesystem::path golden = path;
    golden.replace_extension(".golden");
    if (std::getenv("TEASELFOLD_UPDATE_GOLDEN"))
        std::ofstream(golden) << transcript.text(story.recordedFrom);
    const std::string difference = firstDifference(readFile(golden), transcript.text(story.recordedFrom));
    CHECK_MESSAGE(difference.empty(), golden.filename().string() << " differs first in " << difference);
}

}

TEST_CASE("golden sessions violate no invariant and keep their transcripts")
{
    for (const auto& path : findStories()) {
        SUBCASE(path.stem().c_str()) { checkStory(path); }
    }
}
