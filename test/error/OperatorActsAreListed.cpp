#include "support/ControlHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

const ZoneId zone("kgl-a");
constexpr WallTime baseTime { Milliseconds(1700000000000) };

ActsView listActs(ControlHarness& harness)
{
    harness.send(QueryActs { AdminId(1000), "", 100 });
    return std::get<ActsView>(harness.answerTo(AdminId(1000)));
}

void order(ControlHarness& harness, std::uint64_t admin, bool out, WallTime at)
{
    harness.send(GiveOrder { AdminId(admin), zone, out, "an.operator", "maintenance", at });
}

}

TEST_CASE("every operator's act is listed with author, reason, id and time, even when a later act reverses it")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.send(PublishNote { AdminId(900), zoneNote("note-a", 0, zone.get()), false, baseTime });
    order(harness, 901, true, baseTime + Seconds(1));
    order(harness, 902, false, baseTime + Seconds(2));
    harness.send(SuspectReleased { AdminId(903),
        { OrderId("r"), ActKind::RequestReleased, "00000000000000ff", "an.operator", "mended", baseTime + Seconds(3) },
        true });
    const ActsView view = listActs(harness);
    REQUIRE(view.acts.size() == 4);
    CHECK(view.complete);
    CHECK(view.acts[0].id == OrderId("note-a"));
    CHECK(view.acts[0].subject == "release/1");
    CHECK(view.acts[1].kind == ActKind::TakenOut);
    CHECK(view.acts[1].subject == "zone/kgl-a");
    CHECK(view.acts[2].kind == ActKind::BroughtIn);
    CHECK(view.acts[3].kind == ActKind::RequestReleased);
    for (const OperatorAct& act : view.acts) {
        CHECK(act.author == "an.operator");
        CHECK_FALSE(act.reason.empty());
        CHECK_FALSE(act.id.get().empty());
        CHECK(act.at >= baseTime);
        CHECK(act.recorded);
    }
}

TEST_CASE("acts in an outage are listed as not recorded and recorded once when the table answers again")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.publish(zoneNote("note-a", 0, zone.get()));
    harness.fault = PlatformFault::Unavailable;
    order(harness, 901, true, baseTime);
    CHECK_FALSE(listActs(harness).complete);
    REQUIRE(listActs(harness).acts.size() == 1);
    CHECK_FALSE(listActs(harness).acts[0].recorded);
    harness.fault = PlatformFault::ReplyLost;
    harness.advanceTime(Seconds(2));
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(2));
    const ActsView view = listActs(harness);
    REQUIRE(view.acts.size() == 2);
    CHECK(view.complete);
    CHECK(view.acts[1].recorded);
    CHECK(view.acts[1].at == baseTime);
}

TEST_CASE("a note that is published twice is recorded as one act")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    const ReleaseNote note = zoneNote("note-a", 0, zone.get());
    harness.send(PublishNote { AdminId(1), note, false, baseTime });
    harness.send(PublishNote { AdminId(2), note, false, baseTime + Seconds(1) });
    CHECK(std::holds_alternative<NoteAccepted>(harness.answerTo(AdminId(2))));
    CHECK(listActs(harness).acts.size() == 1);
}

TEST_CASE("the act of a note whose reply was lost is recorded")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.fault = PlatformFault::ReplyLost;
    harness.send(PublishNote { AdminId(1), zoneNote("note-a", 0, zone.get()), false, baseTime });
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(2));
    REQUIRE(listActs(harness).acts.size() == 1);
    CHECK(listActs(harness).acts[0].id == OrderId("note-a"));
}

TEST_CASE("acts are listed in pages")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.publish(zoneNote("note-a", 0, zone.get()));
    order(harness, 901, true, baseTime);
    order(harness, 902, false, baseTime + Seconds(1));
    harness.send(QueryActs { AdminId(10), "", 2 });
    const auto first = std::get<ActsView>(harness.answerTo(AdminId(10)));
    CHECK(first.acts.size() == 2);
    harness.send(QueryActs { AdminId(11), first.next, 2 });
    const auto second = std::get<ActsView>(harness.answerTo(AdminId(11)));
    REQUIRE(second.acts.size() == 1);
    CHECK(second.next.empty());
}

TEST_CASE("a release without a reason is refused, and one for an unknown request gets a not-found error")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.send(ReleaseQuarantined { AdminId(1), Fingerprint(1), "an.operator", "", baseTime });
    CHECK(std::get<Failure>(harness.answerTo(AdminId(1))).code == ErrorCode::BadRequest);
    harness.send(SuspectReleased { AdminId(2), {}, false });
    CHECK(std::get<Failure>(harness.answerTo(AdminId(2))).code == ErrorCode::NotFound);
}
