#include "support/GoldenFiles.h"
#include "support/Invariants.h"
#include "support/Story.h"

#include <doctest/doctest.h>

#include <memory>

using namespace teaselfold;
using namespace teaselfold::testing;

namespace {

/** Acts as an entry that counts tokens and ignores their indices: a resume from index 0 repeats the first tokens. */
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

/** Hides the restart of a stream from its caller. */
MessageInterceptors hideRestart()
{
    MessageInterceptors interceptors;
    interceptors.toCaller = [](CallerMessage& message) {
        if (const auto* restart = std::get_if<CallerRestart>(&message))
            message = CallerTokens { restart->token, 0, {} };
    };
    return interceptors;
}

/** Ends a stream whose engine failed as if it were complete. */
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

/** Delivers tokens of the first generation under the id of the second. */
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

/** Hides the new incarnation of a restarted engine and reports its lost generations as broken streams. */
MessageInterceptors hideIncarnation()
{
    MessageInterceptors interceptors;
    interceptors.fromEngine = [](EngineEvent& event) {
        if (auto* report = std::get_if<EngineReport>(&event))
            report->incarnation = 1;
        if (const auto* gone = std::get_if<EngineGenerationNotFound>(&event))
            event = EngineStreamLost { gone->generation };
    };
    return interceptors;
}

/** Gives each caller the answer to the previous request. */
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

/** Drops the last token of an answer. */
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

/** Removes the suspect requests from the quarantine messages to agents. */
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
    /** Text that must be reported: part of a violated invariant, or the caller of an unmet expectation. */
    const char* expectedReport;
};

const Mutation mutations[] = {
    { "the resume index is ignored", "link-silent-in-mid-stream", ignoreResumeIndex, "each token once" },
    { "a restart is hidden from the caller", "engine-dies-stream-restarts", hideRestart, "each token once" },
    { "the loss of an engine is hidden from the caller", "engine-dies-stream-ends-with-error", hideEngineLoss,
        "the complete answer" },
    { "tokens of two generations are mixed", "engine-dies-whole-answer-again", mixTokensOfGenerations,
        "each token once" },
    { "the new incarnation of an engine is hidden", "engine-restarts-between-load-reports", hideIncarnation,
        "a cold endpoint" },
    { "answers go to the wrong caller", "two-requests-with-equal-bodies", swapAnswers, "the complete answer" },
    { "answers are truncated", "answers-late-and-crossed", truncateAnswers, "the complete answer" },
    { "suspect requests are not passed on to agents", "request-that-crashes-engines", dropSuspects, "bad2" },
};

/** A story whose planned stop is replaced by a kill, and the caller whose expectation must fail. */
struct AbruptStop {
    const char* story;
    const char* process;
    const char* expectedReport;
};

const AbruptStop abruptStops[] = {
    { "planned-stop-of-an-entry", "x", "c1" },
    { "planned-stop-of-an-agent", "e1", "c1" },
    { "planned-stop-while-the-store-is-down", "x", "c2" },
};

std::string findProblems(const Story& story, const MessageInterceptors& interceptors)
{
    const Transcript transcript = runStory(story, interceptors);
    std::string all;
    for (const auto& violation : findViolations(transcript))
        all += violation.invariant + "\n";
    for (const auto& unmet : findUnmetExpectations(story, transcript))
        all += unmet + "\n";
    return all;
}

TranscriptLine makeLine(int second, const char* from, const char* to, const char* event)
{
    return { Seconds(second), from, to, event, {} };
}

}

TEST_CASE("the checks detect each disabled mechanism of streams, answers and quarantine")
{
    for (const auto& mutation : mutations) {
        CAPTURE(mutation.name);
        const Story story = parseStory(readGoldenFile(std::string(mutation.story) + ".story"));
        CHECK(findProblems(story, {}) == "");
        const std::string problems = findProblems(story, mutation.makeInterceptors());
        CHECK_MESSAGE(problems.find(mutation.expectedReport) != std::string::npos, "found only: " << problems);
    }
}

TEST_CASE("the checks detect a planned stop that cuts off requests")
{
    for (const auto& stop : abruptStops) {
        CAPTURE(stop.story);
        Story story = parseStory(readGoldenFile(std::string(stop.story) + ".story"));
        for (auto& step : story.steps) {
            if (step.words[0] == "stop" && step.words[1] == stop.process)
                step.words[0] = "kill";
        }
        const std::string problems = findProblems(story, {});
        CHECK_MESSAGE(problems.find(stop.expectedReport) != std::string::npos, "found only: " << problems);
    }
}

TEST_CASE("the checks detect a process that reports drained with a request in progress")
{
    Transcript transcript;
    transcript.add(makeLine(0, "fault", "x", "start"));
    transcript.add(makeLine(1, "c1", "x", "asks"));
    transcript.add(makeLine(2, "x", "", "drained"));
    REQUIRE(findViolations(transcript).size() == 1);
    CHECK(findViolations(transcript)[0].invariant == "a process is drained only when it has no request in progress");
}
