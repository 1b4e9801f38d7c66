#include "support/RouterHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Run::Yes };

/** Fails all that was submitted to an endpoint. */
void die(RouterHarness& harness, const std::string& endpoint)
{
    for (const auto& [target, submitted] : harness.toAgents<SubmitGeneration>())
        if (target == endpoint)
            harness.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
}

Fingerprint lastFingerprint(const RouterHarness& harness)
{
    return harness.toAgents<SubmitGeneration>().back().second.work.fingerprint;
}

}

TEST_CASE("a request that ran at two deaths is refused, also when it is sent again")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    for (const char* id : { "a-1", "a-2", "a-3" })
        harness.connect(id);
    harness.complete("crash");
    die(harness, harness.toAgents<SubmitGeneration>().back().first);
    REQUIRE(harness.toAgents<SubmitGeneration>().size() == 2);
    die(harness, harness.toAgents<SubmitGeneration>().back().first);
    CHECK(harness.toAgents<SubmitGeneration>().size() == 2);
    harness.clear();
    harness.complete("crash");
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    REQUIRE(harness.toCallers<CallerFailure>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().front().failure.code == ErrorCode::Quarantined);
    CHECK(harness.toCallers<CallerFailure>().front().failure.run == Run::No);
}

TEST_CASE("a request known to peers as crashing is refused at this entry too, until it is cleared")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("crash");
    const Fingerprint fingerprint = lastFingerprint(harness);
    harness.agent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    harness.clear();
    harness.complete("crash");
    CHECK(harness.toAgents<SubmitGeneration>().empty());
    harness.agent("a-1", QuarantineDelivery { { { fingerprint, 0, Milliseconds(0) } } });
    harness.complete("crash");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("suspects are kept apart, and one that completes is cleared")
{
    RouterHarness harness({ "a-1", "a-2", "a-3" });
    harness.connect("a-1");
    harness.complete("innocent");
    harness.complete("crash");
    harness.connect("a-2");
    harness.connect("a-3");
    die(harness, "a-1");
    const auto sent = harness.toAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 4);
    CHECK(sent[2].first != sent[3].first);
    harness.agent(sent[2].first, GenerationFinished { sent[2].second.generation, 0, FinishReason::Stop });
    CHECK(harness.toAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    die(harness, sent[3].first);
    harness.clear();
    harness.complete("innocent");
    harness.complete("crash");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
    CHECK(harness.toCallers<CallerFailure>().size() == 1);
}

TEST_CASE("a death that entry and agent both report counts once")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.complete("prompt");
    const std::string endpoint = harness.toAgents<SubmitGeneration>().back().first;
    harness.agent(endpoint, QuarantineDelivery { { { lastFingerprint(harness), 1, Seconds(60) } } });
    die(harness, endpoint);
    CHECK(harness.toAgents<SubmitGeneration>().size() == 2);
}

TEST_CASE("an operator sees the quarantined requests and releases one, here and at the agents")
{
    RouterHarness harness({ "a-1" });
    harness.connect("a-1");
    harness.complete("crash");
    const Fingerprint fingerprint = lastFingerprint(harness);
    harness.agent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    harness.clear();
    harness.send(QuerySuspects { AdminId(1) });
    const SuspectsTold told { AdminId(1), { { fingerprint, 2, Seconds(60), true } } };
    CHECK(harness.actions.back() == RouterAction(told));
    const OperatorAct act { OrderId("act"), ActKind::RequestReleased, "x", "an.operator", "mended", {}, false };
    harness.send(ReleaseSuspect { AdminId(2), fingerprint, act });
    CHECK(harness.actions.back() == RouterAction(SuspectReleased { AdminId(2), act, true }));
    CHECK(harness.toAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    harness.complete("crash");
    CHECK(harness.toAgents<SubmitGeneration>().size() == 1);
    harness.send(ReleaseSuspect { AdminId(3), Fingerprint(5), act });
    CHECK(harness.actions.back() == RouterAction(SuspectReleased { AdminId(3), act, false }));
}

TEST_CASE("an entry passes a release that it hears of on to its agents once")
{
    RouterHarness harness({ "a-1", "a-2" });
    harness.connect("a-1");
    harness.connect("a-2");
    harness.agent("a-1", QuarantineDelivery { { { Fingerprint(7), 2, Seconds(60) } } });
    harness.clear();
    const QuarantineDelivery release { { { Fingerprint(7), 0, Milliseconds(0) } } };
    harness.agent("a-1", release);
    CHECK(harness.toAgents<QuarantineDelivery>().size() == 2);
    harness.agent("a-2", release);
    CHECK(harness.toAgents<QuarantineDelivery>().size() == 2);
}
