#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <memory>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

/** The entry takes tokens by count and not by index, so a resume from the start repeats them. */
MessageInterceptors ignoreResumeIndex()
{
    auto shift = std::make_shared<std::uint32_t>(0);
    MessageInterceptors interceptors;
    interceptors.toAgent = [shift](EntryMessage& message) {
        if (auto* resume = std::get_if<ResumeGeneration>(&message))
            *shift = std::exchange(resume->nextIndex, 0);
    };
    interceptors.toEntry = [shift](AgentMessage& message) {
        if (auto* tokens = std::get_if<GenerationTokens>(&message))
            tokens->firstIndex += *shift;
    };
    return interceptors;
}

/** A stream that starts over goes on as if nothing had happened. */
MessageInterceptors hideRestart()
{
    MessageInterceptors interceptors;
    interceptors.toCaller = [](CallerMessage& message) {
        if (const auto* restart = std::get_if<CallerRestart>(&message))
            message = CallerTokens { restart->token, 0, {} };
    };
    return interceptors;
}

/** A stream whose engine died ends as if it were whole. */
MessageInterceptors hideEngineLoss()
{
    auto next = std::make_shared<std::uint32_t>(0);
    MessageInterceptors interceptors;
    interceptors.toCaller = [next](CallerMessage& message) {
        if (const auto* tokens = std::get_if<CallerTokens>(&message))
            *next = tokens->firstIndex + static_cast<std::uint32_t>(tokens->texts.size());
        if (std::holds_alternative<CallerFailure>(message))
            message = CallerFinished { *next, FinishReason::Stop };
    };
    return interceptors;
}

/** The agent delivers late tokens of the first generation in the name of the second. */
MessageInterceptors mixTokensOfGenerations()
{
    auto kept = std::make_shared<std::vector<std::string>>();
    MessageInterceptors interceptors;
    interceptors.toEntry = [kept](AgentMessage& message) {
        auto* tokens = std::get_if<GenerationTokens>(&message);
        if (tokens == nullptr || tokens->texts.empty())
            return;
        if (kept->size() <= tokens->firstIndex)
            kept->insert(kept->end(), tokens->texts.begin(), tokens->texts.end());
        else
            tokens->texts.front() = (*kept)[tokens->firstIndex];
    };
    return interceptors;
}

/** The engine's new life looks like the old one, and lost generations look like broken streams. */
MessageInterceptors hideIncarnation()
{
    MessageInterceptors interceptors;
    interceptors.fromEngine = [](EngineEvent& event) {
        if (auto* report = std::get_if<EngineReport>(&event))
            report->incarnation = 1;
        if (const auto* gone = std::get_if<EngineGenerationGone>(&event))
            event = EngineStreamLost { gone->generation };
    };
    return interceptors;
}

/** Each answer goes to the caller after its own. */
MessageInterceptors swapAnswers()
{
    auto earlier = std::make_shared<std::optional<CallerCompletion>>();
    MessageInterceptors interceptors;
    interceptors.toCaller = [earlier](CallerMessage& message) {
        auto* completion = std::get_if<CallerCompletion>(&message);
        if (completion == nullptr)
            return;
        const CallerCompletion own = *completion;
        *completion = earlier->value_or(own);
        *earlier = own;
    };
    return interceptors;
}

/** The last token of an answer is lost. */
MessageInterceptors truncateAnswers()
{
    MessageInterceptors interceptors;
    interceptors.toCaller = [](CallerMessage& message) {
        auto* completion = std::get_if<CallerCompletion>(&message);
        if (completion == nullptr)
            return;
        completion->tokenCount -= 1;
        completion->text.erase(completion->text.rfind('['));
    };
    return interceptors;
}

/** Nobody passes on which requests crash engines. */
MessageInterceptors dropSuspects()
{
    MessageInterceptors interceptors;
    interceptors.toAgent = [](EntryMessage& message) {
        if (auto* delivery = std::get_if<QuarantineDelivery>(&message))
            delivery->suspects.clear();
    };
    return interceptors;
}

struct Mutation {
    const char* name;
    const char* story;
    MessageInterceptors (*makeInterceptors)();
    /** The promise that breaks, or a caller whose expectation does. */
    const char* caught;
};

const Mutation mutations[] = {
    { "the resume index is ignored", "link-silent-in-mid-stream", ignoreResumeIndex, "each token once" },
    { "a restart is not told", "engine-dies-stream-restarts", hideRestart, "each token once" },
    { "a lost engine is not told", "engine-dies-stream-ends-with-error", hideEngineLoss, "the whole answer" },
    { "two generations are mixed", "engine-dies-whole-answer-again", mixTokensOfGenerations, "each token once" },
    { "an incarnation is hidden", "engine-restarts-unseen", hideIncarnation, "a cold endpoint" },
    { "answers are crossed", "two-requests-with-equal-bodies", swapAnswers, "the whole answer" },
    { "answers are cut short", "answers-late-and-crossed", truncateAnswers, "the whole answer" },
    { "suspects are kept secret", "request-that-crashes-engines", dropSuspects, "bad2" },
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

std::string findFaults(const Story& story, const MessageInterceptors& interceptors)
{
    const Transcript transcript = runStory(story, interceptors);
    std::string all;
    for (const auto& violation : findViolations(transcript))
        all += violation.invariant + "\n";
    for (const auto& fault : findUnmetExpectations(story, transcript))
        all += fault + "\n";
    return all;
}

TranscriptLine makeLine(int second, const char* from, const char* to, const char* event)
{
    return { Seconds(second), from, to, event, {} };
}

}

TEST_CASE("a mechanism that is missing is found")
{
    for (const auto& mutation : mutations) {
        CAPTURE(mutation.name);
        const Story story = parseStory(readGoldenFile(std::string(mutation.story) + ".story"));
        CHECK(findFaults(story, {}) == "");
        const std::string faults = findFaults(story, mutation.makeInterceptors());
        CHECK_MESSAGE(faults.find(mutation.caught) != std::string::npos, "found only: " << faults);
    }
}

TEST_CASE("a planned stop that cuts off requests is found")
{
    for (const auto& stop : abruptStops) {
        CAPTURE(stop.story);
        Story story = parseStory(readGoldenFile(std::string(stop.story) + ".story"));
        for (auto& step : story.steps) {
            if (step.words[0] == "stop" && step.words[1] == stop.process)
                step.words[0] = "kill";
        }
        const std::string faults = findFaults(story, {});
        CHECK_MESSAGE(faults.find(stop.caught) != std::string::npos, "found only: " << faults);
    }
}

TEST_CASE("a process that says it is drained too early is found")
{
    Transcript transcript;
    transcript.add(makeLine(0, "fault", "x", "start"));
    transcript.add(makeLine(1, "c1", "x", "asks"));
    transcript.add(makeLine(2, "x", "", "drained"));
    REQUIRE(findViolations(transcript).size() == 1);
    CHECK(findViolations(transcript)[0].invariant == "a planned stop cuts off no request in progress");
}
