#include "adapters/fleet/JsonDocumentCodec.h"
#include "core/common/FleetUpdate.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

ReleaseNote noteWithEveryKind()
{
    ReleaseNote note { NoteId("note-1"), ReleaseVersion(41), "a \"person\"\n", "Grüße / \x01 \\ : # null", {} };
    Service service;
    service.id = ServiceId("order-registry");
    service.kind = ServiceKind::Plain;
    service.nonRepeatable = { { "POST", "/orders" } };
    service.targets[1].betweenTokens = Milliseconds(33);
    service.policy.overflowPercent = 7;
    note.changes.emplace_back(Put<Zone> { Zone { ZoneId("kgl-a"), "null" } });
    note.changes.emplace_back(Put<Service> { service });
    note.changes.emplace_back(Put<Model> { { ModelId("m"), ServiceId("s"), "1", { "a", "b" } } });
    note.changes.emplace_back(
        Put<Endpoint> { { EndpointId("e"), ZoneId("kgl-a"), ServiceId("s"), { "::1", 7101 }, false }, true });
    note.changes.emplace_back(Put<Team> { { TeamId("huye"), 3, 9, "abc" }, true });
    note.changes.emplace_back(Withdraw<EndpointId> { EndpointId("old") });
    return note;
}

}

TEST_CASE("notes, fleets, orders and audit records are unchanged after encoding and decoding")
{
    const JsonDocumentCodec codec;
    const ReleaseNote note = noteWithEveryKind();
    CHECK(codec.decodeNote(codec.encodeNote(note)) == Outcome<ReleaseNote>(note));
    const Fleet fleet = applyNote(Fleet {}, note);
    CHECK(fleet.version == ReleaseVersion(42));
    CHECK(codec.decodeFleet(codec.encodeFleet(fleet)) == Outcome<Fleet>(fleet));
    const ServiceOrder order { EndpointId("e"), UINT64_MAX, true, OrderId("o"), "a", "true", true };
    const AuditRecord record { OrderId("7"), AuditedAction::RequestReleased, "true", "a\n", "null",
        WallTime(Seconds(9)), true };
    CHECK(codec.decodeAuditRecord(codec.encodeAuditRecord(record)) == Outcome<AuditRecord>(record));
    CHECK(codec.decodeOrder(codec.encodeOrder(order)) == Outcome<ServiceOrder>(order));
}
