// A new version is judged from few answers, against those of the old version to the same routes.

#include "core/gateway/RolloutEvidence.h"
#include "core/gateway/RolloutJudge.h"
#include "core/gateway/RolloutPlan.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

constexpr std::uint32_t reads = 11;
constexpr std::uint32_t writes = 12;

RolloutCounts counts(
    std::uint32_t endpoint, std::uint32_t route, std::uint32_t answered, std::uint32_t failed, std::uint32_t slow = 0)
{
    return { endpoint, route, answered, failed, slow, Milliseconds(answered * 60) };
}

/** The old version: a seventh of the reads fails, as is usual. */
std::vector<RolloutCounts> withOldVersion(std::vector<RolloutCounts> target)
{
    target.push_back(counts(0, reads, 280, 40, 9));
    target.push_back(counts(0, writes, 420, 1, 12));
    return target;
}

}

TEST_CASE("Failures that are usual for a route do not speak against a version, unusual ones do")
{
    const RolloutJudge sound(withOldVersion({ counts(101, reads, 15, 3), counts(102, reads, 14, 2) }), 7);
    CHECK_FALSE(sound.fault({}));
    const RolloutJudge bad(withOldVersion({ counts(101, writes, 10, 3), counts(102, writes, 9, 2) }), 7);
    REQUIRE(bad.fault({}));
    CHECK(bad.fault({})->kind == "failed");
}

TEST_CASE("Slow answers speak against a version as failures do")
{
    const RolloutJudge bad(withOldVersion({ counts(101, writes, 12, 0, 6), counts(102, writes, 11, 0, 5) }), 7);
    REQUIRE(bad.fault({}));
    CHECK(bad.fault({})->kind == "slow");
}

TEST_CASE("A single endpoint in trouble is left out, unless the version has no other")
{
    const auto trouble = withOldVersion({ counts(101, writes, 20, 9), counts(102, writes, 20, 0) });
    CHECK_FALSE(RolloutJudge(trouble, 7).fault({}));
    CHECK(RolloutJudge(trouble, 7).suspects() == std::set<std::uint32_t> { 101 });
    const RolloutJudge only(withOldVersion({ counts(101, writes, 20, 9) }), 1);
    CHECK(only.fault({}));
}

TEST_CASE("A version is not called sound without answers on each route that many requests take")
{
    const RolloutJudge oneRoute(withOldVersion({ counts(101, writes, 40, 0) }), 7);
    CHECK_FALSE(oneRoute.hasEnoughAnswers(20));
    const RolloutJudge both(withOldVersion({ counts(101, writes, 20, 0), counts(102, reads, 10, 1) }), 7);
    CHECK(both.hasEnoughAnswers(20));
    CHECK_FALSE(both.hasEnoughAnswers(40));
}

TEST_CASE("Counts of other gateways are added once, whatever datagrams are lost, repeated or late")
{
    RolloutEvidence evidence;
    RolloutReport report;
    report.requests = 100;
    report.requestsToTarget = 4;
    report.counts = { counts(0, writes, 90, 0) };
    evidence.merge(Incarnation(1), report);
    evidence.merge(Incarnation(1), report);
    RolloutReport older = report;
    older.requests = 50;
    older.counts = { counts(0, writes, 45, 0) };
    evidence.merge(Incarnation(1), older);
    evidence.merge(Incarnation(2), older);
    CHECK(evidence.requests(0).total == doctest::Approx(150));
    REQUIRE(evidence.counts().size() == 1);
    CHECK(evidence.counts().front().answered == 135);
}

TEST_CASE("A report keeps to its size, and its sums to what was counted")
{
    RolloutEvidence evidence;
    for (std::uint32_t endpoint = 0; endpoint < 60; ++endpoint)
        evidence.record({ endpoint, writes, Duration(Milliseconds(60)) });
    RolloutReport report;
    evidence.describe(report);
    CHECK(report.counts.size() <= 21);
    std::uint32_t answered = 0;
    for (const RolloutCounts& each : report.counts)
        answered += each.answered;
    CHECK(answered == 60);
}

TEST_CASE("The plan leaves room for all requests in the last step before the deadline")
{
    const GatewayLimits limits;
    const RolloutPlan plan(limits);
    for (const double rate : { 5.0, 60.0, 130.0, 500.0 }) {
        CAPTURE(rate);
        const Milliseconds duration(12000);
        double toTarget = 0;
        std::optional<std::size_t> known;
        ProbeWindow window;
        for (Milliseconds elapsed(0); elapsed < RolloutPlan::shiftDue(duration); elapsed += Milliseconds(50)) {
            const double requests = rate * std::chrono::duration<double>(elapsed).count();
            const RolloutProgress progress { elapsed, duration, requests, toTarget };
            const auto index = RolloutPlan::windowIndex(progress, Milliseconds(1000));
            if (index != known)
                window = plan.probeWindow(progress, 7, Milliseconds(1000));
            known = index;
            if (plan.hasRoomForProbe(progress))
                toTarget += window.share * rate * 0.05;
        }
        const double last = rate * std::chrono::duration<double>(duration - RolloutPlan::shiftDue(duration)).count();
        CHECK(toTarget >= RolloutPlan::minAnswers({ Milliseconds(11000), duration, rate * 11, toTarget }));
        CHECK(toTarget + last <= limits.exposureFraction * rate * 12 + limits.exposureHeadroom);
    }
}
