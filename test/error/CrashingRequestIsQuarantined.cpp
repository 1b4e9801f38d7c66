#include "support/RouterBench.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const Failure engineDied { ErrorCode::EngineFailed, "engine died", Executed::Yes };

/** Fails all that was submitted to an endpoint. */
void die(RouterBench& bench, const std::string& endpoint)
{
    for (const auto& [target, submitted] : bench.toAgents<SubmitGeneration>())
        if (target == endpoint)
            bench.agent(endpoint, GenerationFailed { submitted.generation, engineDied });
}

Fingerprint lastFingerprint(const RouterBench& bench)
{
    return bench.toAgents<SubmitGeneration>().back().second.work.fingerprint;
}

}

TEST_CASE("a request that ran at two deaths is refused, also when it is sent again")
{
    RouterBench bench({ "a-1", "a-2", "a-3" });
    for (const char* id : { "a-1", "a-2", "a-3" })
        bench.connect(id);
    bench.complete("crash");
    die(bench, bench.toAgents<SubmitGeneration>().back().first);
    REQUIRE(bench.toAgents<SubmitGeneration>().size() == 2);
    die(bench, bench.toAgents<SubmitGeneration>().back().first);
    CHECK(bench.toAgents<SubmitGeneration>().size() == 2);
    bench.clear();
    bench.complete("crash");
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    REQUIRE(bench.toCallers<CallerFailure>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().front().failure.code == ErrorCode::Quarantined);
    CHECK(bench.toCallers<CallerFailure>().front().failure.run == Executed::No);
}

TEST_CASE("a request known to peers as crashing is refused at this entry too, until it is cleared")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("crash");
    const Fingerprint fingerprint = lastFingerprint(bench);
    bench.agent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    bench.clear();
    bench.complete("crash");
    CHECK(bench.toAgents<SubmitGeneration>().empty());
    bench.agent("a-1", QuarantineDelivery { { { fingerprint, 0, Milliseconds(0) } } });
    bench.complete("crash");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
}

TEST_CASE("suspects are kept apart, and one that completes is cleared")
{
    RouterBench bench({ "a-1", "a-2", "a-3" });
    bench.connect("a-1");
    bench.complete("innocent");
    bench.complete("crash");
    bench.connect("a-2");
    bench.connect("a-3");
    die(bench, "a-1");
    const auto sent = bench.toAgents<SubmitGeneration>();
    REQUIRE(sent.size() == 4);
    CHECK(sent[2].first != sent[3].first);
    bench.agent(sent[2].first, GenerationFinished { sent[2].second.generation, 0, FinishReason::Stop });
    CHECK(bench.toAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    die(bench, sent[3].first);
    bench.clear();
    bench.complete("innocent");
    bench.complete("crash");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
    CHECK(bench.toCallers<CallerFailure>().size() == 1);
}

TEST_CASE("a death that entry and agent both report counts once")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.complete("prompt");
    const std::string endpoint = bench.toAgents<SubmitGeneration>().back().first;
    bench.agent(endpoint, QuarantineDelivery { { { lastFingerprint(bench), 1, Seconds(60) } } });
    die(bench, endpoint);
    CHECK(bench.toAgents<SubmitGeneration>().size() == 2);
}

TEST_CASE("an operator sees the quarantined requests and releases one, here and at the agents")
{
    RouterBench bench({ "a-1" });
    bench.connect("a-1");
    bench.complete("crash");
    const Fingerprint fingerprint = lastFingerprint(bench);
    bench.agent("a-1", QuarantineDelivery { { { fingerprint, 2, Seconds(60) } } });
    bench.clear();
    bench.send(QuerySuspects { AdminRequestId(1) });
    const SuspectsListed told { AdminRequestId(1), { { fingerprint, 2, Seconds(60), true } } };
    CHECK(bench.actions.back() == RouterAction(told));
    const AuditRecord act { OrderId("act"), AuditedAction::RequestReleased, "x", "an.operator", "mended", {}, false };
    bench.send(ReleaseSuspect { AdminRequestId(2), fingerprint, act });
    CHECK(bench.actions.back() == RouterAction(SuspectReleased { AdminRequestId(2), act, true }));
    CHECK(bench.toAgents<QuarantineDelivery>().back().second.suspects.front().deaths == 0);
    bench.complete("crash");
    CHECK(bench.toAgents<SubmitGeneration>().size() == 1);
    bench.send(ReleaseSuspect { AdminRequestId(3), Fingerprint(5), act });
    CHECK(bench.actions.back() == RouterAction(SuspectReleased { AdminRequestId(3), act, false }));
}

TEST_CASE("an entry passes a release that it hears of on to its agents once")
{
    RouterBench bench({ "a-1", "a-2" });
    bench.connect("a-1");
    bench.connect("a-2");
    bench.agent("a-1", QuarantineDelivery { { { Fingerprint(7), 2, Seconds(60) } } });
    bench.clear();
    const QuarantineDelivery release { { { Fingerprint(7), 0, Milliseconds(0) } } };
    bench.agent("a-1", release);
    CHECK(bench.toAgents<QuarantineDelivery>().size() == 2);
    bench.agent("a-2", release);
    CHECK(bench.toAgents<QuarantineDelivery>().size() == 2);
}
