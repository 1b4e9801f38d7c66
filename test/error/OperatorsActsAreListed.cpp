#include "support/ControlScript.h"

#include <doctest/doctest.h>

using namespace teaselfold;
using namespace teaselfold::test;

namespace {

const ZoneId zone("kgl-a");
constexpr WallTime noon { Milliseconds(1700000000000) };

AuditLogView listActs(ControlScript& script)
{
    script.send(QueryAuditLog { AdminRequestId(1000), "", 100 });
    return std::get<AuditLogView>(script.answerTo(AdminRequestId(1000)));
}

void order(ControlScript& script, std::uint64_t admin, bool out, WallTime at)
{
    script.send(IssueOrder { AdminRequestId(admin), zone, out, "an.operator", "maintenance", at });
}

}

TEST_CASE("every act of operators is listed with author, reason, id and time, also one that a later one undid")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.send(PublishNote { AdminRequestId(900), zoneNote("note-a", 0, zone.get()), false, noon });
    order(script, 901, true, noon + Seconds(1));
    order(script, 902, false, noon + Seconds(2));
    script.send(SuspectReleased { AdminRequestId(903),
        { OrderId("r"), AuditedAction::RequestReleased, "00000000000000ff", "an.operator", "mended",
            noon + Seconds(3) },
        true });
    const AuditLogView view = listActs(script);
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
        CHECK(act.at >= noon);
        CHECK(act.recorded);
    }
}

TEST_CASE("acts given in an outage are listed as not recorded and recorded once when the table answers")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.publish(zoneNote("note-a", 0, zone.get()));
    script.weather = Weather::Down;
    order(script, 901, true, noon);
    CHECK_FALSE(listActs(script).complete);
    REQUIRE(listActs(script).records.size() == 1);
    CHECK_FALSE(listActs(script).records[0].recorded);
    script.weather = Weather::LosesAnswers;
    script.pass(Seconds(2));
    script.weather = Weather::Answers;
    script.pass(Seconds(2));
    const AuditLogView view = listActs(script);
    REQUIRE(view.records.size() == 2);
    CHECK(view.complete);
    CHECK(view.records[1].recorded);
    CHECK(view.records[1].at == noon);
}

TEST_CASE("a note that is published again is one act")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    const ReleaseNote note = zoneNote("note-a", 0, zone.get());
    script.send(PublishNote { AdminRequestId(1), note, false, noon });
    script.send(PublishNote { AdminRequestId(2), note, false, noon + Seconds(1) });
    CHECK(std::holds_alternative<NoteAccepted>(script.answerTo(AdminRequestId(2))));
    CHECK(listActs(script).records.size() == 1);
}

TEST_CASE("a note whose answer was lost has its act recorded")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.weather = Weather::LosesAnswers;
    script.send(PublishNote { AdminRequestId(1), zoneNote("note-a", 0, zone.get()), false, noon });
    script.weather = Weather::Answers;
    script.pass(Seconds(2));
    REQUIRE(listActs(script).records.size() == 1);
    CHECK(listActs(script).records[0].id == OrderId("note-a"));
}

TEST_CASE("acts are listed in pages")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.pass(Seconds(1));
    script.publish(zoneNote("note-a", 0, zone.get()));
    order(script, 901, true, noon);
    order(script, 902, false, noon + Seconds(1));
    script.send(QueryAuditLog { AdminRequestId(10), "", 2 });
    const auto first = std::get<AuditLogView>(script.answerTo(AdminRequestId(10)));
    CHECK(first.records.size() == 2);
    script.send(QueryAuditLog { AdminRequestId(11), first.next, 2 });
    const auto second = std::get<AuditLogView>(script.answerTo(AdminRequestId(11)));
    REQUIRE(second.records.size() == 1);
    CHECK(second.next.empty());
}

TEST_CASE("a release without a reason is refused, and one for an unknown request is not found")
{
    MemoryPlatform platform;
    ControlScript script("entry-1", platform);
    script.send(ReleaseQuarantined { AdminRequestId(1), Fingerprint(1), "an.operator", "", noon });
    CHECK(std::get<Failure>(script.answerTo(AdminRequestId(1))).code == ErrorCode::BadRequest);
    script.send(SuspectReleased { AdminRequestId(2), {}, false });
    CHECK(std::get<Failure>(script.answerTo(AdminRequestId(2))).code == ErrorCode::NotFound);
}
