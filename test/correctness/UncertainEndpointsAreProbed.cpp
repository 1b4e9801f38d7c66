#include "core/gateway/CrashDetector.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const EndpointId endpoint("e1");
const Instant begin(Seconds(1000));

EarlyEnd endAt(Instant at) { return { endpoint, { "10.0.0.1", 80 }, WallTime(), Fingerprint(1), {}, at, false }; }

CrashDetector::Verdicts weigh(CrashDetector& detector, Instant now)
{
    return detector.weigh([](const EarlyEnd&) { return false; }, now);
}

}

TEST_CASE("A probe that shows nothing is repeated until the endpoint shows whether it crashed")
{
    CrashDetector detector;
    detector.add(endAt(begin));
    CHECK(detector.takeDueProbes(begin).empty());
    Instant now = begin + Milliseconds(100);
    REQUIRE(detector.takeDueProbes(now).size() == 1);
    detector.recordProbe(endpoint, ProbeOutcome::Unreachable, now + Milliseconds(50));
    CHECK(weigh(detector, now + Milliseconds(50)).crashed.empty());
    CHECK(detector.takeDueProbes(now + Milliseconds(900)).empty());
    now += Milliseconds(1000);
    REQUIRE(detector.takeDueProbes(now).size() == 1);
    detector.recordProbe(endpoint, ProbeOutcome::Refused, now);
    CHECK(weigh(detector, now).crashed.size() == 1);
    CHECK(detector.takeDueProbes(now + Seconds(5)).empty());
}

// Guards against a verdict on a later run from a probe that was sent before the run ended.
TEST_CASE("A probe tells nothing of runs that end after it")
{
    CrashDetector detector;
    detector.add(endAt(begin));
    const Instant probedAt = begin + Milliseconds(100);
    REQUIRE(detector.takeDueProbes(probedAt).size() == 1);
    detector.add(endAt(probedAt + Milliseconds(10)));
    detector.recordProbe(endpoint, ProbeOutcome::Accepted, probedAt + Milliseconds(20));
    CHECK(weigh(detector, probedAt + Milliseconds(20)).survived.size() == 1);
    CHECK(detector.takeDueProbes(probedAt + Milliseconds(150)).size() == 1);
}

// Guards against a crash that is noticed late, because a probe for an earlier run was to be repeated much later.
TEST_CASE("A run that ends after an earlier verdict is probed without delay")
{
    CrashDetector detector;
    detector.add(endAt(begin));
    const Instant probedAt = begin + Milliseconds(100);
    REQUIRE(detector.takeDueProbes(probedAt).size() == 1);
    detector.recordAnswer(endpoint, probedAt);
    CHECK(weigh(detector, probedAt + Milliseconds(5)).survived.size() == 1);
    const Instant later = probedAt + Milliseconds(10);
    detector.add(endAt(later));
    CHECK(detector.takeDueProbes(later + Milliseconds(100)).size() == 1);
}

// Guards against a crash that is found although the endpoint went on after the run.
TEST_CASE("A refused connection after an accepted one is no evidence against earlier runs")
{
    CrashDetector detector;
    detector.add(endAt(begin));
    detector.recordAnswer(endpoint, begin + Milliseconds(500));
    CHECK(weigh(detector, begin + Milliseconds(600)).survived.size() == 1);
    detector.recordRefusedConnection(endpoint, begin + Milliseconds(1000));
    CHECK(weigh(detector, begin + Milliseconds(1000)).crashed.empty());
}
