#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Executed::Yes };

/** Fails all generations submitted to an endpoint. */
void failGenerationsAt(RouterHarness& harness, const std::string& endpoint)
{
    for (const auto& [target, submitted] : harness.sentToAgents<SubmitGeneration>())
        if (target == endpoint)
            harness.deliverFromAgent(endpoint, GenerationFailed { submitted.generation, engineDied });
}

Fingerprint lastFingerprint(const RouterHarness& harness)
{
    return harness.sentToAgents<SubmitGeneration>().back().second.work.fingerprint;
}

}

TEST_CASE("a request that was running at two endpoint deaths is refused, including when its caller repeats it")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    for (const char* id : { "a-1", "a-2", "a-3" })
        harness.connect(id);
    harness.requestCompletion("crash");
    failGenerationsAt(harness, harness.sentToAgents<SubmitGeneration>().back().first);
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 2);
    failGenerationsAt(harness, harness.sentToAgents<SubmitGeneration>().back().first);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 2);
    harness.clear();
    harness.requestCompletion("crash");
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    REQUIRE(harness.sentToCallers<CallerFailure>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.code == ErrorCode::Quarantined);
    CHECK(harness.sentToCallers<CallerFailure>().front().failure.run == Executed::No);
}

TEST_CASE("a request that a peer reports as quarantined is refused until it is cleared")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("crash");
    const Fingerprint fingerprint = lastFingerprint(harness);
    harness.deliverFromAgent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    harness.clear();
    harness.requestCompletion("crash");
    CHECK(harness.sentToAgents<SubmitGeneration>().empty());
    harness.deliverFromAgent("a-1", QuarantineDelivery { { { fingerprint, 0, Milliseconds(0) } } });
    harness.requestCompletion("crash");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("suspects are dispatched to different endpoints, and one that completes is cleared")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    harness.connect("a-1");
    harness.requestCompletion("innocent");
    harness.requestCompletion("crash");
    harness.connect("a-2");
    harness.connect("a-3");
    failGenerationsAt(harness, "a-1");
    const auto sent = harness.sentToAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 4);
    CHECK(sent[2].first != sent[3].first);
    harness.deliverFromAgent(sent[2].first, GenerationFinished { sent[2].second.generation, 0, FinishReason::Stop });
    CHECK(harness.sentToAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    failGenerationsAt(harness, sent[3].first);
    harness.clear();
    harness.requestCompletion("innocent");
    harness.requestCompletion("crash");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.sentToCallers<CallerFailure>().size() == 1);
}

TEST_CASE("a death reported by both the entry and the agent counts once")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.requestCompletion("prompt");
    const std::string endpoint = harness.sentToAgents<SubmitGeneration>().back().first;
    harness.deliverFromAgent(endpoint, QuarantineDelivery { { { lastFingerprint(harness), 1, Seconds(60) } } });
    failGenerationsAt(harness, endpoint);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 2);
}

TEST_CASE("an operator lists the quarantined requests and releases one, at this entry and at the agents")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.requestCompletion("crash");
    const Fingerprint fingerprint = lastFingerprint(harness);
    harness.deliverFromAgent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    harness.clear();
    harness.send(QuerySuspects { AdminRequestId(1) });
    const SuspectsListed answer { AdminRequestId(1), { { fingerprint, 2, Seconds(60), true } } };
    CHECK(harness.actions.back() == RouterAction(answer));
    const AuditRecord act { OrderId("act"), AuditedAction::RequestReleased, "x", "an.operator", "mended", {}, false };
    harness.send(ReleaseSuspect { AdminRequestId(2), fingerprint, act });
    CHECK(harness.actions.back() == RouterAction(SuspectReleased { AdminRequestId(2), act, true }));
    CHECK(harness.sentToAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    harness.requestCompletion("crash");
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
    harness.send(ReleaseSuspect { AdminRequestId(3), Fingerprint(5), act });
    CHECK(harness.actions.back() == RouterAction(SuspectReleased { AdminRequestId(3), act, false }));
}

TEST_CASE("an entry forwards a release received from an agent to its agents once")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.deliverFromAgent("a-1", QuarantineDelivery { { { Fingerprint(7), 2, Seconds(60) } } });
    harness.clear();
    const QuarantineDelivery release { { { Fingerprint(7), 0, Milliseconds(0) } } };
    harness.deliverFromAgent("a-1", release);
    CHECK(harness.sentToAgents<QuarantineDelivery>().size() == 2);
    harness.deliverFromAgent("a-2", release);
    CHECK(harness.sentToAgents<QuarantineDelivery>().size() == 2);
}

TEST_CASE("deaths that different entries saw one after the other add up")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    for (const char* id : { "a-1", "a-2", "a-3" })
        harness.connect(id);
    harness.requestCompletion("crash");
    const std::string endpoint = harness.sentToAgents<SubmitGeneration>().back().first;
    const std::string relay = endpoint == "a-1" ? "a-2" : "a-1";
    harness.deliverFromAgent(relay, QuarantineDelivery { { { lastFingerprint(harness), 1, Seconds(60) } } });
    failGenerationsAt(harness, endpoint);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.sentToAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 2);
}

TEST_CASE("deaths that different entries saw at the same time add up at the next one")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    for (const char* id : { "a-1", "a-2", "a-3" })
        harness.connect(id);
    harness.requestCompletion("crash");
    const auto first = harness.sentToAgents<SubmitGeneration>().back();
    failGenerationsAt(harness, first.first);
    harness.deliverFromAgent(first.first, QuarantineDelivery { { { lastFingerprint(harness), 1, Seconds(60) } } });
    REQUIRE(harness.sentToAgents<SubmitGeneration>().size() == 2);
    failGenerationsAt(harness, harness.sentToAgents<SubmitGeneration>().back().first);
    CHECK(harness.sentToAgents<SubmitGeneration>().size() == 2);
}
