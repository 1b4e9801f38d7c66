#include "support/ControlHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

const ZoneId zone("kgl-a");
constexpr WallTime baseTime { Milliseconds(1700000000000) };

AuditLogView listActs(ControlHarness& harness)
{
    harness.send(QueryAuditLog { AdminRequestId(1000), "", 100 });
    return std::get<AuditLogView>(harness.answerTo(AdminRequestId(1000)));
}

void order(ControlHarness& harness, std::uint64_t admin, bool out, WallTime at)
{
    harness.send(IssueOrder { AdminRequestId(admin), zone, out, "an.operator", "maintenance", at });
}

}

TEST_CASE("every operator's act is listed with author, reason, id and time, even when a later act reverses it")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.send(PublishNote { AdminRequestId(900), zoneNote("note-a", 0, zone.get()), false, baseTime });
    order(harness, 901, true, baseTime + Seconds(1));
    order(harness, 902, false, baseTime + Seconds(2));
    harness.send(SuspectReleased { AdminRequestId(903),
        { OrderId("r"), AuditedAction::RequestReleased, "00000000000000ff", "an.operator", "mended",
            baseTime + Seconds(3) },
        true });
    const AuditLogView view = listActs(harness);
    REQUIRE(view.records.size() == 4);
    CHECK(view.complete);
    CHECK(view.records[0].id == OrderId("note-a"));
    CHECK(view.records[0].subject == "release/1");
    CHECK(view.records[1].kind == AuditedAction::TakenOut);
    CHECK(view.records[1].subject == "zone/kgl-a");
    CHECK(view.records[2].kind == AuditedAction::BroughtIn);
    CHECK(view.records[3].kind == AuditedAction::RequestReleased);
    for (const AuditRecord& act : view.records) {
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
    REQUIRE(listActs(harness).records.size() == 1);
    CHECK_FALSE(listActs(harness).records[0].recorded);
    harness.fault = PlatformFault::ReplyLost;
    harness.advanceTime(Seconds(2));
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(2));
    const AuditLogView view = listActs(harness);
    REQUIRE(view.records.size() == 2);
    CHECK(view.complete);
    CHECK(view.records[1].recorded);
    CHECK(view.records[1].at == baseTime);
}

TEST_CASE("a note that is published twice is recorded as one act")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    const ReleaseNote note = zoneNote("note-a", 0, zone.get());
    harness.send(PublishNote { AdminRequestId(1), note, false, baseTime });
    harness.send(PublishNote { AdminRequestId(2), note, false, baseTime + Seconds(1) });
    CHECK(std::holds_alternative<NoteAccepted>(harness.answerTo(AdminRequestId(2))));
    CHECK(listActs(harness).records.size() == 1);
}

TEST_CASE("the act of a note whose reply was lost is recorded")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.fault = PlatformFault::ReplyLost;
    harness.send(PublishNote { AdminRequestId(1), zoneNote("note-a", 0, zone.get()), false, baseTime });
    harness.fault = PlatformFault::None;
    harness.advanceTime(Seconds(2));
    REQUIRE(listActs(harness).records.size() == 1);
    CHECK(listActs(harness).records[0].id == OrderId("note-a"));
}

TEST_CASE("acts are listed in pages")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.advanceTime(Seconds(1));
    harness.publish(zoneNote("note-a", 0, zone.get()));
    order(harness, 901, true, baseTime);
    order(harness, 902, false, baseTime + Seconds(1));
    harness.send(QueryAuditLog { AdminRequestId(10), "", 2 });
    const auto first = std::get<AuditLogView>(harness.answerTo(AdminRequestId(10)));
    CHECK(first.records.size() == 2);
    harness.send(QueryAuditLog { AdminRequestId(11), first.next, 2 });
    const auto second = std::get<AuditLogView>(harness.answerTo(AdminRequestId(11)));
    REQUIRE(second.records.size() == 1);
    CHECK(second.next.empty());
}

TEST_CASE("a release without a reason is refused, and one for an unknown request gets a not-found error")
{
    MemoryPlatform platform;
    ControlHarness harness("entry-1", platform);
    harness.send(ReleaseQuarantined { AdminRequestId(1), Fingerprint(1), "an.operator", "", baseTime });
    CHECK(std::get<Failure>(harness.answerTo(AdminRequestId(1))).code == ErrorCode::BadRequest);
    harness.send(SuspectReleased { AdminRequestId(2), {}, false });
    CHECK(std::get<Failure>(harness.answerTo(AdminRequestId(2))).code == ErrorCode::NotFound);
}
