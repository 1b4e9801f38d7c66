#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <memory>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

/** The entry takes tokens by count and not by index, so a resume from the start repeats them. */
Tampering ignoreResumeIndex()
{
    auto shift = std::make_shared<std::uint32_t>(0);
    Tampering changes;
    changes.toAgent = [shift](EntryMessage& message) {
        if (auto* resume = std::get_if<ResumeGeneration>(&message))
            *shift = std::exchange(resume->nextIndex, 0);
    };
    changes.toEntry = [shift](AgentMessage& message) {
        if (auto* tokens = std::get_if<GenerationTokens>(&message))
            tokens->firstIndex += *shift;
    };
    return changes;
}

/** A stream that starts over goes on as if nothing had happened. */
Tampering hideRestart()
{
    Tampering changes;
    changes.toCaller = [](CallerMessage& message) {
        if (const auto* restart = std::get_if<CallerRestart>(&message))
            message = CallerTokens { restart->token, 0, {} };
    };
    return changes;
}

/** A stream whose engine died ends as if it were whole. */
Tampering hideEngineLoss()
{
    auto next = std::make_shared<std::uint32_t>(0);
    Tampering changes;
    changes.toCaller = [next](CallerMessage& message) {
        if (const auto* tokens = std::get_if<CallerTokens>(&message))
            *next = tokens->firstIndex + static_cast<std::uint32_t>(tokens->texts.size());
        if (std::holds_alternative<CallerFailure>(message))
            message = CallerFinished { *next, FinishReason::Stop };
    };
    return changes;
}

/** The agent delivers late tokens of the first generation in the name of the second. */
Tampering mixGenerations()
{
    auto kept = std::make_shared<std::vector<std::string>>();
    Tampering changes;
    changes.toEntry = [kept](AgentMessage& message) {
        auto* tokens = std::get_if<GenerationTokens>(&message);
        if (tokens == nullptr || tokens->texts.empty())
            return;
        if (kept->size() <= tokens->firstIndex)
            kept->insert(kept->end(), tokens->texts.begin(), tokens->texts.end());
        else
            tokens->texts.front() = (*kept)[tokens->firstIndex];
    };
    return changes;
}

/** The engine's new life looks like the old one, and lost generations look like broken streams. */
Tampering hideIncarnation()
{
    Tampering changes;
    changes.fromEngine = [](EngineEvent& event) {
        if (auto* report = std::get_if<EngineReport>(&event))
            report->incarnation = 1;
        if (const auto* gone = std::get_if<EngineGenerationNotFound>(&event))
            event = EngineStreamLost { gone->generation };
    };
    return changes;
}

/** Each answer goes to the caller after its own. */
Tampering crossAnswers()
{
    auto earlier = std::make_shared<std::optional<CallerCompletion>>();
    Tampering changes;
    changes.toCaller = [earlier](CallerMessage& message) {
        auto* completion = std::get_if<CallerCompletion>(&message);
        if (completion == nullptr)
            return;
        const CallerCompletion own = *completion;
        *completion = earlier->value_or(own);
        *earlier = own;
    };
    return changes;
}

/** The last token of an answer is lost. */
Tampering shortenAnswers()
{
    Tampering changes;
    changes.toCaller = [](CallerMessage& message) {
        auto* completion = std::get_if<CallerCompletion>(&message);
        if (completion == nullptr)
            return;
        completion->tokenCount -= 1;
        completion->text.erase(completion->text.rfind('['));
    };
    return changes;
}

/** Nobody passes on which requests crash engines. */
Tampering keepSuspectsSecret()
{
    Tampering changes;
    changes.toAgent = [](EntryMessage& message) {
        if (auto* delivery = std::get_if<QuarantineDelivery>(&message))
            delivery->suspects.clear();
    };
    return changes;
}

struct Mutation {
    const char* name;
    const char* story;
    Tampering (*changes)();
    /** The promise that breaks, or a caller whose expectation does. */
    const char* caught;
};

const Mutation mutations[] = {
    { "the resume index is ignored", "link-silent-in-mid-stream", ignoreResumeIndex, "each token once" },
    { "a restart is not told", "engine-dies-stream-restarts", hideRestart, "each token once" },
    { "a lost engine is not told", "engine-dies-stream-ends-with-error", hideEngineLoss, "the whole answer" },
    { "two generations are mixed", "engine-dies-whole-answer-again", mixGenerations, "each token once" },
    { "an incarnation is hidden", "engine-restarts-unseen", hideIncarnation, "a cold endpoint" },
    { "answers are crossed", "two-requests-with-equal-bodies", crossAnswers, "the whole answer" },
    { "answers are cut short", "answers-late-and-crossed", shortenAnswers, "the whole answer" },
    { "suspects are kept secret", "request-that-crashes-engines", keepSuspectsSecret, "bad2" },
};

/** A planned stop that ends the process at once. */
struct AbruptStop {
    const char* story;
    const char* process;
    const char* caught;
};

const AbruptStop abruptStops[] = {
    { "planned-stop-of-an-entry", "x", "c1" },
    { "planned-stop-of-an-agent", "e1", "c1" },
    { "planned-stop-while-the-store-is-down", "x", "c2" },
};

std::string faultsOf(const Story& story, const Tampering& changes)
{
    const Transcript transcript = play(story, changes);
    std::string all;
    for (const auto& breach : findBreaches(transcript))
        all += breach.promise + "\n";
    for (const auto& fault : unmet(story, transcript))
        all += fault + "\n";
    return all;
}

Line said(int second, const char* from, const char* to, const char* what)
{
    return { Seconds(second), from, to, what, {} };
}

}

TEST_CASE("a mechanism that is missing is found")
{
    for (const auto& mutation : mutations) {
        CAPTURE(mutation.name);
        const Story story = readStory(readGoldenFile(std::string(mutation.story) + ".story"));
        CHECK(faultsOf(story, {}) == "");
        const std::string faults = faultsOf(story, mutation.changes());
        CHECK_MESSAGE(faults.find(mutation.caught) != std::string::npos, "found only: " << faults);
    }
}

TEST_CASE("a planned stop that cuts off requests is found")
{
    for (const auto& stop : abruptStops) {
        CAPTURE(stop.story);
        Story story = readStory(readGoldenFile(std::string(stop.story) + ".story"));
        for (auto& step : story.steps) {
            if (step.words[0] == "stop" && step.words[1] == stop.process)
                step.words[0] = "kill";
        }
        const std::string faults = faultsOf(story, {});
        CHECK_MESSAGE(faults.find(stop.caught) != std::string::npos, "found only: " << faults);
    }
}

TEST_CASE("a process that says it is drained too early is found")
{
    Transcript transcript;
    transcript.add(said(0, "fault", "x", "start"));
    transcript.add(said(1, "c1", "x", "asks"));
    transcript.add(said(2, "x", "", "drained"));
    REQUIRE(findBreaches(transcript).size() == 1);
    CHECK(findBreaches(transcript)[0].promise == "a planned stop cuts off no request in progress");
}
